package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Spool writes lines in the background: a reader that is slow or has stopped
// never holds up the caller. Lines beyond its room or its rate are dropped and
// counted. It is safe for concurrent use.
type Spool struct {
	out     io.Writer
	room    int
	limit   *rate.Limiter
	dropped atomic.Int64
	failed  atomic.Int64

	mu      sync.Mutex
	wake    sync.Cond
	pending []byte
	closed  bool
	done    chan struct{}
}

// NewSpool returns a spool that writes to out at most perSecond bytes per
// second, and room bytes more at once; it holds at most room bytes that are not yet written.
func NewSpool(out io.Writer, room, perSecond int) *Spool {
	s := &Spool{out: out, room: room, limit: rate.NewLimiter(rate.Limit(perSecond), room), done: make(chan struct{})}
	s.wake.L = &s.mu
	go s.run()
	return s
}

// Write takes a line over and never waits for it to be written.
func (s *Spool) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > s.room || !s.limit.AllowN(time.Now(), len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.wake.Signal()
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Spool) Dropped() int64 { return s.dropped.Load() }

// Failed returns how many writes have failed.
func (s *Spool) Failed() int64 { return s.failed.Load() }

func (s *Spool) run() {
	defer close(s.done)
	var spare []byte
	for {
		s.mu.Lock()
		for len(s.pending) == 0 && !s.closed {
			s.wake.Wait()
		}
		if len(s.pending) == 0 {
			s.mu.Unlock()
			return
		}
		batch := s.pending
		s.pending = spare[:0]
		s.mu.Unlock()
		if _, err := s.out.Write(batch); err != nil {
			s.failed.Add(1)
		}
		spare = batch
	}
}

// Close stops taking lines and returns a channel that is closed once all taken ones are written.
func (s *Spool) Close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.wake.Signal()
	return s.done
}
