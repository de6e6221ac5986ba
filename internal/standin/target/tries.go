package target

import "sync"

// maxAttempts bounds the number of attempts whose state is kept.
const maxAttempts = 1 << 16

// attempts holds the states of the latest attempts by id.
type attempts struct {
	mu    sync.Mutex
	state map[string]string
	order []string // order is a ring of the ids, from which the oldest is evicted.
	next  int      // next is the oldest position of a full ring.
}

func newAttempts() *attempts { return &attempts{state: make(map[string]string)} }

// set sets the state of an attempt; it reports false when the attempt has been dropped.
func (a *attempts) set(id, state string) bool {
	if id == "" {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old, known := a.state[id]
	if old == "dropped" {
		return false
	}
	if !known {
		a.add(id)
	}
	a.state[id] = state
	return true
}

func (a *attempts) add(id string) {
	if len(a.order) < maxAttempts {
		a.order = append(a.order, id)
		return
	}
	delete(a.state, a.order[a.next])
	a.order[a.next] = id
	a.next = (a.next + 1) % maxAttempts
}

// get returns the state of an attempt for the response; a waiting attempt is reported as running.
func (a *attempts) get(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.state[id]; ok {
		if s == "waiting" {
			return "running"
		}
		return s
	}
	return "unknown"
}

// drop prevents an attempt from starting, unless it has started already, and returns its state.
func (a *attempts) drop(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s := a.state[id]; s {
	case "running", "done":
		return s
	case "":
		a.add(id)
	}
	a.state[id] = "dropped"
	return "dropped"
}
