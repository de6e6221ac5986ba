package member

import "time"

// Beat is a heartbeat: it stands for the record with the given digest.
type Beat struct {
	Digest   uint32
	Sequence uint64
	Version  uint64
	Rooms    map[string]int
}

// Merge takes over records from a peer and returns how many of them were news.
func (t *Table) Merge(now time.Time, members []Member) int {
	now = t.forward(now)
	news := 0
	for _, m := range members {
		if t.mergeOne(now, m) {
			news++
		}
	}
	return news
}

func (t *Table) mergeOne(now time.Time, m Member) bool {
	t.raise(m)
	t.keepHeirs(now, m)
	if m.f.Name == t.self.m.f.Name {
		return t.meet(now, m)
	}
	r := t.records[m.f.Name]
	if m.f.State != Leaving {
		m.f.State = Alive // Suspicion is each table's own judgement.
	}
	if r == nil {
		t.put(now, m)
		return true
	}
	switch c := compareRuns(m, r.m); {
	case c < 0:
		return false
	case c == 0 && m.f.Sequence <= r.m.f.Sequence:
		return false
	case c == 0 && r.m.f.State == Leaving:
		m.f.State = Leaving // An announced stop is not taken back by the same incarnation.
	case c > 0:
		r.rooms = nil
	}
	m.f.Version = max(m.f.Version, t.versionIfSame(r, m))
	t.put(now, m)
	return true
}

func (t *Table) versionIfSame(r *record, m Member) uint64 {
	if r.m.f.Incarnation == m.f.Incarnation {
		return r.m.f.Version
	}
	return 0
}

// Beat takes over a heartbeat; known is false when the record behind it must be asked for.
func (t *Table) Beat(now time.Time, b Beat) (news, known bool) {
	now = t.forward(now)
	name, ok := t.digests[b.Digest]
	if !ok {
		return false, false
	}
	r := t.records[name]
	if r == t.self || b.Sequence <= r.m.f.Sequence {
		return false, true
	}
	r.m.f.Sequence = b.Sequence
	r.m.f.Version = max(r.m.f.Version, b.Version)
	r.heard = now
	t.raise(r.m)
	if r.m.f.State == Suspect || r.m.f.State == Dead {
		r.m.f.State = t.announced(r)
	}
	r.rooms = r.rooms[:0]
	for service, free := range b.Rooms {
		r.rooms = append(r.rooms, NewRoom(name, service, free, now))
	}
	return true, true
}

// announced returns the state that the member itself announced last, recovered from its digest.
func (t *Table) announced(r *record) State {
	alive := r.m
	alive.f.State = Alive
	if alive.Digest() == r.digest {
		return Alive
	}
	return Leaving
}

// Beats returns the heartbeat that stands for each member that is not dead, with the time of its news.
func (t *Table) Beats(visit func(b Beat, heard time.Time, self bool)) {
	for _, r := range t.records {
		if r.m.f.State == Dead {
			continue
		}
		b := Beat{Digest: r.digest, Sequence: r.m.f.Sequence, Version: r.m.f.Version}
		if len(r.rooms) > 0 {
			b.Rooms = make(map[string]int, len(r.rooms))
			for _, room := range r.rooms {
				b.Rooms[room.service] = room.free
			}
		}
		visit(b, r.heard, r == t.self)
	}
}

// Known returns the member behind a digest and whether there is one.
func (t *Table) Known(digest uint32) (Member, bool) {
	if name, ok := t.digests[digest]; ok {
		m := t.records[name].m
		m.f.State = t.announced(t.records[name])
		return m, true
	}
	return Member{}, false
}
