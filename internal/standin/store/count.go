package store

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Counts are the calls since the start.
type Counts struct {
	Reads   uint64 // Reads are gets, lists and polls of watches.
	Writes  uint64 // Writes are puts, deletes, grants and renewals.
	Limited uint64 // Limited are calls refused with 429; they are in no other count.
	Waiting int64  // Waiting is the number of watches that wait now.
}

type counters struct {
	reads, writes, limited atomic.Uint64
	waiting                atomic.Int64
}

// Counts returns the calls since the start.
func (s *Server) Counts() Counts {
	c := &s.counters
	return Counts{c.reads.Load(), c.writes.Load(), c.limited.Load(), c.waiting.Load()}
}

// limiter allows perSecond calls per second with a burst of a tenth of a second; 0 means no limit.
func limiter(perSecond int) *rate.Limiter {
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
