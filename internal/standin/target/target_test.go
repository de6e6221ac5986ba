package target_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/standin/target"
)

func get(t *testing.T, s *target.Target, method, path string, header ...string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, nil)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against a stand-in that runs an attempt after it has reported it as dropped.
func TestDroppedAttemptIsRefusedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := target.New(target.Settings{})
		if got := get(t, s, "DELETE", "/attempt/x").Body.String(); got != `{"state":"dropped","up":0}` {
			t.Errorf("DELETE of an unknown attempt: %s", got)
		}
		w := get(t, s, "GET", "/a", "Attempt", "x")
		if w.Code != http.StatusTooManyRequests || w.Header().Get("Shed") != "1" || len(s.Runs()) != 0 {
			t.Errorf("late arrival: %d with %d runs", w.Code, len(s.Runs()))
		}
		get(t, s, "GET", "/a", "Attempt", "y")
		if got := get(t, s, "DELETE", "/attempt/y").Body.String(); got != `{"state":"done","up":0}` {
			t.Errorf("DELETE of a finished attempt: %s", got)
		}
	})
}

// Guards against a count of repeated orders that mixes tenants or misses a second target.
func TestRepeatedOrdersAreCounted(t *testing.T) {
	a, b := target.New(target.Settings{}), target.New(target.Settings{})
	get(t, a, "GET", "/o", "Tenant", "x", "Idempotency-Key", "1")
	get(t, b, "GET", "/o", "Tenant", "y", "Idempotency-Key", "1")
	if got := target.RepeatedOrders(a, b); len(got) != 0 {
		t.Errorf("repeated: %v", got)
	}
	get(t, b, "GET", "/o", "Tenant", "x", "Idempotency-Key", "1")
	if got := target.RepeatedOrders(a, b); got[target.Order{Tenant: "x", Key: "1"}] != 2 || len(got) != 1 {
		t.Errorf("repeated: %v", got)
	}
}

// Guards against slots without a limit, a cache that doesn't warm up, and load reports that the faults don't distort.
func TestSlotsColdCacheAndReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := target.New(target.Settings{Slots: 2, MeanServiceTime: time.Second, WarmUpRequests: 4, ColdFactor: 5, Seed: 1})
		var took []time.Duration
		for range 6 {
			start := time.Now()
			get(t, s, "GET", "/a")
			took = append(took, time.Since(start))
		}
		if took[0] != 5*time.Second || took[2] != 3*time.Second || took[5] != time.Second {
			t.Errorf("service times %v", took)
		}
		for range 2 {
			go get(t, s, "GET", "/a")
		}
		synctest.Wait()
		if w := get(t, s, "GET", "/a"); w.Code != http.StatusTooManyRequests {
			t.Errorf("status %d for a third request with two slots", w.Code)
		}
		s.SetFaults(target.Faults{LoadReportFactor: 3, LoadReportAge: 500 * time.Millisecond})
		for at, want := range []int{3, 6} { // The report shows the load 500 ms earlier, when the sixth request was running.
			time.Sleep(time.Duration(at) * 600 * time.Millisecond)
			var report struct{ Busy, Slots int }
			if err := json.Unmarshal(get(t, s, "GET", "/load").Body.Bytes(), &report); err != nil || report.Busy != want || report.Slots != 2 {
				t.Errorf("report %d: %+v, %v, want busy %d", at, report, err, want)
			}
		}
		time.Sleep(time.Second)
	})
}
