package admission

import (
	"math"
	"time"
)

// Placement is a decision on the target of a request.
type Placement struct {
	// Candidate is the index of the candidate that the request goes to; -1 when it is to be refused.
	Candidate int
	// Wait is, for a refused request, the time after which a candidate is expected to be free enough for it.
	Wait time.Duration
}

// Late reports whether a request of the rule that goes to the candidate is expected to miss its deadline, so that Place
// must be asked. It never is while the candidate has a free slot or the work time of the rule is unknown.
func (s *Service) Late(rule string, c Candidate, left time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateBy(rule, c, left) > 0
}

// Place decides on a request of the rule that was to go to the first of the candidates and has the given time left. If it
// can't be answered there in time, it goes to the first candidate where it can; if all are full and too slow for it, it is
// refused, as it would use a slot in vain. The refusal counts as a sign of overload.
func (s *Service) Place(rule string, candidates []Candidate, left time.Duration, now time.Time) Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := time.Duration(math.MaxInt64)
	for i, c := range candidates {
		late := s.lateBy(rule, c, left)
		if late <= 0 {
			return Placement{Candidate: i}
		}
		least = min(least, late)
	}
	// Without this sign, refusals ahead of the targets' queues would hide the overload from Admit.
	s.attempts.add(now, shortageMemory)
	s.overload.add(now, shortageMemory)
	return Placement{Candidate: -1, Wait: least}
}

// lateBy returns by how much a request is expected to miss its deadline behind others at a candidate; 0 if it is not.
func (s *Service) lateBy(rule string, c Candidate, left time.Duration) time.Duration {
	d, known := s.work.Completion(rule, c)
	if !known || !c.Full() {
		return 0
	}
	return max(0, d-left)
}
