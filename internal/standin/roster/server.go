package roster

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// maxLag is the largest lag, and so how long changes are kept.
const maxLag = time.Hour

// Server is the VM list as an http.Handler; it is safe for concurrent use.
type Server struct {
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	down    bool
	frozen  time.Time     // frozen is the time whose state is listed while SetFrozen is in force, otherwise zero.
	base    map[string]vm // base is the state before changes.
	changes []change      // changes are in order of time.
}

type vm struct {
	leaving bool
	seen    time.Time // seen is when the VM was last set.
}

// change is the state of a VM from a time on.
type change struct {
	at   time.Time
	name string
	gone bool
	vm   vm
}

// New returns an empty list in which changes appear after the lag; a nil clock means time.Now.
func New(lag time.Duration, now func() time.Time) *Server {
	if now == nil {
		now = time.Now
	}
	return &Server{now: now, lag: lag, base: map[string]vm{}}
}

// Set records that the VM is alive, and whether it is leaving.
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

// SetLag sets the age of the listed state, limited to 1 h.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = min(lag, maxLag)
}

// SetDown sets whether every call fails with 503.
func (s *Server) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// SetFrozen sets whether the listed state stays as it is while calls are still answered.
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
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}

// list returns the state to list; false when the list is down.
func (s *Server) list() (listWire, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return listWire{}, false
	}
	listTime := s.now().Add(-s.lag)
	if !s.frozen.IsZero() {
		listTime = s.frozen
	} else {
		s.compact(s.now().Add(-maxLag))
	}
	state := maps.Clone(s.base)
	for _, c := range s.changes {
		if !c.at.After(listTime) {
			c.apply(state)
		}
	}
	list := listWire{VMs: []vmWire{}}
	for _, name := range slices.Sorted(maps.Keys(state)) {
		list.VMs = append(list.VMs, vmWire{name, state[name].leaving, state[name].seen})
	}
	return list, true
}

// compact applies the changes up to the given time to the base and removes them.
func (s *Server) compact(until time.Time) {
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
