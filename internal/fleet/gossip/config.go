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

// configFetch is a pending fetch from a peer that announced a newer configuration version.
type configFetch struct {
	address netip.AddrPort
	version uint64
}

// scheduleFetch schedules a fetch from the peer. It drops the fetch if another one is pending, because the next exchange
// with a newer version schedules it again.
func (s *Service) scheduleFetch(peer member.Member, version uint64) {
	if !peer.PeerAddr().IsValid() {
		return
	}
	select {
	case s.fetches <- configFetch{peer.PeerAddr(), version}:
	default:
		s.counters.droppedFetches.Add(1)
	}
}

// fetchAndPush fetches and adopts a peer's configuration and then pushes its version to other peers.
func (s *Service) fetchAndPush(ctx context.Context, f configFetch) error {
	if held, _, _ := s.deps.Holder.Raw(); f.version <= held {
		return nil
	}
	adopted, err := s.fetchConfig(ctx, s.peerConn(f.address), f.version)
	if err != nil || !adopted {
		return err
	}
	s.Push(ctx)
	return nil
}

// fetchConfig fetches the peer's configuration and reports whether it was adopted.
func (s *Service) fetchConfig(ctx context.Context, conn *peerConn, version uint64) (bool, error) {
	var answer configMessage
	s.counters.fetches.Add(1)
	if err := conn.call(ctx, "config", versionMessage{Version: version, Compressed: true}, &answer); err != nil {
		s.counters.failedFetches.Add(1)
		return false, err
	}
	held, _, _ := s.deps.Holder.Raw()
	if answer.Version <= held {
		s.counters.staleConfigs.Add(1)
		return false, nil
	}
	hash, err := hex.DecodeString(answer.Hash)
	if err != nil || len(hash) != 32 {
		return false, fmt.Errorf("gossip: configuration %d of %s has an invalid hash", answer.Version, conn.address)
	}
	data := answer.Data
	if answer.Compressed {
		if data, err = decompress(data); err != nil {
			return false, err
		}
	}
	return s.deps.Holder.Adopt(answer.Version, [32]byte(hash), data)
}

// answerConfig answers a fetch with the local configuration, which may be newer than the requested version.
func (s *Service) answerConfig(m versionMessage) (configMessage, error) {
	version, hash, data := s.deps.Holder.Raw()
	if m.Compressed {
		var err error
		if data, err = s.compressor.compress(hash, data); err != nil {
			return configMessage{}, err
		}
	}
	s.counters.unbudgetedBytes.Add(int64(len(data)) * 4 / 3) // base64 in the message
	return configMessage{Version: version, Hash: hex.EncodeToString(hash[:]), Data: data, Compressed: m.Compressed}, nil
}

// Push sends the local configuration version to some peers and returns how many answered.
func (s *Service) Push(ctx context.Context) int {
	version, _, _ := s.deps.Holder.Raw()
	var answered atomic.Int64
	var wait sync.WaitGroup
	for _, address := range s.choosePushPeers() {
		wait.Go(func() {
			var held versionMessage
			if s.peerConn(address).call(ctx, "push", versionMessage{Version: version}, &held) == nil {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	return int(answered.Load())
}

// choosePushPeers returns up to pushFanout random peers, half of them from the local region if there are enough.
func (s *Service) choosePushPeers() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[netip.AddrPort]bool)
	for i := range 2 * pushFanout {
		if m, ok := s.pickPeer(i % 2); ok && len(seen) < pushFanout {
			seen[m] = true
		}
	}
	out := make([]netip.AddrPort, 0, len(seen))
	for a := range seen {
		out = append(out, a)
	}
	return out
}
