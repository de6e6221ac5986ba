package member

import "time"

// Heartbeat is a heartbeat of the member whose record has the given digest.
type Heartbeat struct {
	Digest    uint32
	Sequence  uint64
	Version   uint64
	FreeSlots map[string]int // free slots by service
}

// Merge merges the records that a peer sent and returns how many of them changed the table.
func (t *Table) Merge(now time.Time, members []Member) int {
	now = t.advanceClock(now)
	changed := 0
	for _, m := range members {
		if t.mergeMember(now, m) {
			changed++
		}
	}
	return changed
}

func (t *Table) mergeMember(now time.Time, m Member) bool {
	t.raiseFloor(m)
	t.rememberSuccessors(now, m)
	if m.fields.Name == t.self.member.fields.Name {
		return t.mergeOwnName(now, m)
	}
	r := t.records[m.fields.Name]
	if m.fields.State != Leaving {
		m.fields.State = Alive // Each table judges suspicion by itself.
	}
	if r == nil {
		t.putRecord(now, m)
		return true
	}
	switch c := compareIncarnations(m, r.member); {
	case c < 0:
		return false
	case c == 0 && m.fields.Sequence <= r.member.fields.Sequence:
		return false
	case c == 0 && r.member.fields.State == Leaving:
		m.fields.State = Leaving // An incarnation cannot revoke its announced shutdown.
	case c > 0:
		r.freeSlots = nil
	}
	m.fields.Version = max(m.fields.Version, t.versionOfSameIncarnation(r, m))
	t.putRecord(now, m)
	return true
}

func (t *Table) versionOfSameIncarnation(r *record, m Member) uint64 {
	if r.member.fields.Incarnation == m.fields.Incarnation {
		return r.member.fields.Version
	}
	return 0
}

// MergeHeartbeat merges a heartbeat and reports whether it changed the table and whether the record with its digest is known;
// an unknown record must be requested.
func (t *Table) MergeHeartbeat(now time.Time, b Heartbeat) (changed, known bool) {
	now = t.advanceClock(now)
	name, ok := t.digests[b.Digest]
	if !ok {
		return false, false
	}
	r := t.records[name]
	if r == t.self || b.Sequence <= r.member.fields.Sequence {
		return false, true
	}
	r.member.fields.Sequence = b.Sequence
	r.member.fields.Version = max(r.member.fields.Version, b.Version)
	r.updatedAt = now
	t.raiseFloor(r.member)
	if r.member.fields.State == Suspect || r.member.fields.State == Dead {
		r.member.fields.State = t.announcedState(r)
	}
	r.freeSlots = r.freeSlots[:0]
	for service, free := range b.FreeSlots {
		r.freeSlots = append(r.freeSlots, NewFreeSlots(name, service, free, now))
	}
	return true, true
}

// announcedState returns the state that the member itself last announced, which is recovered from its digest.
func (t *Table) announcedState(r *record) State {
	alive := r.member
	alive.fields.State = Alive
	if alive.Digest() == r.digest {
		return Alive
	}
	return Leaving
}

// VisitHeartbeats calls visit with the latest heartbeat of each member that is not dead and the time at which it arrived.
func (t *Table) VisitHeartbeats(visit func(b Heartbeat, updatedAt time.Time, isSelf bool)) {
	for _, r := range t.records {
		if r.member.fields.State == Dead {
			continue
		}
		b := Heartbeat{Digest: r.digest, Sequence: r.member.fields.Sequence, Version: r.member.fields.Version}
		if len(r.freeSlots) > 0 {
			b.FreeSlots = make(map[string]int, len(r.freeSlots))
			for _, slots := range r.freeSlots {
				b.FreeSlots[slots.service] = slots.count
			}
		}
		visit(b, r.updatedAt, r == t.self)
	}
}

// MemberByDigest returns the member whose record has the digest, in its announced state, and whether there is one.
func (t *Table) MemberByDigest(digest uint32) (Member, bool) {
	if name, ok := t.digests[digest]; ok {
		m := t.records[name].member
		m.fields.State = t.announcedState(t.records[name])
		return m, true
	}
	return Member{}, false
}
