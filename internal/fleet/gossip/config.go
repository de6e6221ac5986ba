package gossip

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

	"tamarackspool/internal/fleet/member"
)

// fetch is a peer that holds a newer configuration.
type fetch struct {
	address netip.AddrPort
	version uint64
}

// ask schedules a fetch; when one is already scheduled the next exchange repeats the occasion.
func (s *Service) ask(peer member.Member, version uint64) {
	if !peer.Peer().IsValid() {
		return
	}
	select {
	case s.fetches <- fetch{peer.Peer(), version}:
	default:
		s.count.dropped.Add(1)
	}
}

// obtain fetches and adopts the configuration of a peer and passes the news on.
func (s *Service) obtain(ctx context.Context, f fetch) error {
	if held, _, _ := s.deps.Holder.Raw(); f.version <= held {
		return nil
	}
	adopted, err := s.fetchFrom(ctx, s.link(f.address), f.version)
	if err != nil || !adopted {
		return err
	}
	s.Push(ctx)
	return nil
}

func (s *Service) fetchFrom(ctx context.Context, l *link, version uint64) (bool, error) {
	var answer configForm
	s.count.fetched.Add(1)
	if err := l.call(ctx, "config", versionForm{Version: version, Packed: true}, &answer); err != nil {
		s.count.failed.Add(1)
		return false, err
	}
	held, _, _ := s.deps.Holder.Raw()
	if answer.Version <= held {
		s.count.stale.Add(1)
		return false, nil
	}
	hash, err := hex.DecodeString(answer.Hash)
	if err != nil || len(hash) != 32 {
		return false, fmt.Errorf("gossip: configuration %d of %s has no valid hash", answer.Version, l.address)
	}
	data := answer.Data
	if answer.Packed {
		if data, err = unpack(data); err != nil {
			return false, err
		}
	}
	return s.deps.Holder.Adopt(answer.Version, [32]byte(hash), data)
}

// configuration answers a fetch with the version held, which may be newer than the one asked for.
func (s *Service) configuration(m versionForm) (configForm, error) {
	version, hash, data := s.deps.Holder.Raw()
	if m.Packed {
		var err error
		if data, err = s.packed.pack(hash, data); err != nil {
			return configForm{}, err
		}
	}
	s.count.bulk.Add(int64(len(data)) * 4 / 3) // base64 on the wire
	return configForm{Version: version, Hash: hex.EncodeToString(hash[:]), Data: data, Packed: m.Packed}, nil
}

// Push tells peers of the held configuration version and returns how many answered.
func (s *Service) Push(ctx context.Context) int {
	version, _, _ := s.deps.Holder.Raw()
	var answered atomic.Int64
	var wait sync.WaitGroup
	for _, address := range s.pushPeers() {
		wait.Go(func() {
			var held versionForm
			if s.link(address).call(ctx, "push", versionForm{Version: version}, &held) == nil {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	return int(answered.Load())
}

// pushPeers returns half of the peers from the own region and half from the others, where there are enough.
func (s *Service) pushPeers() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[netip.AddrPort]bool)
	for i := range 2 * fanout {
		if m, ok := s.pick(i % 2); ok && len(seen) < fanout {
			seen[m] = true
		}
	}
	out := make([]netip.AddrPort, 0, len(seen))
	for a := range seen {
		out = append(out, a)
	}
	return out
}
