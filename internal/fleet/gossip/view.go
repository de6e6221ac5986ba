package gossip

import (
	"net/netip"
	"slices"

	"tamarackspool/internal/fleet/member"
)

// The parameters of a view. A few persistent connections that are replaced slowly keep the number of connections and
// handshakes constant in large fleets.
const (
	viewSize     = 5
	replaceEvery = 32 // picks between two replacements of a peer in a view
	probeEvery   = 8  // picks of other regions between two attempts to reach a dead or configured address
	ownRegion    = 0
	otherRegion  = 1
)

// view is the small set of peers of one scope with which the local entry exchanges state.
type view struct {
	names []string
	picks int
}

// pickPeer returns the address of a random peer of the scope, or of a probed address. The caller holds s.mu.
func (s *Service) pickPeer(scope int) (netip.AddrPort, bool) {
	v := &s.views[scope]
	v.picks++
	if scope == otherRegion && v.picks%probeEvery == 0 {
		if a, ok := s.pickProbe(); ok {
			return a, true
		}
	}
	candidates := s.candidates(scope)
	if len(candidates) == 0 {
		return s.pickProbe()
	}
	s.refreshView(v, candidates)
	return candidates[v.names[s.random.IntN(len(v.names))]], true
}

func (s *Service) candidates(scope int) map[string]netip.AddrPort {
	self := s.table.Self()
	out := make(map[string]netip.AddrPort)
	for _, m := range s.table.Members() {
		if m.Name() == self.Name() || m.State() == member.Dead || !m.PeerAddr().IsValid() {
			continue
		}
		if (m.Region() == self.Region()) == (scope == ownRegion) {
			out[m.Name()] = m.PeerAddr()
		}
	}
	return out
}

// refreshView removes peers that are no longer candidates, removes a random peer every replaceEvery picks and fills the
// view up with random candidates.
func (s *Service) refreshView(v *view, candidates map[string]netip.AddrPort) {
	v.names = slices.DeleteFunc(v.names, func(name string) bool {
		_, ok := candidates[name]
		return !ok
	})
	if v.picks%replaceEvery == 0 && len(v.names) > 0 {
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
	slices.Sort(rest) // Map order must not influence the random selection.
	s.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	v.names = append(v.names, rest[:min(viewSize, len(candidates))-len(v.names)]...)
}

// pickProbe returns a random address of a dead member or a configured peer that is not a member, so that partitioned regions
// reconnect.
func (s *Service) pickProbe() (netip.AddrPort, bool) {
	self := s.table.Self()
	known := make(map[netip.AddrPort]bool)
	var all []netip.AddrPort
	for _, m := range s.table.Members() {
		known[m.PeerAddr()] = true
		if m.State() == member.Dead && m.PeerAddr().IsValid() {
			all = append(all, m.PeerAddr())
		}
	}
	for _, a := range s.settings.Seeds {
		if !known[a] && a != self.PeerAddr() {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	return all[s.random.IntN(len(all))], true
}
