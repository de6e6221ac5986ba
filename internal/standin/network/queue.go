package network

import (
	"io"
	"os"
	"sync"
	"time"
)

// maxQueued is the limit of the bytes in flight in one direction of a connection.
// A writer waits when it is reached, as for a full send buffer.
const maxQueued = 1 << 20

// chunk is a piece of a stream with its arrival time.
type chunk struct {
	data []byte
	due  time.Time
}

// queue holds the chunks of one direction of a connection in the order of their arrival.
type queue struct {
	mu       sync.Mutex
	changed  chan struct{} // changed is closed and replaced at each change.
	chunks   []chunk
	size     int       // size is the number of queued bytes.
	last     time.Time // last is the arrival time of the last chunk.
	endErr   error     // endErr is set once the queue has ended.
	deadline time.Time
}

func newQueue() *queue { return &queue{changed: make(chan struct{})} }

// signal wakes all waiters; q.mu is held.
func (q *queue) signal() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// put appends data that arrives at due, but not before the data already queued. It waits while the queue is full.
func (q *queue) put(data []byte, due time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.size >= maxQueued && q.endErr == nil {
		if err := q.wait(q.deadline); err != nil {
			return err
		}
	}
	if q.endErr != nil {
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

// take waits until the first chunk has arrived and moves up to len(p) of its bytes to p.
func (q *queue) take(p []byte, deadline func() time.Time) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		limit := deadline()
		if !limit.IsZero() && !time.Now().Before(limit) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(q.chunks) == 0 && q.endErr != nil {
			return 0, q.endErr
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

// wait releases the lock until the queue changes or the time is reached; q.mu is held.
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

// end ends the queue. Queued data can still be taken unless drop is set.
func (q *queue) end(err error, drop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.endErr == nil {
		q.endErr = err
	}
	if drop {
		q.chunks, q.size = nil, 0
	}
	q.signal()
}

// setDeadline sets the deadline of waiting calls.
func (q *queue) setDeadline(t time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadline = t
	q.signal()
}

// currentDeadline returns the deadline; q.mu is held by take.
func (q *queue) currentDeadline() time.Time { return q.deadline }
