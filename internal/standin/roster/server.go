package roster

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// horizon is how long changes are remembered, and so the longest lag.
const horizon = time.Hour

// Server is the VM list as an http.Handler; it is safe for concurrent use.
type Server struct {
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	down    bool
	frozen  time.Time // the list's time stands still here; zero means that it does not
	base    map[string]vm
	changes []change
}

type vm struct {
	leaving bool
	seen    time.Time
}

// change is a VM's new state from a time on.
type change struct {
	at   time.Time
	name string
	gone bool
	vm   vm
}

// New returns an empty list that shows changes after lag; a nil clock means time.Now.
func New(lag time.Duration, now func() time.Time) *Server {
	if now == nil {
		now = time.Now
	}
	return &Server{now: now, lag: lag, base: map[string]vm{}}
}

// Set records that the VM lives, and whether it is leaving.
func (s *Server) Set(name string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.changes = append(s.changes, change{at: now, name: name, vm: vm{leaving, now}})
}

// Remove records that the VM is gone.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: s.now(), name: name, gone: true})
}

// SetLag changes how old the shown state is, up to 1 h.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = min(lag, horizon)
}

// SetDown makes every call fail with 503.
func (s *Server) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// SetFrozen stops the shown state from moving on, although the list keeps answering.
func (s *Server) SetFrozen(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = time.Time{}
	if on {
		s.frozen = s.now().Add(-s.lag)
	}
}

type listWire struct {
	VMs []vmWire `json:"vms"`
}

type vmWire struct {
	Name    string    `json:"name"`
	Leaving bool      `json:"leaving"`
	Seen    time.Time `json:"seen"`
}

// ServeHTTP answers GET /list.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/list" {
		http.NotFound(w, r)
		return
	}
	list, ok := s.list()
	if !ok {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(list)
}

// list returns the shown state, and false when the list is down.
func (s *Server) list() (listWire, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return listWire{}, false
	}
	shown := s.now().Add(-s.lag)
	if !s.frozen.IsZero() {
		shown = s.frozen
	} else {
		s.forget(s.now().Add(-horizon))
	}
	state := maps.Clone(s.base)
	for _, c := range s.changes {
		if !c.at.After(shown) {
			c.apply(state)
		}
	}
	list := listWire{VMs: []vmWire{}}
	for _, name := range slices.Sorted(maps.Keys(state)) {
		list.VMs = append(list.VMs, vmWire{name, state[name].leaving, state[name].seen})
	}
	return list, true
}

// forget folds the changes up to the given time into the base.
func (s *Server) forget(until time.Time) {
	for len(s.changes) > 0 && !s.changes[0].at.After(until) {
		s.changes[0].apply(s.base)
		s.changes = s.changes[1:]
	}
}

func (c change) apply(state map[string]vm) {
	if c.gone {
		delete(state, c.name)
		return
	}
	state[c.name] = c.vm
}
