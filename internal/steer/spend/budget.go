package spend

import (
	"math"
	"sync"
	"time"
)

// Limits are the bounds on the retries of one service over all entries.
type Limits struct {
	Ratio  float64       // Ratio is the largest ratio of retries to requests.
	Window time.Duration // Window is the time over which retries and requests are counted.
}

const (
	// windowBuckets is the number of time buckets in a window; each is 100 ms long in a window of 10 s.
	windowBuckets = 100
	// ttlBuckets is the time to live of a request in the budget, in buckets. The rest of the window
	// covers the network delay of requests and retries: a caller waits 1 s for a connection and 1 s
	// for its request to be read, and sent bytes stay unacknowledged for 1.2 s at most.
	ttlBuckets = 60
)

// RetriesPerRequest returns how many retries one request pays for; 0 when none are allowed.
func RetriesPerRequest(l Limits) float64 {
	if l.Ratio <= 0 {
		return 0
	}
	return 1 / math.Ceil(2/l.Ratio)
}

// TimeToLive returns how long a request can pay for a retry.
func TimeToLive(l Limits) time.Duration { return l.Window / windowBuckets * ttlBuckets }

// Budget is the retry budget of one service at one entry: requests that the
// entry receives pay for the retries that it sends; see the package comment.
// It is safe for concurrent use.
type Budget struct {
	requestsPerRetry int // requestsPerRetry is the number of requests that pay for one retry; 0 allows no retries.
	bucketWidth      time.Duration

	mu         sync.Mutex
	counts     [ttlBuckets]int // counts holds the unspent requests by bucket modulo ttlBuckets.
	newest     int64           // newest is the newest bucket in counts.
	unspent    int             // unspent is the sum of counts.
	acceptFrom time.Duration   // acceptFrom is the earliest arrival time of a request that is counted.
}

// NewBudget returns an empty budget with the given limits.
func NewBudget(l Limits) *Budget {
	b := &Budget{bucketWidth: l.Window / windowBuckets}
	if l.Ratio > 0 {
		b.requestsPerRetry = int(math.Ceil(2 / l.Ratio))
	}
	return b
}

// RecordRequest counts a request that arrived at the given time, read from a clock that also runs while the machine is suspended.
func (b *Budget) RecordRequest(arrived time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := int64(arrived / b.bucketWidth)
	b.advance(at)
	if b.newest-at >= ttlBuckets || arrived < b.acceptFrom {
		return
	}
	b.counts[at%ttlBuckets]++
	b.unspent++
}

// TakeRetry reports whether a retry may be sent at the given time of the same clock, and spends the oldest requests on it.
func (b *Budget) TakeRetry(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(int64(now / b.bucketWidth))
	if b.requestsPerRetry == 0 || b.unspent < b.requestsPerRetry {
		return false
	}
	unpaid := b.requestsPerRetry
	// The buckets form a ring: the one after the newest is the oldest.
	for s := b.newest + 1; unpaid > 0; s++ {
		paid := min(unpaid, b.counts[s%ttlBuckets])
		b.counts[s%ttlBuckets] -= paid
		unpaid -= paid
	}
	b.unspent -= b.requestsPerRetry
	return true
}

// DiscardUntil discards all counted requests and ignores those that arrive before
// the given time: after a pause of the process, requests may have been sent
// long before they are read.
func (b *Budget) DiscardUntil(until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.counts[:])
	b.unspent, b.acceptFrom = 0, until
}

// AvailableRetries returns how many retries may be sent at the given time.
func (b *Budget) AvailableRetries(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(int64(now / b.bucketWidth))
	if b.requestsPerRetry == 0 {
		return 0
	}
	return b.unspent / b.requestsPerRetry
}

// advance moves the ring forward to the bucket and discards expired requests.
func (b *Budget) advance(to int64) {
	for n := 0; b.newest < to && n < ttlBuckets; n++ {
		b.newest++
		b.unspent -= b.counts[b.newest%ttlBuckets]
		b.counts[b.newest%ttlBuckets] = 0
	}
	b.newest = max(b.newest, to)
}
