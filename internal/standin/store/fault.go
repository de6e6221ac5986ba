package store

import (
	"sync"
	"time"
)

// faults holds the switched faults of the stand-in; it is safe for concurrent use.
type faults struct {
	mu           sync.Mutex
	down         bool
	delay        time.Duration
	lostCount    int           // lostCount is the number of writes whose response will still be lost.
	keyPrefix    string        // keyPrefix selects the keys of those writes.
	downWithLoss bool          // downWithLoss takes the store down with the next lost response.
	silent       bool          // silent makes watches wait without a response.
	restart      chan struct{} // restart is closed and replaced at each restart.
}

// SetDown sets whether every call fails with 503 and without effect. Setting it ends all waiting watches.
func (s *Server) SetDown(on bool) {
	s.faults.mu.Lock()
	s.faults.down = on
	s.faults.mu.Unlock()
	if on {
		s.closeWatches()
	}
}

// SetDelay sets the delay of every call before it takes effect.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = d
}

// LoseResponses makes the next n writes whose key begins with prefix take effect and lose their response to a closed connection.
func (s *Server) LoseResponses(n int, prefix string) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.lostCount, s.faults.keyPrefix = n, prefix
}

// GoDownAfterWrite makes the next write whose key begins with prefix take effect, lose its response and take the store down.
func (s *Server) GoDownAfterWrite(prefix string) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.lostCount, s.faults.keyPrefix, s.faults.downWithLoss = 1, prefix, true
}

// SetWatchesSilent sets whether watches wait without ever responding, not even at the end of their poll.
func (s *Server) SetWatchesSilent(on bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.silent = on
}

// Restart closes the connections of all waiting watches. If stale is set, the next read of each overwritten key returns its previous value.
func (s *Server) Restart(stale bool) {
	if stale {
		s.table.markStale()
	}
	s.closeWatches()
}

// closeWatches ends all waiting watches with a closed connection.
func (s *Server) closeWatches() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	close(s.faults.restart)
	s.faults.restart = make(chan struct{})
}

func (f *faults) state() (down, silent bool, delay time.Duration, restart <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.silent, f.delay, f.restart
}
