package gossip

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// maxSuccessors is how many entries receive the tickets of a stopping one (docs/design.md, section 10.3). A ticket is
// an idempotency key that names the entry process that issued it and that alone may execute its request.
const maxSuccessors = 3

// Bootstrap fetches the members, the version floor and the newest configuration from up to 16 configured peers and returns how
// many peers answered. The floor is the highest configuration version that a peer has seen from the local entry's name.
func (s *Service) Bootstrap(ctx context.Context) int {
	var mu sync.Mutex
	var reached []netip.AddrPort
	var wait sync.WaitGroup
	for _, address := range s.bootstrapPeers() {
		wait.Go(func() {
			if s.exchange(ctx, s.peerConn(address), true) == nil {
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
	s.fetchHighestVersion(ctx, reached)
	return len(reached)
}

func (s *Service) bootstrapPeers() []netip.AddrPort {
	all := slices.DeleteFunc(slices.Clone(s.settings.Seeds), func(a netip.AddrPort) bool { return a == s.settings.Self.PeerAddr() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxBootstrapPeers, len(all))]
}

// fetchHighestVersion fetches the configuration from the peers that announced the highest version.
func (s *Service) fetchHighestVersion(ctx context.Context, reached []netip.AddrPort) {
	versions := make(map[netip.AddrPort]uint64)
	for _, m := range s.Members() {
		versions[m.PeerAddr()] = m.Version()
	}
	slices.SortFunc(reached, func(a, b netip.AddrPort) int { return int(int64(versions[b]) - int64(versions[a])) })
	for _, a := range reached {
		if held, _, _ := s.deps.Holder.Raw(); versions[a] <= held {
			return
		}
		// If a peer fails, the next one is tried, in descending order of versions.
		_, _ = s.fetchConfig(ctx, s.peerConn(a), versions[a])
	}
}

// HandOverTickets sends the tickets of the local entry, which is stopping, to up to three live entries of its region and returns
// their names.
func (s *Service) HandOverTickets(ctx context.Context, data []byte) []string {
	self := s.selfMember()
	var successors []string
	for _, m := range s.Members() {
		if len(successors) == maxSuccessors {
			break
		}
		if m.Name() == self.Name() || m.State() != member.Alive || m.Region() != self.Region() {
			continue
		}
		if s.peerConn(m.PeerAddr()).call(ctx, "tickets", ticketsMessage{Data: data}, nil) == nil {
			successors = append(successors, m.Name())
		}
	}
	return successors
}
