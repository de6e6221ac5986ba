package gossip

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// maxSuccessors is how many entries answer for a stopped one (docs/design.md, section 10.3).
const maxSuccessors = 3

// Bootstrap asks up to 16 configured peers for members, the floor and the highest configuration, and returns
// how many answered.
func (s *Service) Bootstrap(ctx context.Context) int {
	var mu sync.Mutex
	var reached []netip.AddrPort
	var wait sync.WaitGroup
	for _, address := range s.bootstrapPeers() {
		wait.Go(func() {
			if s.exchange(ctx, s.link(address), true) == nil {
				mu.Lock()
				defer mu.Unlock()
				reached = append(reached, address)
			}
		})
	}
	wait.Wait()
	if len(reached) == 0 {
		s.deps.Events.Log(event.NoPeer, "entry", s.settings.Self.Name())
		return 0
	}
	s.bestVersion(ctx, reached)
	return len(reached)
}

func (s *Service) bootstrapPeers() []netip.AddrPort {
	all := slices.DeleteFunc(slices.Clone(s.settings.Seeds), func(a netip.AddrPort) bool { return a == s.settings.Self.Peer() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxPeers, len(all))]
}

// bestVersion fetches the configuration from the peers that announced the highest version.
func (s *Service) bestVersion(ctx context.Context, reached []netip.AddrPort) {
	versions := make(map[netip.AddrPort]uint64)
	for _, m := range s.Members() {
		versions[m.Peer()] = m.Version()
	}
	slices.SortFunc(reached, func(a, b netip.AddrPort) int { return int(int64(versions[b]) - int64(versions[a])) })
	for _, a := range reached {
		if held, _, _ := s.deps.Holder.Raw(); versions[a] <= held {
			return
		}
		// A peer that fails is followed by the one with the next lower version.
		_, _ = s.fetchFrom(ctx, s.link(a), versions[a])
	}
}

// Handover sends the tickets of this stopping entry to up to three live entries of its region and returns their names.
func (s *Service) Handover(ctx context.Context, data []byte) []string {
	self := s.selfMember()
	var successors []string
	for _, m := range s.Members() {
		if len(successors) == maxSuccessors {
			break
		}
		if m.Name() == self.Name() || m.State() != member.Alive || m.Region() != self.Region() {
			continue
		}
		if s.link(m.Peer()).call(ctx, "tickets", ticketsForm{Data: data}, nil) == nil {
			successors = append(successors, m.Name())
		}
	}
	return successors
}
