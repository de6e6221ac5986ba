package edge

import (
	"slices"
	"time"

	"tamarackspool/internal/site/book"
	"tamarackspool/internal/steer/placement"
)

// chooseTarget returns the target for the next attempt, or nil when none may get the request. It prefers
// warm targets without recent failures, then any warm target, then a cold one within its rate.
func (e *Edge) chooseTarget(q *requestState, now time.Time) *targetState {
	v := e.view.Load()
	b := v.services[q.service]
	q.paced = false
	if b == nil {
		return nil
	}
	weights := b.requestWeights
	if q.rule.Kind() == book.Upload {
		weights = b.uploadWeights
	}
	pick := func(allowed func(s *targetState) bool) *targetState {
		order := placement.Order(q.key, len(b.targets), func(i int) uint64 { return b.targets[i].hash }, func(i int) float64 {
			if !e.canAttempt(v, q, b.targets[i], now) || !allowed(b.targets[i]) {
				return 0
			}
			return weights[i]
		})
		return e.pickCandidate(q, b.targets, order, now)
	}
	position := q.key.Position()
	if s := pick(func(s *targetState) bool {
		return !v.isCold(s, now) && !s.gauge.BackingOff(now) && !s.notice.AwaitsReturn(position, now)
	}); s != nil {
		return s
	}
	if s := pick(func(s *targetState) bool { return !v.isCold(s, now) }); s != nil {
		return s
	}
	return e.chooseColdTarget(v, q, b.targets, now)
}

// pickCandidate returns the target that gets the request; order lists the candidates for its object, the preferred one first.
func (e *Edge) pickCandidate(q *requestState, targets []*targetState, order [placement.MaxCandidates]int, now time.Time) *targetState {
	var candidates [placement.MaxCandidates]placement.Candidate
	n := 0
	for _, i := range order {
		if i < 0 {
			break
		}
		s := targets[i]
		candidates[n] = placement.Candidate{Load: s.gauge.Load(now), Slots: s.target.Slots(), Warm: e.affinity.HandledRecently(q.key, s.hash, now), Slow: s.gauge.Slow(now)}
		n++
	}
	if n == 0 {
		return nil
	}
	picked := placement.Pick(candidates[:n])
	q.candidateIndex, q.firstCandidateLoad = picked, candidates[0].Load
	return targets[order[picked]]
}

// chooseColdTarget returns a cold target whose rate allows one more request from this entry, or nil.
func (e *Edge) chooseColdTarget(v *view, q *requestState, targets []*targetState, now time.Time) *targetState {
	service, ok := v.book.Service(q.service)
	if !ok {
		return nil
	}
	for _, s := range targets {
		if e.canAttempt(v, q, s, now) && e.mayPace(v, s, now) && s.pacer.Take(service.ColdRate, now) {
			q.paced = true
			return s
		}
	}
	return nil
}

// canAttempt reports whether the target is eligible for the request, wants requests and has not been tried for it.
func (e *Edge) canAttempt(v *view, q *requestState, s *targetState, now time.Time) bool {
	return e.eligible(v, q, s) && s.notice.AcceptsRequests(now) && !slices.ContainsFunc(q.triedTargets, func(o *targetState) bool { return o.gauge == s.gauge })
}

// eligible reports whether the target serves new requests under this request's rule.
func (e *Edge) eligible(v *view, q *requestState, s *targetState) bool {
	if s.isLeaving() || v.evacuatedZones[s.target.Zone()] || !s.usableUntil.IsZero() && time.Now().After(s.usableUntil) {
		return false
	}
	return q.allowsRegion(s.target.Region())
}

// isCold reports whether a target is or may be cold: it reported so, or it may have
// restarted since its registration was last read.
func (v *view) isCold(s *targetState, now time.Time) bool {
	if now.Before(s.coldUntil) || now.Before(s.gauge.ColdUntil()) {
		return true
	}
	possibleExit := s.gauge.LastPossibleExit()
	if possibleExit.IsZero() || possibleExit.Before(s.confirmed) || v.book == nil {
		return false
	}
	f, _ := v.book.Service(s.target.Service())
	return now.Sub(possibleExit) < f.ColdDuration
}
