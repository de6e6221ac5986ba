package spend

import (
	"math"
	"sync"
	"time"
)

// Terms are the bounds on repeats of one service over all entries.
type Terms struct {
	Ratio  float64       // Ratio is the part of the requests that may be repeated.
	Window time.Duration // Window is the time over which both are counted.
}

const (
	// windowSlots is the number of slots of a window, 100 ms each in one of 10 s.
	windowSlots = 100
	// lifeSlots is the number of slots over which a request may pay. The rest of the window is for
	// the ways of requests and repeats: a caller waits 1 s for a connection and 1 s for its request
	// to be read, and sent bytes stay unacknowledged for 1.2 s at most.
	lifeSlots = 60
)

// Budget pays the repeats that one entry sends of one service with the
// requests that this entry took; see the package comment. It is safe for
// concurrent use.
type Budget struct {
	price int // price is the number of requests that pay for one repeat; 0 when none may be repeated.
	slot  time.Duration

	mu     sync.Mutex
	counts [lifeSlots]int // counts holds the requests that have not paid, by slot modulo lifeSlots.
	newest int64          // newest is the last slot that counts holds.
	held   int            // held is the sum of counts.
	from   time.Duration  // from is when requests must have arrived to be noted.
}

// New returns a budget without requests.
func New(t Terms) *Budget {
	b := &Budget{slot: t.Window / windowSlots}
	if t.Ratio > 0 {
		b.price = int(math.Ceil(2 / t.Ratio))
	}
	return b
}

// Request notes a request that arrived at the given time of a clock that also counts while the machine is suspended.
func (b *Budget) Request(arrived time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := int64(arrived / b.slot)
	b.advance(at)
	if b.newest-at >= lifeSlots || arrived < b.from {
		return
	}
	b.counts[at%lifeSlots]++
	b.held++
}

// Take reports whether a repeat may be sent at the time of the same clock, and pays for it with the oldest requests.
func (b *Budget) Take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(int64(now / b.slot))
	if b.price == 0 || b.held < b.price {
		return false
	}
	due := b.price
	// The slot behind the newest one is the oldest.
	for s := b.newest + 1; due > 0; s++ {
		paid := min(due, b.counts[s%lifeSlots])
		b.counts[s%lifeSlots] -= paid
		due -= paid
	}
	b.held -= b.price
	return true
}

// Forget drops all requests, and those that arrive until the given time: after
// a standstill they may have been sent long before they were read.
func (b *Budget) Forget(until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.counts[:])
	b.held, b.from = 0, until
}

// Left returns how many repeats may be sent at the time.
func (b *Budget) Left(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(int64(now / b.slot))
	if b.price == 0 {
		return 0
	}
	return b.held / b.price
}

// advance forgets the requests that are too old at the slot.
func (b *Budget) advance(to int64) {
	for n := 0; b.newest < to && n < lifeSlots; n++ {
		b.newest++
		b.held -= b.counts[b.newest%lifeSlots]
		b.counts[b.newest%lifeSlots] = 0
	}
	b.newest = max(b.newest, to)
}
