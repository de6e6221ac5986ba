package forward

import (
	"context"
	"sync"
)

// maxPastAttempts bounds the number of remembered ended and dropped attempts. At 10,000
// cancellations/s it still covers more time than a relayed request can be delayed.
const maxPastAttempts = 1 << 16

// attemptTable holds the running and past attempts that other entries relayed to this one.
type attemptTable struct {
	mu         sync.Mutex
	running    map[string]context.CancelFunc
	past       map[string]string // past maps the id of an ended attempt to "done" or "dropped".
	pastIDs    []string
	oldestPast int
}

func newAttemptTable() *attemptTable {
	return &attemptTable{running: make(map[string]context.CancelFunc), past: make(map[string]string)}
}

// start reports whether the attempt may run here; if not, it returns the attempt's state.
func (a *attemptTable) start(id string, cancel context.CancelFunc) (state string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, running := a.running[id]; running {
		return "running", false
	}
	if s := a.past[id]; s != "" {
		return s, false
	}
	a.running[id] = cancel
	return "", true
}

func (a *attemptTable) end(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, id)
	a.remember(id, "done")
}

func (a *attemptTable) remember(id, state string) {
	if len(a.pastIDs) < maxPastAttempts {
		a.pastIDs = append(a.pastIDs, id)
	} else {
		delete(a.past, a.pastIDs[a.oldestPast])
		a.pastIDs[a.oldestPast] = id
		a.oldestPast = (a.oldestPast + 1) % maxPastAttempts
	}
	a.past[id] = state
}

func (a *attemptTable) state(id string) string {
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

// cancel cancels a running attempt and returns its state. An attempt that has not arrived
// yet is marked as dropped, so that it is refused when it arrives.
func (a *attemptTable) cancel(id string) string {
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
