package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// shareMemory is the memory of the counters of requests: long enough to hold several requests of an account that
	// sends a few a second, short enough to follow a burst.
	shareMemory = 2 * time.Second
	// shortageMemory is the memory of the counters of rejections; a shortage is forgotten soon after its last sign.
	shortageMemory = time.Second
	// sweepInterval is how often groups without recent requests are removed.
	sweepInterval = 5 * time.Second
)

// Request is what admission needs to know of a request.
type Request struct {
	Priority int    // Priority is the rank for load shedding; 0 is the most urgent.
	Account  string // Account is the name of the client account; empty for none.
	// Quota is the number of requests per second that the account may send to all entries; 0 when it has no limit.
	Quota float64
}

// Limits are the terms of the service's retry budget and of the refusal of requests before they are sent.
type Limits struct {
	RetriesPerRequest float64       // RetriesPerRequest is the number of retries that one request pays for.
	Horizon           time.Duration // Horizon is how long a request in the budget pays for a retry.
	// OverloadShare is the part of the attempts that must fail for lack of free slots before Admit refuses requests; 0 for never.
	OverloadShare float64
}

// Service decides on the requests of one service at one entry. It is safe for concurrent use.
type Service struct {
	limits Limits

	mu        sync.Mutex
	work      Work
	groups    []*group // groups is in the order of their first requests, so that sums don't depend on the order of a map.
	byKey     map[groupKey]*group
	lastSweep time.Time

	answered counter // answered counts requests that a target answered.
	attempts counter // attempts counts results of attempts of any kind.
	sheds    counter // sheds counts attempts that a target rejected.
	overload counter // overload counts attempts that a full target rejected and requests that timed out.
}

// groupKey identifies the requests that compete with one another on equal terms.
type groupKey struct {
	priority int
	account  string
}

// group holds what is known of the recent requests of an account with one priority.
type group struct {
	groupKey
	quota    float64
	arrived  counter // arrived counts the requests that arrived.
	admitted counter // admitted counts those of them that were admitted.
	shed     counter // shed counts the attempts that a target rejected; each asks for a retry.
	retried  counter // retried counts the retries.
}

// New returns a service of which nothing is known yet.
func New(l Limits) *Service { return &Service{limits: l, byKey: make(map[groupKey]*group)} }

func (s *Service) group(r Request, now time.Time) *group {
	if now.Sub(s.lastSweep) > sweepInterval {
		s.lastSweep = now
		s.groups = slices.DeleteFunc(s.groups, func(g *group) bool {
			idle := g.arrived.get(now, shareMemory) < forgotten && g.retried.get(now, s.limits.Horizon) < forgotten
			if idle {
				delete(s.byKey, g.groupKey)
			}
			return idle
		})
	}
	k := groupKey{r.Priority, r.Account}
	g := s.byKey[k]
	if g == nil {
		g = &group{groupKey: k}
		s.byKey[k], s.groups = g, append(s.groups, g)
	}
	g.quota = r.Quota
	return g
}

// forgotten is the weighted number of events below which a counter counts as empty.
const forgotten = 0.05

// RecordAnswer records that a target answered a request.
func (s *Service) RecordAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.add(now, shareMemory)
	s.attempts.add(now, shortageMemory)
}

// RecordWork records the latency of a request of the rule that was sent to a target with a free slot.
func (s *Service) RecordWork(rule string, warm bool, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work.Record(rule, warm, latency)
}

// RecordShed records that a target rejected an attempt; full means that it had no free slot.
func (s *Service) RecordShed(r Request, full bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts.add(now, shortageMemory)
	s.sheds.add(now, shortageMemory)
	s.group(r, now).shed.add(now, s.limits.Horizon)
	if full {
		s.overload.add(now, shortageMemory)
	}
}

// RecordTimeout records a request that had no answer before its deadline.
func (s *Service) RecordTimeout(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts.add(now, shortageMemory)
	s.overload.add(now, shortageMemory)
}

const (
	// minSigns is the weighted number of recent rejections from which on a service counts as short of capacity.
	minSigns = 1.5
)

// Short reports whether targets have recently rejected requests or let them time out.
func (s *Service) Short(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.short(now)
}

func (s *Service) short(now time.Time) bool {
	return s.sheds.get(now, shortageMemory)+s.overload.get(now, shortageMemory) >= minSigns
}

// overloaded reports whether a good part of the attempts fails because the targets have no free slots.
func (s *Service) overloaded(now time.Time) bool {
	o := s.overload.get(now, shortageMemory)
	return s.limits.OverloadShare > 0 && o >= minSigns && o >= s.limits.OverloadShare*s.attempts.get(now, shortageMemory)
}

// ShedFraction returns the part of the recent attempts that targets rejected.
func (s *Service) ShedFraction(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedFraction(now)
}

func (s *Service) shedFraction(now time.Time) float64 {
	a := s.attempts.get(now, shortageMemory)
	if a == 0 {
		return 0
	}
	return s.sheds.get(now, shortageMemory) / a
}

// ServedRate returns how many requests per second targets have recently answered.
func (s *Service) ServedRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered.get(now, shareMemory) / shareMemory.Seconds()
}
