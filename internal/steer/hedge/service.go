package hedge

import (
	"sync"
	"time"
)

const (
	// tokenUnits is the number of units of a token; whole units add up without rounding.
	tokenUnits = 1_000_000
	// maxTokens bounds the copies that an entry sends at once after a time without copies.
	maxTokens = 2
	// shortageMemory is how long after a rejection or a timeout a service counts as short of capacity.
	shortageMemory = time.Second
	// noticeInterval is the shortest time between two notices that a copy was withheld.
	noticeInterval = time.Second
)

// Service decides on the copies of the requests of one service at one entry. It is safe for concurrent use.
type Service struct {
	mu         sync.Mutex
	credit     int64 // credit is what one request adds, in units of a token.
	tokens     int64
	shortUntil time.Time
	nextNotice time.Time
	rules      map[string]*estimator
}

// New returns a service whose copies are at most the given part of its requests.
func New(share float64) *Service {
	return &Service{credit: int64(share * tokenUnits), rules: make(map[string]*estimator)}
}

// RecordRequest counts a request that may have a copy.
func (s *Service) RecordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+s.credit, maxTokens*tokenUnits)
}

// Take reports whether a copy is within the part of the requests and not kept back by a shortage, and takes its token.
func (s *Service) Take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < tokenUnits || now.Before(s.shortUntil) {
		return false
	}
	s.tokens -= tokenUnits
	return true
}

// RecordShortage records that a target rejected a request or let it time out.
func (s *Service) RecordShortage(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shortUntil = now.Add(shortageMemory)
}

// RecordLatency records how long a request of the rule took, or at least took when it was cancelled.
func (s *Service) RecordLatency(rule string, d time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rules[rule]
	if r == nil {
		r = newEstimator(now)
		s.rules[rule] = r
	}
	r.record(d, now)
}

// Latency returns the latencies of the rule; false while too little is known.
func (s *Service) Latency(rule string, now time.Time) (Latency, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rules[rule]; r != nil {
		return r.get(now)
	}
	return Latency{}, false
}

// TakeNotice reports whether a withheld copy may be logged now, at most once a second.
func (s *Service) TakeNotice(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextNotice) {
		return false
	}
	s.nextNotice = now.Add(noticeInterval)
	return true
}
