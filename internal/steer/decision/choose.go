package decision

import (
	"net/http"
	"slices"
	"time"

	"tamarackspool/internal/request/verdict"
)

// maxHops is the largest number of entries that may relay a request.
const maxHops = 3

// The refusals are allocated once, so that a decision does not allocate.
var (
	errUnknownService = refuse(verdict.ReasonBadInput, http.StatusNotFound, 0)
	errStale          = refuse(verdict.ReasonStaleSnapshot, http.StatusServiceUnavailable, time.Second)
	errIsolated       = refuse(verdict.ReasonIsolated, http.StatusServiceUnavailable, time.Second)
	errDeadline       = refuse(verdict.ReasonDeadline, http.StatusServiceUnavailable, 0)
	errNoSlot         = refuse(verdict.ReasonNoCapacity, http.StatusServiceUnavailable, time.Second)
	errShift          = refuse(verdict.ReasonShiftLimit, http.StatusServiceUnavailable, time.Second)
	errLink           = refuse(verdict.ReasonLinkLimit, http.StatusServiceUnavailable, time.Second)
	errRegion         = refuse(verdict.ReasonRegionLimit, http.StatusServiceUnavailable, time.Second)
	errHops           = refuse(verdict.ReasonTooManyHops, http.StatusServiceUnavailable, 0)
)

func refuse(r verdict.Reason, status int, after time.Duration) *verdict.Error {
	return verdict.NewError(verdict.NotRun, r, status, nil).WithRetryAfter(after)
}

// Choose selects a target or a peer for the request and reserves a slot there;
// draw is a random number. The error is a *verdict.Error with the verdict not-run.
func (s *Snapshot) Choose(r Request, draw uint64) (Choice, error) {
	i, ok := s.services[r.Service]
	if !ok {
		return Choice{}, s.unknown()
	}
	sv := &s.fields.Services[i]
	if r.Now.Sub(s.fields.At) > MaxAge {
		return Choice{}, errStale
	}
	if !r.Deadline.IsZero() && r.Deadline.Sub(r.Now) < max(1, sv.ExpectedLatency/2) {
		return Choice{}, errDeadline
	}
	c, err := s.decide(sv, &r, draw)
	if err == nil && len(r.Avoid) == 0 && r.Hops == 0 {
		// Only the first attempt of a request adds to the retry budget, and only when it gets a slot, so polling for a slot does not.
		sv.Retries.addRequest()
	}
	return c, err
}

// decide tries this entry's own targets first, then peers of the region, then other regions.
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
	if c, ok := s.relayInRegion(sv, r, draw); ok {
		return c, nil
	}
	return s.relayToOtherRegion(sv, r, draw, err)
}

// unknown returns the error for an unknown service: either it does not exist or this entry has no configuration yet.
func (s *Snapshot) unknown() *verdict.Error {
	if len(s.fields.Services) == 0 {
		return errIsolated
	}
	return errUnknownService
}

func (s *Snapshot) local(sv *Service, r *Request, draw uint64) (Choice, *verdict.Error) {
	if s.fields.Closed {
		return Choice{}, errIsolated
	}
	if !s.admit(sv) {
		return Choice{}, errRegion
	}
	meter := s.meter(sv, r.Home)
	if meter != nil && !meter.Take() {
		s.fields.Total.inFlight.Add(-1)
		return Choice{}, errShift
	}
	if g := takeGate(sv.Gates, r.Avoid, draw); g != nil {
		return Choice{target: g.Target, region: s.fields.Region, gate: g.Gate, total: s.fields.Total}, nil
	}
	s.fields.Total.inFlight.Add(-1)
	if meter != nil {
		meter.undo()
	}
	return Choice{}, errNoSlot
}

// admit counts a request against this entry's share of the region limit and reports whether the limit allows it.
func (s *Snapshot) admit(sv *Service) bool {
	t := s.fields.Total
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
		// An unknown home counts as this region, as for a caller whose address is in no configured client block.
		i, ok = s.regions[s.fields.Region]
	}
	if !ok || i >= len(sv.Meters) {
		return nil
	}
	return sv.Meters[i]
}

// maxScannedGates limits the gates that one decision compares, so that its time does
// not grow with the number of owned targets.
const maxScannedGates = 8

// takeGate reserves a slot at the gate with the lowest expected latency among those compared, or returns nil when all are full.
func takeGate(gates []Slot, avoid []string, draw uint64) *Slot {
	n := len(gates)
	if n == 0 {
		return nil
	}
	start := int(draw % uint64(n))
	for tries := 0; tries < 3; tries++ {
		if g := cheapestGate(gates, avoid, start); g != nil && g.Gate.Take() {
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

func cheapestGate(gates []Slot, avoid []string, start int) *Slot {
	var found *Slot
	lowest := 0.0
	n := len(gates)
	for k := range min(n, maxScannedGates) {
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

// relayInRegion relays to a peer of this region.
func (s *Snapshot) relayInRegion(sv *Service, r *Request, draw uint64) (Choice, bool) {
	return relay(sv.Near, r, draw)
}

// relayToOtherRegion relays to another region over a link that is within its rate limit.
func (s *Snapshot) relayToOtherRegion(sv *Service, r *Request, draw uint64, cause *verdict.Error) (Choice, error) {
	if s.fields.Closed {
		return Choice{}, errIsolated
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

// relay reserves a slot at a peer that is drawn at random, weighted by free slots.
func relay(routes []Route, r *Request, draw uint64) (Choice, bool) {
	total := 0
	for i := range routes {
		total += freeSlots(&routes[i], r)
	}
	if total <= 0 {
		return Choice{}, false
	}
	point := int((draw >> 8) % uint64(total))
	for i := range routes {
		p := &routes[i]
		w := freeSlots(p, r)
		if point -= w; point < 0 && w > 0 && p.Gate.Take() {
			return Choice{entry: p.Entry, region: p.Region, gate: p.Gate}, true
		}
	}
	return Choice{}, false
}

func freeSlots(p *Route, r *Request) int {
	if p.Bucket != nil && !p.Bucket.Open(r.Now) {
		return 0
	}
	if slices.Contains(r.Avoid, p.Entry) {
		return 0
	}
	return p.Gate.Free()
}
