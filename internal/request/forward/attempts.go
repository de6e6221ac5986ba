package forward

import (
	"context"
	"sync"
)

// maxRemembered bounds the ids of ended and dropped attempts. At 10,000
// cancellations/s it still covers longer than a relayed request can be late.
const maxRemembered = 1 << 16

// attempts knows the relayed attempts of other entries.
type attempts struct {
	mu      sync.Mutex
	running map[string]context.CancelFunc
	past    map[string]string // past holds "done" or "dropped".
	order   []string
	next    int
}

func newAttempts() *attempts {
	return &attempts{running: make(map[string]context.CancelFunc), past: make(map[string]string)}
}

// start reports whether the attempt may run here; if not, it returns what is known about it.
func (a *attempts) start(id string, cancel context.CancelFunc) (known string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, again := a.running[id]; again {
		return "running", false
	}
	if s := a.past[id]; s != "" {
		return s, false
	}
	a.running[id] = cancel
	return "", true
}

func (a *attempts) end(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, id)
	a.remember(id, "done")
}

func (a *attempts) remember(id, state string) {
	if len(a.order) < maxRemembered {
		a.order = append(a.order, id)
	} else {
		delete(a.past, a.order[a.next])
		a.order[a.next] = id
		a.next = (a.next + 1) % maxRemembered
	}
	a.past[id] = state
}

func (a *attempts) state(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.running[id]; ok {
		return "running"
	}
	if s := a.past[id]; s != "" {
		return s
	}
	return "unknown"
}

// cancel stops a running attempt, or refuses one that has not arrived yet.
func (a *attempts) cancel(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if stop, ok := a.running[id]; ok {
		stop()
		return "running"
	}
	if s := a.past[id]; s != "" {
		return s
	}
	a.remember(id, "dropped")
	return "dropped"
}
