package forward

import (
	"sync"
	"time"
)

// burst bounds the retries that are saved up, so that a quiet hour does not pay for a storm.
const burst = 20

// budget limits the retries of a service to a fraction of its requests and a few per second.
type budget struct {
	mu          sync.Mutex
	part, spare float64
	saved       float64
	at          time.Time
}

func newBudget(part, spare float64, now time.Time) *budget {
	return &budget{part: part, spare: spare, saved: spare, at: now}
}

func (b *budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.part, b.limit())
}

func (b *budget) limit() float64 { return max(burst, b.spare) }

// take reports whether a retry is within the budget.
func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := now.Sub(b.at); d > 0 {
		b.saved = min(b.saved+d.Seconds()*b.spare, b.limit())
		b.at = now
	}
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
