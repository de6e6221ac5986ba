package target

import (
	"net/http"
	"time"
)

// maxSamples bounds the past loads that are kept for delayed load reports.
const maxSamples = 4096

// recordLoad records the present load; t.mu is held.
func (t *Target) recordLoad() {
	if len(t.samples) >= maxSamples {
		t.samples = append(t.samples[:0], t.samples[maxSamples/2:]...)
	}
	t.samples = append(t.samples, sample{time.Now(), t.busy})
}

// report returns the content of GET /load, which the faults may distort.
func (t *Target) report() (busy int, leaving bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at = time.Now()
	busy = t.busy
	if t.faults.LoadReportAge > 0 {
		at, busy = at.Add(-t.faults.LoadReportAge), 0
		for _, s := range t.samples {
			if s.at.After(at) {
				break
			}
			busy = s.busy
		}
	}
	if t.faults.LoadReportFactor > 0 {
		busy = int(float64(busy) * t.faults.LoadReportFactor)
	}
	return busy, t.draining, at
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	if t.currentFaults().NoLoadReport {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	busy, leaving, at := t.report()
	writeJSON(w, struct {
		Busy    int       `json:"busy"`
		Slots   int       `json:"slots"`
		Leaving bool      `json:"leaving"`
		At      time.Time `json:"at"`
	}{busy, t.s.Slots, leaving, at})
}
