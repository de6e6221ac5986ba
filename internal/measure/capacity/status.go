package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"tamarackspool/internal/entry/operator"
)

// OperatorsRole measures a status request to the operator API.
type OperatorsRole struct{}

// Name returns the name of the role.
func (OperatorsRole) Name() string { return "operators" }

// Scale counts entries.
func (OperatorsRole) Scale() Scale { return nodeScale(12, 48, 192, 400, DesignNodes) }

const operatorToken = "operator-token-16"

// Measure answers status requests in a fleet of the given size, in which an entry owns the targets of its share of the sites.
func (OperatorsRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	api, err := operator.New(operatorToken, operator.Dependencies{Reporter: reporter(size), Log: discardLog{}, Now: time.Now})
	if err != nil {
		return nil, err
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/status", nil)
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	length, code := 0, 0
	took := cpuTimePerCall(ctx, sampleTime, func() {
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		length, code = w.Body.Len(), w.Code
	})
	if code != http.StatusOK {
		return nil, fmt.Errorf("capacity: status request returned HTTP status %d", code)
	}
	// An operator who watches the status of one entry makes one request per second.
	return map[string]float64{"call-µs": microseconds(took), "response-kB": float64(length) / 1e3, "core-percent": 100 * took.Seconds()}, nil
}

// reporter returns the status of an entry in a fleet of that many entries.
type reporter int

// Status returns the status of one entry.
func (n reporter) Status() operator.Status {
	s := operator.Status{Entry: entryName(0), Region: regionName(0), Zone: zoneName(0), Version: 1, StoreReachable: true}
	for _, m := range fleetMembers(int(n)) {
		s.Members = append(s.Members, operator.Member{Name: m.Name(), Zone: m.Zone(), State: m.State().String(), Incarnation: fmt.Sprintf("%x", m.Incarnation()), Version: 1})
	}
	for i := range 1 + siteCount(int(n))*targetsPerSite/int(n) {
		s.Targets = append(s.Targets, operator.Target{Name: fmt.Sprint("target-", i), Service: services[0], Zone: zoneName(0), Owner: entryName(0), Slots: 6})
	}
	return s
}

var _ operator.Logger = discardLog{}
