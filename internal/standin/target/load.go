package target

import (
	"net/http"
	"time"
)

// maxSamples bounds the past loads from which a lagging report is made.
const maxSamples = 4096

// note keeps the present load; the caller holds the lock.
func (t *Target) note() {
	if len(t.load) >= maxSamples {
		t.load = append(t.load[:0], t.load[maxSamples/2:]...)
	}
	t.load = append(t.load, sample{time.Now(), t.busy})
}

// report returns what GET /load says, which the faults may falsify.
func (t *Target) report() (busy int, leaving bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at = time.Now()
	busy = t.busy
	if t.faults.Lag > 0 {
		at, busy = at.Add(-t.faults.Lag), 0
		for _, s := range t.load {
			if s.at.After(at) {
				break
			}
			busy = s.busy
		}
	}
	if t.faults.Factor > 0 {
		busy = int(float64(busy) * t.faults.Factor)
	}
	return busy, t.drain, at
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	if t.now().NoReport {
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
