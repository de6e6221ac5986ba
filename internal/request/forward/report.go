package forward

import (
	"sync"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/verdict"
)

// minEventInterval is the shortest time between two equal events about the same
// target or entry. A dead target fails thousands of attempts per second.
const minEventInterval = time.Second

// eventLimiter limits the rate of equal events. Its size is bounded by the number of
// configured targets and entries.
type eventLimiter struct {
	mu         sync.Mutex
	lastLogged map[eventKey]time.Time
}

type eventKey struct {
	number event.Number
	name   string
}

// allow reports whether the event is to be logged now, and records that it was.
func (r *eventLimiter) allow(n event.Number, name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := eventKey{n, name}
	if last, ok := r.lastLogged[k]; ok && now.Sub(last) < minEventInterval {
		return false
	}
	if r.lastLogged == nil {
		r.lastLogged = make(map[eventKey]time.Time)
	}
	r.lastLogged[k] = now
	return true
}

// logFailure logs a failed attempt that operators have to examine.
func (f *Forwarder) logFailure(t *attempt, err *verdict.Error) {
	var n event.Number
	switch {
	case t.outcome == Silent:
		n = event.ConnectionSilent
	case t.outcome == Failed && err.Reason() == verdict.ReasonTruncatedAnswer:
		n = event.AnswerCut
	case t.outcome == Failed:
		n = event.TargetLost
	default:
		return
	}
	if f.logLimiter.allow(n, t.name, f.deps.Now()) {
		f.deps.Log.Log(n, "to", t.name, "address", t.address, "service", t.job.service.Name(), "err", err)
	}
}
