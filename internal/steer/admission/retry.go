package admission

import "time"

// maxTries bounds the number of retries that one rejected request is expected to need.
const maxTries = 2

// AdmitRetry reports whether a rejected request may use one of the retries that the budget has available: only while
// enough is left for the more urgent requests expected until the budget refills, and while the client account has not
// used its share of the retries. A service whose requests have one priority and one account shares them as they come.
func (s *Service) AdmitRetry(r Request, available int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if available < 1 || !s.short(now) {
		return available >= 1
	}
	return float64(available)-s.reserve(r.Priority, now) >= 1 && !s.overRetried(r, available, now)
}

// RecordRetry records that a retry was paid for.
func (s *Service) RecordRetry(r Request, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(r, now).retried.add(now, s.limits.Horizon)
}

// reserve returns how many of the available retries the requests more urgent than the priority will need, beyond those
// that arriving requests pay for, within the time in which the available ones can be used.
func (s *Service) reserve(priority int, now time.Time) float64 {
	var urgent, all float64 // Requests per second.
	for _, g := range s.groups {
		rate := g.arrived.get(now, shareMemory) / shareMemory.Seconds()
		all += rate
		if g.priority < priority {
			urgent += rate
		}
	}
	shed := s.shedFraction(now)
	needed := urgent * maxTries
	if shed < 1 {
		needed = min(needed, urgent*shed/(1-shed))
	}
	return max(0, needed-all*s.limits.RetriesPerRequest) * s.limits.Horizon.Seconds()
}

// overRetried reports whether the account has used its fair share of the retries while others of its priority ask for some.
func (s *Service) overRetried(r Request, available int, now time.Time) bool {
	own := s.byKey[groupKey{r.Priority, r.Account}]
	if own == nil {
		return false
	}
	var demands []demand
	capacity := float64(available)
	for _, g := range s.groups {
		if g.priority != r.Priority {
			continue
		}
		used := g.retried.get(now, s.limits.Horizon)
		capacity += used
		if wanted := max(used, g.shed.get(now, s.limits.Horizon)); wanted > forgotten {
			demands = append(demands, demand{wanted, g.quota})
		}
	}
	used := own.retried.get(now, s.limits.Horizon)
	// The first retry of an account is always within its share, as a share is often less than one.
	return len(demands) > 1 && used >= max(1, fairLevel(demands, capacity).share(own.quota))
}
