package gossip

import (
	"net/netip"
	"slices"

	"tamarackspool/internal/fleet/member"
)

// The sizes of a view. A few persistent connections that change slowly keep the number of connections and
// greetings constant in large fleets.
const (
	viewSize    = 5
	renewEvery  = 32 // picks until one member of a view is replaced
	probeEvery  = 8  // picks of another region until a dead or configured address is tried
	ownRegion   = 0
	otherRegion = 1
)

// view is the small set of peers that exchanges go to.
type view struct {
	names []string
	picks int
}

// pick returns the address of a peer of the own region or of another one. The caller holds the lock.
func (s *Service) pick(scope int) (netip.AddrPort, bool) {
	v := &s.views[scope]
	v.picks++
	if scope == otherRegion && v.picks%probeEvery == 0 {
		if a, ok := s.probe(); ok {
			return a, true
		}
	}
	candidates := s.candidates(scope)
	if len(candidates) == 0 {
		return s.probe()
	}
	s.renew(v, candidates)
	return candidates[v.names[s.random.IntN(len(v.names))]], true
}

func (s *Service) candidates(scope int) map[string]netip.AddrPort {
	self := s.table.Self()
	out := make(map[string]netip.AddrPort)
	for _, m := range s.table.Members() {
		if m.Name() == self.Name() || m.State() == member.Dead || !m.Peer().IsValid() {
			continue
		}
		if (m.Region() == self.Region()) == (scope == ownRegion) {
			out[m.Name()] = m.Peer()
		}
	}
	return out
}

// renew drops peers that are no candidates any more, sometimes one that is, and fills the view up.
func (s *Service) renew(v *view, candidates map[string]netip.AddrPort) {
	v.names = slices.DeleteFunc(v.names, func(name string) bool {
		_, ok := candidates[name]
		return !ok
	})
	if v.picks%renewEvery == 0 && len(v.names) > 0 {
		i := s.random.IntN(len(v.names))
		v.names = slices.Delete(v.names, i, i+1)
	}
	if len(v.names) >= min(viewSize, len(candidates)) {
		return
	}
	rest := make([]string, 0, len(candidates))
	for name := range candidates {
		if !slices.Contains(v.names, name) {
			rest = append(rest, name)
		}
	}
	slices.Sort(rest) // The draw must not depend on the order of a map.
	s.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	v.names = append(v.names, rest[:min(viewSize, len(candidates))-len(v.names)]...)
}

// probe returns the address of a dead member or a configured address, so that partitioned regions find each other.
func (s *Service) probe() (netip.AddrPort, bool) {
	self := s.table.Self()
	known := make(map[netip.AddrPort]bool)
	var all []netip.AddrPort
	for _, m := range s.table.Members() {
		known[m.Peer()] = true
		if m.State() == member.Dead && m.Peer().IsValid() {
			all = append(all, m.Peer())
		}
	}
	for _, a := range s.settings.Seeds {
		if !known[a] && a != self.Peer() {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	return all[s.random.IntN(len(all))], true
}
