package admission

import (
	"slices"
	"time"
)

// demand is what one account asks for.
type demand struct {
	amount float64
	quota  float64 // quota is 0 for an account without a limit.
}

// level is the result of a max-min fair division: each account gets what it asks for up to the same amount for each unit of weight.
type level struct {
	perWeight float64
	byQuota   bool // byQuota is set when the weights are the accounts' quotas; otherwise all weights are 1.
}

// share returns the largest amount for an account with the quota.
func (l level) share(quota float64) float64 {
	if l.byQuota {
		return l.perWeight * quota
	}
	return l.perWeight
}

// fairLevel divides the capacity between the demands with max-min fairness. The weights are the quotas if all accounts
// have one: what is usual for a large account is not too much because a small one asks for less.
func fairLevel(demands []demand, capacity float64) level {
	byQuota := !slices.ContainsFunc(demands, func(d demand) bool { return d.quota <= 0 })
	weight := func(d demand) float64 {
		if byQuota {
			return d.quota
		}
		return 1
	}
	weights := 0.0
	for _, d := range demands {
		weights += weight(d)
	}
	slices.SortFunc(demands, func(a, b demand) int {
		x, y := a.amount*weight(b), b.amount*weight(a)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	l := level{byQuota: byQuota}
	for _, d := range demands {
		w := weight(d)
		l.perWeight = max(0, capacity) / weights
		if d.amount > l.perWeight*w {
			break
		}
		// The account gets all that it asks for; the others share the rest.
		l.perWeight = max(l.perWeight, d.amount/w)
		capacity -= d.amount
		weights -= w
	}
	return l
}

// median returns the level that half of the demands, sorted by fairLevel, don't exceed.
func median(sorted []demand, byQuota bool) level {
	d := sorted[(len(sorted)-1)/2]
	if byQuota {
		return level{d.amount / d.quota, true}
	}
	return level{d.amount, false}
}

const (
	// minServed is the least part of its requests, relative to all requests, that an account or priority may send
	// while the service is overloaded. The requirement is a quarter; the rest is for rejections of what was sent.
	minServed = 0.4
	// growth is the factor by which the requests sent may exceed those answered, so that free capacity is found again.
	growth = 1.05
	// allowance is the number of requests that an account may always send beyond its share.
	allowance = 1
)

// Verdict is a decision on a request that has arrived.
type Verdict uint8

// The verdicts.
const (
	Admitted     Verdict = iota
	OverShare            // OverShare refuses a request whose account uses more than its fair share.
	LessUrgently         // LessUrgently refuses a request because more urgent ones need the capacity.
)

// Admit counts a request that has arrived and decides whether it may be sent.
func (s *Service) Admit(r Request, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r, now)
	g.arrived.add(now, shareMemory)
	v := Admitted
	if s.overloaded(now) {
		v = s.judge(r, g, now)
	}
	if v == Admitted {
		g.admitted.add(now, shareMemory)
	}
	return v
}

// judge decides on a request of an overloaded service. The capacity is what was answered lately; more urgent requests
// are served from it first, and the accounts of one priority share what is left for it.
func (s *Service) judge(r Request, own *group, now time.Time) Verdict {
	capacity := growth*s.answered.get(now, shareMemory) + allowance
	var all, urgent, same, sameAdmitted float64
	var demands []demand
	for _, g := range s.groups {
		amount := g.arrived.get(now, shareMemory)
		all += amount
		switch {
		case g.priority < r.Priority:
			urgent += amount
		case g.priority == r.Priority:
			same += amount
			sameAdmitted += g.admitted.get(now, shareMemory)
			if amount > forgotten {
				demands = append(demands, demand{amount, g.quota})
			}
		}
	}
	if all <= capacity {
		return Admitted
	}
	least := minServed * capacity / all
	left := max(capacity-urgent, least*same)
	admitted := own.admitted.get(now, shareMemory)
	l := fairLevel(demands, left)
	share := max(l.share(own.quota), least*own.arrived.get(now, shareMemory))
	if len(demands) > 1 && admitted >= max(share, median(demands, l.byQuota).share(own.quota))+allowance {
		return OverShare
	}
	if urgent > forgotten && sameAdmitted >= left+allowance && admitted >= share {
		return LessUrgently
	}
	return Admitted
}
