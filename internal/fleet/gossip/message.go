package gossip

import (
	"encoding/hex"
	"slices"
	"time"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// hashPrefixBytes is how many bytes of the configuration's hash each exchange carries; they suffice to detect a difference.
const hashPrefixBytes = 8

type heartbeatUpdate struct {
	heartbeat member.Heartbeat
	updatedAt time.Time
	isSelf    bool
}

// compose returns a message with up to limit heartbeats. It prefers those whose digest is in first and omits those whose
// sequence, by digest in known, the peer already has. The caller holds s.mu.
func (s *Service) compose(first []uint32, known map[uint32]uint64, limit int) exchangeMessage {
	version, hash, _ := s.deps.Holder.Raw()
	m := exchangeMessage{Version: version}
	if version > 0 {
		m.Hash = hex.EncodeToString(hash[:hashPrefixBytes])
	}
	heartbeats := s.selectHeartbeats(first, known, limit)
	m.Services = serviceNames(heartbeats)
	for _, h := range heartbeats {
		m.Heartbeats = append(m.Heartbeats, encodeHeartbeat(h.heartbeat, m.Version, m.Services))
	}
	m.WantRecords = s.recordsToRequest()
	m.WantHeartbeats = s.silentMembers()
	m.Needs = s.neededLinks
	return m
}

// selectHeartbeats returns the heartbeats for a message, in this order: the local entry's own, those that the peer requested
// and the most recently updated ones. The last third is random, so that members with older updates are not starved.
func (s *Service) selectHeartbeats(first []uint32, known map[uint32]uint64, limit int) []heartbeatUpdate {
	var all []heartbeatUpdate
	s.table.VisitHeartbeats(func(h member.Heartbeat, updatedAt time.Time, isSelf bool) {
		if sequence, ok := known[h.Digest]; !ok || sequence < h.Sequence {
			all = append(all, heartbeatUpdate{h, updatedAt, isSelf})
		}
	})
	priority := func(h heartbeatUpdate) int {
		switch {
		case h.isSelf:
			return 0
		case slices.Contains(first, h.heartbeat.Digest):
			return 1
		default:
			return 2
		}
	}
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b heartbeatUpdate) int {
		if c := priority(a) - priority(b); c != 0 {
			return c
		}
		return b.updatedAt.Compare(a.updatedAt)
	})
	if len(all) <= limit {
		return all
	}
	candidates := all[limit-limit/3:]
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return all[:limit]
}

// knownSequences returns the sequences in a message by digest. An answer excludes them; otherwise it would mostly repeat the
// request, because the heartbeats merged from it are the most recent ones.
func knownSequences(m exchangeMessage) map[uint32]uint64 {
	known := make(map[uint32]uint64, len(m.Heartbeats))
	for _, row := range m.Heartbeats {
		if h, ok := decodeHeartbeat(row, m.Version, nil); ok {
			known[h.Digest] = h.Sequence
		}
	}
	return known
}

