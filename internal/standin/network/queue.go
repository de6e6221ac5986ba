package network

import (
	"io"
	"os"
	"sync"
	"time"
)

// depth is the most bytes under way in one direction of a connection; a
// writer waits while it is reached, as it does for a full send buffer.
const depth = 1 << 20

// chunk is a piece of a stream with the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
}

// queue is one direction of a connection: chunks in the order of their arrival.
type queue struct {
	mu       sync.Mutex
	changed  chan struct{}
	chunks   []chunk
	size     int
	last     time.Time
	end      error
	deadline time.Time
}

func newQueue() *queue { return &queue{changed: make(chan struct{})} }

// signal wakes all waiters; q.mu is held.
func (q *queue) signal() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// put appends data that arrives at due, or after what is already queued; it waits while the queue is full.
func (q *queue) put(data []byte, due time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.size >= depth && q.end == nil {
		if err := q.wait(q.deadline); err != nil {
			return err
		}
	}
	if q.end != nil {
		return io.ErrClosedPipe
	}
	if due.Before(q.last) {
		due = q.last
	}
	q.last = due
	q.chunks = append(q.chunks, chunk{data, due})
	q.size += len(data)
	q.signal()
	return nil
}

// take waits for the first chunk that has arrived and moves up to len(p) of its bytes to p.
func (q *queue) take(p []byte, deadline func() time.Time) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		limit := deadline()
		if !limit.IsZero() && !time.Now().Before(limit) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(q.chunks) == 0 && q.end != nil {
			return 0, q.end
		}
		if len(q.chunks) > 0 {
			due := q.chunks[0].due
			if !time.Now().Before(due) {
				return q.pop(p), nil
			}
			if limit.IsZero() || due.Before(limit) {
				limit = due
			}
		}
		_ = q.wait(limit)
	}
}

// pop moves bytes of the first chunk to p; q.mu is held.
func (q *queue) pop(p []byte) int {
	n := copy(p, q.chunks[0].data)
	if n == len(q.chunks[0].data) {
		q.chunks = q.chunks[1:]
	} else {
		q.chunks[0].data = q.chunks[0].data[n:]
	}
	q.size -= n
	q.signal()
	return n
}

// wait releases the lock until something changes or the time has come.
func (q *queue) wait(until time.Time) error {
	changed := q.changed
	q.mu.Unlock()
	defer q.mu.Lock()
	if until.IsZero() {
		<-changed
		return nil
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
}

// finish ends the queue; what is queued can still be taken unless drop is set.
func (q *queue) finish(err error, drop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.end == nil {
		q.end = err
	}
	if drop {
		q.chunks, q.size = nil, 0
	}
	q.signal()
}

// limit sets the deadline of waiting calls.
func (q *queue) limit(t time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadline = t
	q.signal()
}

// current returns the deadline; q.mu is held by take.
func (q *queue) current() time.Time { return q.deadline }
