package target

import "sync"

// maxTries bounds the attempts that are remembered.
const maxTries = 1 << 16

// tries remembers attempts by id.
type tries struct {
	mu    sync.Mutex
	state map[string]string
	order []string
	next  int
}

func newTries() *tries { return &tries{state: make(map[string]string)} }

// set moves an attempt to a state; it reports false when the attempt was dropped before.
func (a *tries) set(id, state string) bool {
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
		a.keep(id)
	}
	a.state[id] = state
	return true
}

func (a *tries) keep(id string) {
	if len(a.order) < maxTries {
		a.order = append(a.order, id)
		return
	}
	delete(a.state, a.order[a.next])
	a.order[a.next] = id
	a.next = (a.next + 1) % maxTries
}

func (a *tries) get(id string) string {
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

// drop keeps an attempt from starting, unless it has started already.
func (a *tries) drop(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s := a.state[id]; s {
	case "running", "done":
		return s
	case "":
		a.keep(id)
	}
	a.state[id] = "dropped"
	return "dropped"
}
