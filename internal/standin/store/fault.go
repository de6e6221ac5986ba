package store

import (
	"sync"
	"time"
)

// faults are the switches of the stand-in; they are safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	down    bool
	delay   time.Duration
	lost    int
	prefix  string
	fall    bool // fall takes the store down with the next lost answer.
	silent  bool
	restart chan struct{} // closed and replaced at each restart
}

// SetDown makes every call fail with 503 before it has an effect.
func (s *Server) SetDown(on bool) {
	s.faults.mu.Lock()
	s.faults.down = on
	s.faults.mu.Unlock()
	if on {
		s.cut()
	}
}

// SetDelay delays every call by d before it takes effect.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers cuts the connection of the next n writes whose key begins with prefix after they took effect.
func (s *Server) LoseAnswers(n int, prefix string) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.lost, s.faults.prefix = n, prefix
}

// FallAfter loses the answer of the next write whose key begins with prefix and takes the store down with it.
func (s *Server) FallAfter(prefix string) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.lost, s.faults.prefix, s.faults.fall = 1, prefix, true
}

// SetSilent makes watches wait without ever answering, not even at the end of their poll.
func (s *Server) SetSilent(on bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.silent = on
}

// Restart cuts all waiting watches; with stale, the next read of each changed key returns its content before.
func (s *Server) Restart(stale bool) {
	if stale {
		s.table.outdate()
	}
	s.cut()
}

// cut ends all waiting watches with a closed connection.
func (s *Server) cut() {
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
