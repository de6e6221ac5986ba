package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"tamarackspool/internal/entry/operator"
)

// Operators measures a status call of the operators' API.
type Operators struct{}

// Name returns the name of the role.
func (Operators) Name() string { return "operators" }

// Scale counts entries.
func (Operators) Scale() Scale { return nodeScale(12, 48, 192, 400, DesignNodes) }

const operatorToken = "operator-token-16"

// Measure answers status calls in a fleet of the given size; an entry owns the targets of its share of the sites.
func (Operators) Measure(ctx context.Context, size int) (map[string]float64, error) {
	api, err := operator.New(operatorToken, operator.Dependencies{Reporter: reporter(size), Log: silent{}, Now: time.Now})
	if err != nil {
		return nil, err
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/status", nil)
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	length, code := 0, 0
	took := per(ctx, sample, func() {
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		length, code = w.Body.Len(), w.Code
	})
	if code != http.StatusOK {
		return nil, fmt.Errorf("capacity: status call answered %d", code)
	}
	// One call per second is an operator who watches the status of one entry.
	return map[string]float64{"call-µs": micros(took), "response-kB": float64(length) / 1e3, "core-percent": 100 * took.Seconds()}, nil
}

// reporter is an entry in a fleet of that size.
type reporter int

// Status returns the status of one entry.
func (n reporter) Status() operator.Status {
	s := operator.Status{Entry: entryName(0), Region: regionName(0), Zone: zoneName(0), Version: 1, StoreReachable: true}
	for _, m := range members(int(n)) {
		s.Members = append(s.Members, operator.Member{Name: m.Name(), Zone: m.Zone(), State: m.State().String(), Incarnation: fmt.Sprintf("%x", m.Incarnation()), Version: 1})
	}
	for i := range 1 + sitesOf(int(n))*targetsPerSite/int(n) {
		s.Targets = append(s.Targets, operator.Target{Name: fmt.Sprint("target-", i), Service: services[0], Zone: zoneName(0), Owner: entryName(0), Slots: 6})
	}
	return s
}

var _ operator.Logger = silent{}