func serviceNames(heartbeats []heartbeatUpdate) []string {
	var names []string
	for _, h := range heartbeats {
		for name := range h.heartbeat.FreeSlots {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

func encodeHeartbeat(h member.Heartbeat, version uint64, services []string) []int64 {
	row := []int64{int64(h.Digest), int64(h.Sequence), int64(version) - int64(h.Version)}
	if len(h.FreeSlots) == 0 {
		return row
	}
	for _, name := range services {
		free, ok := h.FreeSlots[name]
		if !ok {
			free = -1
		}
		row = append(row, int64(free))
	}
	return row
}

func decodeHeartbeat(row []int64, version uint64, services []string) (member.Heartbeat, bool) {
	if len(row) < 3 || row[0] < 0 || row[1] < 0 || int64(version)-row[2] < 0 {
		return member.Heartbeat{}, false
	}
	h := member.Heartbeat{
		Digest: uint32(row[0]), Sequence: uint64(row[1]), Version: uint64(int64(version) - row[2]),
		FreeSlots: make(map[string]int),
	}
	for i, free := range row[3:] {
		if i < len(services) && free >= 0 {
			h.FreeSlots[services[i]] = int(free)
		}
	}
	return h, true
}

// recordsToRequest returns the digests of unknown records to request and stores the time of the request.
func (s *Service) recordsToRequest() []uint32 {
	now := s.deps.Now()
	var out []uint32
	for digest, requestedAt := range s.wantedRecords {
		if _, known := s.table.MemberByDigest(digest); known || (!requestedAt.IsZero() && now.Sub(requestedAt) > 4*wantRetryInterval) {
			delete(s.wantedRecords, digest)
			continue
		}
		if len(out) < maxRecords && (requestedAt.IsZero() || now.Sub(requestedAt) > wantRetryInterval) {
			out = append(out, digest)
			s.wantedRecords[digest] = now
		}
	}
	return out
}

// silentMembers returns the digests of members without updates for half the suspicion timeout. A peer puts their heartbeats
// first in its answer, so that many peers are asked for a member before it is declared dead.
func (s *Service) silentMembers() []uint32 {
	age := max(member.MinSuspectTimeout, member.SuspectIntervals*s.pacer.suspicionInterval(s.table.Size())) / 2
	return s.table.LongestSilent(s.deps.Now(), age, maxSilentMembers)
}

// mergeMessage merges a message of the peer into the table. The caller holds s.mu.
func (s *Service) mergeMessage(peer member.Member, m exchangeMessage) {
	now := s.deps.Now()
	before := s.table.IncarnationState()
	s.table.Merge(now, decodeMembers(m.Members, 4*maxRecords))
	for _, row := range m.Heartbeats[:min(len(m.Heartbeats), 1024)] {
		h, ok := decodeHeartbeat(row, m.Version, m.Services)
		if !ok {
			continue
		}
		if _, known := s.table.MergeHeartbeat(now, h); !known {
			s.counters.unknownHeartbeats.Add(1)
			if _, requested := s.wantedRecords[h.Digest]; !requested {
				s.wantedRecords[h.Digest] = time.Time{}
			}
		}
	}
	if self := s.table.Self().Digest(); slices.Contains(m.WantHeartbeats, self) {
		s.table.Refute(now)
	}
	if len(m.Heartbeats) > 0 {
		// A message that carries only records does not carry needs.
		s.peerNeeds[peer.Name()] = peerNeeds{m.Needs[:min(len(m.Needs), maxNeeds)], now}
	}
	s.compareVersion(peer, m)
	s.logIncarnationState(before)
}

// compareVersion schedules a fetch if the peer's configuration version is newer and logs equal versions whose content
// differs.
func (s *Service) compareVersion(peer member.Member, m exchangeMessage) {
	version, hash, _ := s.deps.Holder.Raw()
	switch {
	case m.Version > version:
		s.scheduleFetch(peer, m.Version)
	case m.Version == version && version > 0 && m.Hash != hex.EncodeToString(hash[:hashPrefixBytes]):
		s.deps.Events.Log(event.ConfigurationDiffers, "peer", peer.Name(), "version", version)
	}
}

func (s *Service) logIncarnationState(before member.IncarnationState) {
	after := s.table.IncarnationState()
	if after == before {
		return
	}
	switch after {
	case member.Contested:
		s.deps.Events.Log(event.IncarnationContested, "entry", s.settings.Self.Name())
	case member.Superseded:
		s.deps.Events.Log(event.IncarnationSuperseded, "entry", s.settings.Self.Name())
	}
}

// requestedRecords returns the full records for the digests that a peer requested.
func (s *Service) requestedRecords(want []uint32) []memberMessage {
	var out []memberMessage
	for _, digest := range want[:min(len(want), 4*maxRecords)] {
		if m, ok := s.table.MemberByDigest(digest); ok {
			out = append(out, encodeMember(m))
		}
	}
	return out
}
