package member

import (
	"slices"
	"time"
)

// Advance makes the next heartbeat of the entry itself.
func (t *Table) Advance(now time.Time, version uint64) {
	now = t.forward(now)
	t.self.m.f.Sequence++
	t.self.m.f.Version = max(t.self.m.f.Version, version)
	t.self.heard = now
	t.raise(t.self.m)
}

// Refute raises the sequence after a peer has reported that it suspects this entry.
func (t *Table) Refute(now time.Time) { t.Advance(now, 0) }

// SetRooms replaces the free slots that the entry announces.
func (t *Table) SetRooms(rooms []Room) { t.self.rooms = slices.Clone(rooms) }

// Leave announces the entry's stop and the entries that will answer for it.
func (t *Table) Leave(now time.Time, successors []string) {
	m := t.self.m
	m.f.State = Leaving
	m.f.Successors = slices.Clone(successors)
	m.f.Sequence++
	t.self = t.put(t.forward(now), m)
}

// Standing returns whether the entry's own incarnation is current.
func (t *Table) Standing() Standing { return t.standing }

// Confirm records that a peer holds this incarnation for the current one of its name.
func (t *Table) Confirm() {
	if t.standing == Unconfirmed {
		t.standing = Confirmed
	}
}

// meet handles a record that carries the entry's own name. An incarnation that was never confirmed has
// just started and takes a higher epoch. A confirmed one is superseded once the other is seen to run.
func (t *Table) meet(now time.Time, m Member) bool {
	if m.f.Incarnation == t.self.m.f.Incarnation {
		// A sequence above our own must not hide the next heartbeat.
		t.self.m.f.Sequence = max(t.self.m.f.Sequence, m.f.Sequence)
		return false
	}
	if compareRuns(m, t.self.m) < 0 || t.standing == Superseded {
		return false
	}
	switch {
	case t.standing == Unconfirmed:
		t.outrank(now, m)
	case t.standing == Contested && t.rival.f.Incarnation == m.f.Incarnation:
		if m.f.Sequence > t.rival.f.Sequence {
			t.standing = Superseded
		}
	default:
		t.standing, t.rival, t.rivaled = Contested, m, now
	}
	return true
}

func (t *Table) outrank(now time.Time, m Member) {
	s := t.self.m
	s.f.Epoch = m.f.Epoch + 1
	s.f.Sequence++
	t.self = t.put(now, s)
}

// settle ends a contest with an incarnation that showed no further heartbeat.
func (t *Table) settle(now time.Time) {
	if t.standing != Contested || now.Sub(t.rivaled) <= t.deadAfter() {
		return
	}
	t.standing = Unconfirmed
	t.outrank(now, t.rival)
}
