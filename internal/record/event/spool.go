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
	w := &AsyncWriter{out: out, maxPending: maxPending, limiter: rate.NewLimiter(rate.Limit(perSecond), maxPending), done: make(chan struct{})}
	w.wake.L = &w.mu
	go w.writePending()
	return w
}

// Write buffers a line and returns without waiting for the output. It never fails; a dropped line is only counted.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > w.maxPending || !w.limiter.AllowN(time.Now(), len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.wake.Signal()
	return len(line), nil
}

// DroppedLines returns the number of dropped lines.
func (w *AsyncWriter) DroppedLines() int64 { return w.dropped.Load() }

// FailedWrites returns the number of failed writes to the output.
func (w *AsyncWriter) FailedWrites() int64 { return w.failed.Load() }

func (w *AsyncWriter) writePending() {
	defer close(w.done)
	var spare []byte
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && !w.closed {
			w.wake.Wait()
		}
		if len(w.pending) == 0 {
			w.mu.Unlock()
			return
		}
		batch := w.pending
		w.pending = spare[:0]
		w.mu.Unlock()
		if _, err := w.out.Write(batch); err != nil {
			w.failed.Add(1)
		}
		spare = batch
	}
}

// Close makes later writes drop their lines and returns a channel that is closed once all buffered lines are written.
func (w *AsyncWriter) Close() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.wake.Signal()
	return w.done
}
