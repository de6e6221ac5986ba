package forward

import (
	"sync"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/verdict"
)

// repeatTime is the shortest time between two equal events about the same
// target or entry. A dead target fails thousands of attempts per second.
const repeatTime = time.Second

// reported is when each event was last logged; its size is bounded by the
// configured targets and entries.
type reported struct {
	mu sync.Mutex
	at map[fault]time.Time
}

type fault struct {
	n    event.Number
	name string
}

// due reports whether the event is to be logged now.
func (r *reported) due(n event.Number, name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := fault{n, name}
	if last, ok := r.at[k]; ok && now.Sub(last) < repeatTime {
		return false
	}
	if r.at == nil {
		r.at = make(map[fault]time.Time)
	}
	r.at[k] = now
	return true
}

// report logs what operators have to look at.
func (f *Forwarder) report(t *attempt, err *verdict.Error) {
	var n event.Number
	switch {
	case t.kind == Silent:
		n = event.ConnectionSilent
	case t.kind == Failed && err.Reason() == verdict.ReasonShort:
		n = event.AnswerCut
	case t.kind == Failed:
		n = event.TargetLost
	default:
		return
	}
	if f.reported.due(n, t.name, f.d.Now()) {
		f.d.Log.Log(n, "to", t.name, "address", t.address, "service", t.j.service.Name(), "err", err)
	}
}
