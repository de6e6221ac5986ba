package decision

import (
	"net/http"
	"slices"
	"time"

	"tamarackspool/internal/request/verdict"
)

// Most relays that a request may pass.
const maxHops = 3

// The refusals are made once so that a decision allocates nothing.
var (
	errService  = refuse(verdict.ReasonInput, http.StatusNotFound, 0)
	errStale    = refuse(verdict.ReasonStale, http.StatusServiceUnavailable, time.Second)
	errClosed   = refuse(verdict.ReasonIsolated, http.StatusServiceUnavailable, time.Second)
	errDeadline = refuse(verdict.ReasonDeadline, http.StatusServiceUnavailable, 0)
	errRoom     = refuse(verdict.ReasonRoom, http.StatusServiceUnavailable, time.Second)
	errShift    = refuse(verdict.ReasonShift, http.StatusServiceUnavailable, time.Second)
	errLink     = refuse(verdict.ReasonLink, http.StatusServiceUnavailable, time.Second)
	errRegion   = refuse(verdict.ReasonRegion, http.StatusServiceUnavailable, time.Second)
	errHops     = refuse(verdict.ReasonHops, http.StatusServiceUnavailable, 0)
)

func refuse(r verdict.Reason, status int, after time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, r, status, nil).WithRetryAfter(after)
}

// Choose picks a target or a peer for the request and takes a slot there; draw
// is a random number. The error is a *verdict.Error that proves not-run.
func (s *Snapshot) Choose(r Request, draw uint64) (Choice, error) {
	i, ok := s.services[r.Service]
	if !ok {
		return Choice{}, s.unknown()
	}
	sv := &s.f.Services[i]
	if r.Now.Sub(s.f.At) > Staleness {
		return Choice{}, errStale
	}
	if !r.Deadline.IsZero() && r.Deadline.Sub(r.Now) < max(1, sv.Expect/2) {
		return Choice{}, errDeadline
	}
	c, err := s.decide(sv, &r, draw)
	if err == nil && len(r.Avoid) == 0 && r.Hops == 0 {
		// Only a request that starts earns, so a waiting one that asks again does not.
		sv.Retries.earn()
	}
	return c, err
}

// decide tries this entry's gates, then peers of the region, then other regions.
func (s *Snapshot) decide(sv *Service, r *Request, draw uint64) (Choice, error) {
	c, err := s.local(sv, r, draw)
	if err == nil {
		return c, nil
	}
	if r.Relayed {
		return Choice{}, err
	}
	if r.Hops >= maxHops {
		return Choice{}, errHops
	}
	if c, ok := s.near(sv, r, draw); ok {
		return c, nil
	}
	return s.far(sv, r, draw, err)
}

// unknown tells a service that does not exist from an entry without a configuration.
func (s *Snapshot) unknown() *verdict.Error {
	if len(s.f.Services) == 0 {
		return errClosed
	}
	return errService
}

func (s *Snapshot) local(sv *Service, r *Request, draw uint64) (Choice, *verdict.Error) {
	if s.f.Closed {
		return Choice{}, errClosed
	}
	if !s.enter(sv) {
		return Choice{}, errRegion
	}
	meter := s.meter(sv, r.Home)
	if meter != nil && !meter.Take() {
		s.f.Total.inFlight.Add(-1)
		return Choice{}, errShift
	}
	if g := pick(sv.Gates, r.Avoid, draw); g != nil {
		return Choice{target: g.Target, region: s.f.Region, gate: g.Gate, total: s.f.Total}, nil
	}
	s.f.Total.inFlight.Add(-1)
	if meter != nil {
		meter.untake()
	}
	return Choice{}, errRoom
}

// enter counts a request against this entry's share of the region limit.
func (s *Snapshot) enter(sv *Service) bool {
	t := s.f.Total
	limit := t.limit.Load()
	if limit < 0 {
		t.inFlight.Add(1)
		return true
	}
	for {
		n := t.inFlight.Load()
		if n >= limit-int64(sv.Reserve) {
			return false
		}
		if t.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (s *Snapshot) meter(sv *Service, home string) *Meter {
	i, ok := s.regions[home]
	if !ok {
		// An unknown home counts as this region, like a caller in no client block.
		i, ok = s.regions[s.f.Region]
	}
	if !ok || i >= len(sv.Meters) {
		return nil
	}
	return sv.Meters[i]
}

// scanned bounds the gates that one decision compares, so that its time does
// not grow with the number of owned targets.
const scanned = 8

// pick takes a slot at the gate with the lowest expected time among those looked at.
func pick(gates []Slot, avoid []string, draw uint64) *Slot {
	n := len(gates)
	if n == 0 {
		return nil
	}
	start := int(draw % uint64(n))
	for tries := 0; tries < 3; tries++ {
		if g := best(gates, avoid, start); g != nil && g.Gate.Take() {
			return g
		}
	}
	for k := range n {
		g := &gates[(start+k)%n]
		if !slices.Contains(avoid, g.Target.Name()) && g.Gate.Take() {
			return g
		}
	}
	return nil
}

func best(gates []Slot, avoid []string, start int) *Slot {
	var found *Slot
	lowest := 0.0
	n := len(gates)
	for k := range min(n, scanned) {
		g := &gates[(start+k)%n]
		limit := g.Gate.limit.Load()
		used := g.Gate.inFlight.Load()
		if used >= limit || slices.Contains(avoid, g.Target.Name()) {
			continue
		}
		cost := g.Cost * (1 + float64(used)/float64(limit))
		if found == nil || cost < lowest {
			found, lowest = g, cost
		}
	}
	return found
}

// near relays within the region.
func (s *Snapshot) near(sv *Service, r *Request, draw uint64) (Choice, bool) {
	return relay(sv.Near, r, draw)
}

// far relays to another region over a link that is not in debt.
func (s *Snapshot) far(sv *Service, r *Request, draw uint64, cause *verdict.Error) (Choice, error) {
	if s.f.Closed {
		return Choice{}, errClosed
	}
	if c, ok := relay(sv.Far, r, draw); ok {
		return c, nil
	}
	for i := range sv.Far {
		if sv.Far[i].Gate.Free() > 0 && !slices.Contains(r.Avoid, sv.Far[i].Entry) {
			return Choice{}, errLink
		}
	}
	return Choice{}, cause
}

// relay takes a place at a peer drawn in proportion to its free places.
func relay(routes []Route, r *Request, draw uint64) (Choice, bool) {
	total := 0
	for i := range routes {
		total += weight(&routes[i], r)
	}
	if total <= 0 {
		return Choice{}, false
	}
	mark := int((draw >> 8) % uint64(total))
	for i := range routes {
		p := &routes[i]
		w := weight(p, r)
		if mark -= w; mark < 0 && w > 0 && p.Gate.Take() {
			return Choice{entry: p.Entry, region: p.Region, gate: p.Gate}, true
		}
	}
	return Choice{}, false
}

func weight(p *Route, r *Request) int {
	if p.Bucket != nil && !p.Bucket.Open(r.Now) {
		return 0
	}
	if slices.Contains(r.Avoid, p.Entry) {
		return 0
	}
	return p.Gate.Free()
}
