package refusal

import (
	"sync"
	"time"
)

const (
	// returnRanks is the number of priorities that are told apart; all higher ones count as the last.
	returnRanks = 8
	// lateReturn is the part of the limit after which callers return that find no place in the order of returns.
	lateReturn = 0.75
	// MaxReturn bounds a delay that follows the order of returns: a longer one costs a caller with much time more than a second refusal.
	MaxReturn = 4 * time.Second
)

// Returns orders the returns of the callers that one service refuses while it is short of capacity, so that they come
// back at the rate that the service can serve, the urgent ones first. The zero value is ready to use; it is safe for
// concurrent use.
type Returns struct {
	mu   sync.Mutex
	last [returnRanks]time.Time // last is when the last refused caller of each priority returns.
}

// Shortage is what an entry has recently seen of a service.
type Shortage struct {
	Served float64 // Served is the number of requests per second that were answered.
	Shed   float64 // Shed is the part of the attempts that targets rejected.
}

// Delay returns the delay of a caller that is refused now, and reserves its place. The limit is the longest delay that
// the caller waits for; wait is the time before which no capacity is expected.
func (r *Returns) Delay(priority int, s Shortage, wait, limit time.Duration, now time.Time) Delay {
	limit = max(MinDelay, min(limit, MaxReturn))
	step := limit
	if s.Served > 0 {
		step = min(limit, time.Duration(float64(time.Second)/s.Served))
	}
	rank := min(max(priority, 0), returnRanks-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The more attempts are rejected, the likelier is a second refusal soon after the first. With the square, a service
	// that rejects less than half of them delays little, as most returns succeed and waiting costs the latency objective.
	at := now.Add(max(MinDelay, wait, time.Duration(s.Shed*s.Shed*float64(limit))))
	for _, l := range r.last[:rank+1] {
		if l = l.Add(step); l.After(at) {
			at = l
		}
	}
	d := at.Sub(now)
	if d+step/2 > limit {
		r.last[rank] = later(r.last[rank], now.Add(limit))
		least := time.Duration(lateReturn * float64(limit))
		return Delay{least, limit - least}
	}
	r.last[rank] = at
	least := max(MinDelay, d-step/2)
	return Delay{least, max(0, d+step/2-least)}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
