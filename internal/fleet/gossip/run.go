package gossip

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// maxOpen is how many exchanges may wait for answers at once, so that one slow peer does not hold up heartbeats.
const maxOpen = 8

// Run exchanges state with peers until the context ends and then closes all connections to peers.
func (s *Service) Run(ctx context.Context) error {
	defer s.Close()
	var group errgroup.Group
	group.SetLimit(maxOpen)
	group.Go(func() error {
		s.fetchLoop(ctx)
		return nil
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.prompt:
		case <-timer.C:
		}
		if ctx.Err() != nil {
			break
		}
		interval, peers := s.round()
		for _, address := range peers {
			if !group.TryGo(func() error {
				// A peer that fails is in backoff and shows in the membership; the round goes on.
				_ = s.exchange(ctx, s.link(address), false)
				return nil
			}) {
				s.count.skipped.Add(1)
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
			// A failed fetch is repeated by the next exchange that shows a newer version.
			_ = s.obtain(ctx, f)
		}
	}
}

// round advances the table by one interval and returns the peers to exchange with.
func (s *Service) round() (time.Duration, []netip.AddrPort) {
	s.mu.Lock()
	now := s.deps.Now()
	version, _, _ := s.deps.Holder.Raw()
	before := s.table.Standing()
	if before != member.Superseded {
		s.table.Advance(now, version)
	}
	changes := s.table.Tick(now, s.pace.refresh(s.table.Size()))
	s.reportStanding(before)
	unused := s.unused()
	s.turn++
	var peers []netip.AddrPort
	a, ok := s.pick(s.turn % 2)
	if !ok {
		a, ok = s.pick((s.turn + 1) % 2)
	}
	if ok {
		peers = append(peers, a)
	}
	if b, more := s.pick((s.turn + 1) % 2); more && ok && len(s.needs) > 0 && b != a {
		// Loans come only in answers, so an entry in need asks twice as many peers.
		peers = append(peers, b)
	}
	s.pace.update(s.traffic(), s.table.Size())
	interval := s.pace.interval
	regions := s.regions()
	s.mu.Unlock()
	for _, l := range unused {
		l.close() // A link takes the service's lock while it opens.
	}
	s.report(changes)
	s.reportRegions(regions)
	return interval, peers
}

// traffic returns the totals of bytes that count against the budget; configurations are excepted.
func (s *Service) traffic() traffic {
	answered := s.count.answered.Load()
	return traffic{
		asked: s.count.sent.Load() - answered - s.count.status.Load(), answered: answered - s.count.bulk.Load(), answers: s.count.answers.Load(),
	}
}

// unused removes the links to addresses that no known member has any more and returns them.
func (s *Service) unused() []*link {
	if s.turn%renewEvery != 0 {
		return nil
	}
	used := make(map[netip.AddrPort]bool)
	for _, m := range s.table.Members() {
		used[m.Peer()] = true
	}
	for _, a := range s.settings.Seeds {
		used[a] = true
	}
	var out []*link
	for a, l := range s.links {
		if !used[a] {
			delete(s.links, a)
			out = append(out, l)
		}
	}
	return out
}

type regionChange struct {
	name string
	lost bool
}

// regions returns the regions that were lost or came back since the last round.
func (s *Service) regions() []regionChange {
	live := make(map[string]int)
	for _, m := range s.table.Members() {
		live[m.Region()] += 0
		if m.Live() {
			live[m.Region()]++
		}
	}
	var out []regionChange
	for name, n := range live {
		before, known := s.alive[name]
		if known && (before > 0) != (n > 0) {
			out = append(out, regionChange{name, n == 0})
		}
		s.alive[name] = n
	}
	return out
}

func (s *Service) reportRegions(changes []regionChange) {
	for _, c := range changes {
		n := event.RegionReturned
		if c.lost {
			n = event.RegionLost
		}
		s.deps.Events.Log(n, "region", c.name)
	}
}
