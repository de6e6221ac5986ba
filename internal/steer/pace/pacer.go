package pace

import (
	"sync"
	"time"
)

// Pacer limits the rate of requests that one entry sends to one cold target. At
// any time the entries agree on which one of them may send to the target, so the
// rate needs no messages between them. While two entries briefly disagree, the sum
// of their rates stays within the tolerance of the limit. It is safe for concurrent
// use.
type Pacer struct {
	mu   sync.Mutex
	next time.Time // next is the earliest time of the next request.
}

// Take reports whether a request may be sent now at the given rate in requests per second, and counts it.
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
