package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// AsyncWriter is a log writer that writes lines in the background, so that
// a slow or blocked reader of the output never blocks the caller. Lines that exceed
// its buffer or its rate limit are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	out        io.Writer
	maxPending int
	limiter    *rate.Limiter
	dropped    atomic.Int64
	failed     atomic.Int64

	mu      sync.Mutex
	wake    sync.Cond
	pending []byte
	closed  bool
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out at most perSecond bytes per second, with
// bursts of up to maxPending bytes. It buffers at most maxPending bytes that are not yet written.
func NewAsyncWriter(out io.Writer, maxPending, perSecond int) *AsyncWriter {
	s := &AsyncWriter{out: out, maxPending: maxPending, limiter: rate.NewLimiter(rate.Limit(perSecond), maxPending), done: make(chan struct{})}
	s.wake.L = &s.mu
	go s.writePending()
	return s
}

// Write buffers a line and returns without waiting for the output. It never fails; a dropped line is only counted.
func (s *AsyncWriter) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > s.maxPending || !s.limiter.AllowN(time.Now(), len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.wake.Signal()
	return len(line), nil
}

// DroppedLines returns the number of dropped lines.
func (s *AsyncWriter) DroppedLines() int64 { return s.dropped.Load() }

// FailedWrites returns the number of failed writes to the output.
func (s *AsyncWriter) FailedWrites() int64 { return s.failed.Load() }

func (s *AsyncWriter) writePending() {
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

// Close makes later writes drop their lines and returns a channel that is closed once all buffered lines are written.
func (s *AsyncWriter) Close() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.wake.Signal()
	return s.done
}
