package gossip

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// maxOpenExchanges is the limit for the exchanges in flight plus the fetch loop. Several exchanges run at a time, so that one
// slow peer does not delay heartbeats to the others.
const maxOpenExchanges = 8

// Run exchanges state with peers until ctx is done and then closes all connections to peers.
func (s *Service) Run(ctx context.Context) error {
	defer s.Close()
	var group errgroup.Group
	group.SetLimit(maxOpenExchanges)
	group.Go(func() error {
		s.fetchLoop(ctx)
		return nil
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.exchangeNow:
		case <-timer.C:
		}
		if ctx.Err() != nil {
			break
		}
		interval, peers := s.startRound()
		for _, address := range peers {
			if !group.TryGo(func() error {
				// A failed peer is put in backoff and times out in the table, so the error is not needed.
				_ = s.exchange(ctx, s.peerConn(address), false)
				return nil
			}) {
				s.counters.skippedExchanges.Add(1)
			}
		}
		timer.Reset(interval)
	}
	s.Close()
	return group.Wait()
}

func (s *Service) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.fetches:
			// The next exchange that shows a newer version schedules a failed fetch again.
			_ = s.fetchAndPush(ctx, f)
		}
	}
}

// startRound advances the local heartbeat, updates member states and returns the interval and the peers to exchange with.
func (s *Service) startRound() (time.Duration, []netip.AddrPort) {
	s.mu.Lock()
	now := s.deps.Now()
	version, _, _ := s.deps.Holder.Raw()
	before := s.table.IncarnationState()
	if before != member.Superseded {
		s.table.AdvanceHeartbeat(now, version)
	}
	changes := s.table.Tick(now, s.pacer.suspicionInterval(s.table.Size()))
	s.logIncarnationState(before)
	unused := s.removeUnusedConns()
	s.rounds++
	var peers []netip.AddrPort
	first, ok := s.pickPeer(s.rounds % 2)
	if !ok {
		first, ok = s.pickPeer((s.rounds + 1) % 2)
	}
	if ok {
		peers = append(peers, first)
	}
	if second, more := s.pickPeer((s.rounds + 1) % 2); more && ok && len(s.neededLinks) > 0 && second != first {
		// Loans arrive only in answers, so an entry that needs one exchanges with two peers per round.
		peers = append(peers, second)
	}
	s.pacer.update(s.traffic(), s.table.Size())
	interval := s.pacer.interval
	regions := s.updateRegions()
	s.mu.Unlock()
	for _, conn := range unused {
		conn.close() // Not under s.mu, which a connection locks while it opens.
	}
	s.logMemberChanges(changes)
	s.logRegionChanges(regions)
	return interval, peers
}

// traffic returns the totals that count against the budget, without configurations and status calls.
func (s *Service) traffic() traffic {
	answered := s.counters.answerBytes.Load()
	return traffic{
		requestBytes: s.counters.sentBytes.Load() - answered - s.counters.statusBytes.Load(), answerBytes: answered - s.counters.unbudgetedBytes.Load(), answers: s.counters.answers.Load(),
	}
}

// removeUnusedConns removes the connections to addresses that neither a known member nor the settings have and returns
// them. It does so only once every replaceEvery rounds.
func (s *Service) removeUnusedConns() []*peerConn {
	if s.rounds%replaceEvery != 0 {
		return nil
	}
	used := make(map[netip.AddrPort]bool)
	for _, m := range s.table.Members() {
		used[m.PeerAddr()] = true
	}
	for _, a := range s.settings.Seeds {
		used[a] = true
	}
	var out []*peerConn
	for a, conn := range s.peerConns {
		if !used[a] {
			delete(s.peerConns, a)
			out = append(out, conn)
		}
	}
	return out
}

type regionChange struct {
	name string
	lost bool
}

// updateRegions counts the live members by region and returns the regions that were lost or returned since the last round.
func (s *Service) updateRegions() []regionChange {
	live := make(map[string]int)
	for _, m := range s.table.Members() {
		live[m.Region()] += 0
		if m.Live() {
			live[m.Region()]++
		}
	}
	var out []regionChange
	for name, n := range live {
		before, known := s.liveByRegion[name]
		if known && (before > 0) != (n > 0) {
			out = append(out, regionChange{name, n == 0})
		}
		s.liveByRegion[name] = n
	}
	return out
}

func (s *Service) logRegionChanges(changes []regionChange) {
	for _, c := range changes {
		n := event.RegionReturned
		if c.lost {
			n = event.RegionLost
		}
		s.deps.Events.Log(n, "region", c.name)
	}
}
