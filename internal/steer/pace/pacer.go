package pace

import (
	"sync"
	"time"
)

// Pacer spaces the requests that one entry sends to one cold target. At any
// time the entries agree on one of them that may send to it, so that the
// target's rate needs no messages; two that disagree for a moment stay
// together within the slack of the bound. It is safe for concurrent use.
type Pacer struct {
	mu   sync.Mutex
	next time.Time
}

// Take reports whether a request may be sent now at the rate, in requests per second, and counts it.
func (p *Pacer) Take(rate float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}
