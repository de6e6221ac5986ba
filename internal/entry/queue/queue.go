package queue

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// MaxWaiting is the maximum number of waiting requests. A longer queue would only add
// queueing delay, because each wait is limited to a few service times.
const MaxWaiting = 1024

// Rank orders waiting requests: the lowest Priority value first, then the earliest Deadline.
type Rank struct {
	Priority int
	Deadline time.Time
}

// Queue holds waiting requests ordered by rank and is safe for concurrent use.
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

// Wait calls try at once and then each time the request is woken, until try returns
// true, maxWait has passed or the context ends. It reports whether try returned true.
func (q *Queue) Wait(ctx context.Context, r Rank, maxWait time.Duration, try func() bool) bool {
	w, ok := q.addWaiter(r)
	if !ok {
		return false
	}
	defer q.removeWaiter(w)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		// The first call covers a slot that became free before the request was added.
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

func (q *Queue) addWaiter(r Rank) (*waiter, bool) {
	w := &waiter{rank: r, wake: make(chan struct{}, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= MaxWaiting {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(q.waiters, r, func(x *waiter, r Rank) int {
		// Requests of equal rank are served in order of arrival.
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

func (q *Queue) removeWaiter(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	// If this request was woken but no longer waits, the next one may use the slot.
	q.wakeFirst()
}

// Wake wakes the request with the best rank; call it after a slot became free.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// WakeAll wakes every waiting request; call it after a tick that changed the limits.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters {
		w.signal()
	}
}

func (q *Queue) wakeFirst() {
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
