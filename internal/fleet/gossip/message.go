package gossip

import (
	"encoding/hex"
	"slices"
	"time"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// hashBytes is how much of the configuration's hash goes into each exchange: enough to notice a difference.
const hashBytes = 8

type heardBeat struct {
	beat  member.Beat
	heard time.Time
	self  bool
}

// compose makes a message without the heartbeats that the peer told itself, at most the given number of them. The
// caller holds the lock.
func (s *Service) compose(first []uint32, told map[uint32]uint64, most int) exchangeForm {
	version, hash, _ := s.deps.Holder.Raw()
	m := exchangeForm{Version: version}
	if version > 0 {
		m.Hash = hex.EncodeToString(hash[:hashBytes])
	}
	beats := s.choose(first, told, most)
	m.Services = servicesOf(beats)
	for _, b := range beats {
		m.Beats = append(m.Beats, rowOf(b.beat, m.Version, m.Services))
	}
	m.Want = s.wanted()
	m.Doubt = s.doubts()
	m.Needs = s.needs
	return m
}

// choose returns the heartbeats for a message: the entry's own, those asked for, then two thirds newest and
// one third at random, so that no member is starved by others with newer news.
func (s *Service) choose(first []uint32, told map[uint32]uint64, most int) []heardBeat {
	var all []heardBeat
	s.table.Beats(func(b member.Beat, heard time.Time, self bool) {
		if sequence, ok := told[b.Digest]; !ok || sequence < b.Sequence {
			all = append(all, heardBeat{b, heard, self})
		}
	})
	prior := func(b heardBeat) int {
		switch {
		case b.self:
			return 0
		case slices.Contains(first, b.beat.Digest):
			return 1
		default:
			return 2
		}
	}
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b heardBeat) int {
		if c := prior(a) - prior(b); c != 0 {
			return c
		}
		return b.heard.Compare(a.heard)
	})
	if len(all) <= most {
		return all
	}
	rest := all[most-most/3:]
	s.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return all[:most]
}

// toldBy returns the sequences by digest that a message carries. Without this an answer would mostly repeat the
// request, because the heartbeats taken over from it are the newest.
func toldBy(m exchangeForm) map[uint32]uint64 {
	told := make(map[uint32]uint64, len(m.Beats))
	for _, row := range m.Beats {
		if b, ok := beatOf(row, m.Version, nil); ok {
			told[b.Digest] = b.Sequence
		}
	}
	return told
}

func servicesOf(beats []heardBeat) []string {
	var names []string
	for _, b := range beats {
		for name := range b.beat.Rooms {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

func rowOf(b member.Beat, version uint64, services []string) []int64 {
	row := []int64{int64(b.Digest), int64(b.Sequence), int64(version) - int64(b.Version)}
	if len(b.Rooms) == 0 {
		return row
	}
	for _, name := range services {
		free, ok := b.Rooms[name]
		if !ok {
			free = -1
		}
		row = append(row, int64(free))
	}
	return row
}

func beatOf(row []int64, version uint64, services []string) (member.Beat, bool) {
	if len(row) < 3 || row[0] < 0 || row[1] < 0 || int64(version)-row[2] < 0 {
		return member.Beat{}, false
	}
	b := member.Beat{
		Digest: uint32(row[0]), Sequence: uint64(row[1]), Version: uint64(int64(version) - row[2]),
		Rooms: make(map[string]int),
	}
	for i, free := range row[3:] {
		if i < len(services) && free >= 0 {
			b.Rooms[services[i]] = int(free)
		}
	}
	return b, true
}

// wanted returns the digests to ask for and notes the time of the question.
func (s *Service) wanted() []uint32 {
	now := s.deps.Now()
	var out []uint32
	for digest, asked := range s.wants {
		if _, known := s.table.Known(digest); known || (!asked.IsZero() && now.Sub(asked) > 4*wantAgain) {
			delete(s.wants, digest)
			continue
		}
		if len(out) < maxMembers && (asked.IsZero() || now.Sub(asked) > wantAgain) {
			out = append(out, digest)
			s.wants[digest] = now
		}
	}
	return out
}

// doubts returns the members to ask for news of: those that have been silent for half the time to suspicion. A peer
// answers with what it has heard first, so that a member is asked after through many peers before it is called dead.
func (s *Service) doubts() []uint32 {
	age := max(member.SuspectFloor, member.SuspectIntervals*s.pace.refresh(s.table.Size())) / 2
	return s.table.Oldest(s.deps.Now(), age, maxDoubts)
}

// absorb takes over a message from the named peer. The caller holds the lock.
func (s *Service) absorb(peer member.Member, m exchangeForm) {
	now := s.deps.Now()
	before := s.table.Standing()
	s.table.Merge(now, membersOf(m.Members, 4*maxMembers))
	for _, row := range m.Beats[:min(len(m.Beats), 1024)] {
		b, ok := beatOf(row, m.Version, m.Services)
		if !ok {
			continue
		}
		if _, known := s.table.Beat(now, b); !known {
			s.count.unknowns.Add(1)
			if _, asked := s.wants[b.Digest]; !asked {
				s.wants[b.Digest] = time.Time{}
			}
		}
	}
	if self := s.table.Self().Digest(); slices.Contains(m.Doubt, self) {
		s.table.Refute(now)
	}
	if len(m.Beats) > 0 {
		// A call that carries only records says nothing about needs.
		s.asked[peer.Name()] = peerNeeds{m.Needs[:min(len(m.Needs), maxNeeds)], now}
	}
	s.compare(peer, m)
	s.reportStanding(before)
}

// compare looks at the peer's configuration version.
func (s *Service) compare(peer member.Member, m exchangeForm) {
	version, hash, _ := s.deps.Holder.Raw()
	switch {
	case m.Version > version:
		s.ask(peer, m.Version)
	case m.Version == version && version > 0 && m.Hash != hex.EncodeToString(hash[:hashBytes]):
		s.deps.Events.Log(event.ConfigurationDiffers, "peer", peer.Name(), "version", version)
	}
}

func (s *Service) reportStanding(before member.Standing) {
	after := s.table.Standing()
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

// records returns the full records behind the digests that a peer asked for.
func (s *Service) records(want []uint32) []memberForm {
	var out []memberForm
	for _, digest := range want[:min(len(want), 4*maxMembers)] {
		if m, ok := s.table.Known(digest); ok {
			out = append(out, formOf(m))
		}
	}
	return out
}
