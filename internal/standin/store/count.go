package store

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Counts holds the numbers of calls since the start and of the watches in flight.
type Counts struct {
	Reads          uint64 // Reads counts gets, lists and polls of watches.
	Writes         uint64 // Writes counts puts, deletes, grants and renewals.
	Limited        uint64 // Limited counts calls rejected with 429, which the other counts don't include.
	WaitingWatches int64  // WaitingWatches is the number of watches in flight now.
}

type counters struct {
	reads, writes, limited atomic.Uint64
	waiting                atomic.Int64
}

// Counts returns the present counts.
func (s *Server) Counts() Counts {
	c := &s.counters
	return Counts{c.reads.Load(), c.writes.Load(), c.limited.Load(), c.waiting.Load()}
}

// newLimiter returns a limiter of perSecond calls per second with a burst of perSecond/10 calls but at least 1; 0 means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// admit counts a call and reports whether its rate is within the limit.
func (s *Server) admit(write bool, now time.Time) bool {
	limit, count := s.readLimit, &s.counters.reads
	if write {
		limit, count = s.writeLimit, &s.counters.writes
	}
	if !limit.AllowN(now, 1) {
		s.counters.limited.Add(1)
		return false
	}
	count.Add(1)
	return true
}
