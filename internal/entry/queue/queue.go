package queue

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Limit is the most requests that wait at once; a longer queue would only add
// waiting time, because each wait is bounded by a few service times.
const Limit = 1024

// Rank orders waiting requests: lower priority values first, then the earlier deadline.
type Rank struct {
	Priority int
	Deadline time.Time
}

// Queue holds waiting requests in the order of their rank and is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	waiters []*waiter
}

type waiter struct {
	rank Rank
	wake chan struct{}
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Wait calls try after each Wake that reaches the request until try reports
// true, the patience is used up or the context ends. It reports whether try did.
func (q *Queue) Wait(ctx context.Context, r Rank, patience time.Duration, try func() bool) bool {
	w, ok := q.enter(r)
	if !ok {
		return false
	}
	defer q.leave(w)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		// The first call covers a slot that became free before the request entered.
		if try() {
			return true
		}
		select {
		case <-w.wake:
		case <-timer.C:
			return try()
		case <-ctx.Done():
			return false
		}
	}
}

func (q *Queue) enter(r Rank) (*waiter, bool) {
	w := &waiter{rank: r, wake: make(chan struct{}, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= Limit {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(q.waiters, r, func(x *waiter, r Rank) int {
		// Equal ranks are served in the order of their arrival.
		if c := x.rank.compare(r); c != 0 {
			return c
		}
		return -1
	})
	q.waiters = slices.Insert(q.waiters, i, w)
	return w, true
}

func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Priority, o.Priority), r.Deadline.Compare(o.Deadline))
}

func (q *Queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	// The slot that woke this request may serve the next one instead.
	q.first()
}

// Wake lets the request of the best rank try again after a slot became free.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.first()
}

// All lets every waiting request try again, as after a tick with new limits.
func (q *Queue) All() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters {
		w.signal()
	}
}

func (q *Queue) first() {
	if len(q.waiters) > 0 {
		q.waiters[0].signal()
	}
}

func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
