package member

import (
	"slices"
	"time"
)

// AdvanceHeartbeat increments the heartbeat sequence of the local entry and records the configuration version that it holds.
func (t *Table) AdvanceHeartbeat(now time.Time, version uint64) {
	now = t.advanceClock(now)
	t.self.member.fields.Sequence++
	t.self.member.fields.Version = max(t.self.member.fields.Version, version)
	t.self.updatedAt = now
	t.raiseFloor(t.self.member)
}

// Refute increments the heartbeat sequence after a peer has reported that it has not heard from the local entry.
func (t *Table) Refute(now time.Time) { t.AdvanceHeartbeat(now, 0) }

// SetFreeSlots replaces the free slots that the local entry announces.
func (t *Table) SetFreeSlots(slots []FreeSlots) { t.self.freeSlots = slices.Clone(slots) }

// AnnounceShutdown announces the shutdown of the local entry and the successors that take over its tickets.
func (t *Table) AnnounceShutdown(now time.Time, successors []string) {
	m := t.self.member
	m.fields.State = Leaving
	m.fields.Successors = slices.Clone(successors)
	m.fields.Sequence++
	t.self = t.putRecord(t.advanceClock(now), m)
}

// IncarnationState returns whether the local entry's incarnation is the current one of its name.
func (t *Table) IncarnationState() IncarnationState { return t.incarnationState }

// Confirm records that a peer considers the local incarnation the current one of its name.
func (t *Table) Confirm() {
	if t.incarnationState == Unconfirmed {
		t.incarnationState = Confirmed
	}
}

// mergeOwnName merges a record that carries the local entry's name. If it is of a higher incarnation, a local incarnation that
// was never confirmed has just started and takes a higher epoch. A confirmed one is superseded as soon as the other one sends
// a further heartbeat and so proves that it is running.
func (t *Table) mergeOwnName(now time.Time, m Member) bool {
	if m.fields.Incarnation == t.self.member.fields.Incarnation {
		// Peers would ignore the next heartbeat if its sequence were not above this one.
		t.self.member.fields.Sequence = max(t.self.member.fields.Sequence, m.fields.Sequence)
		return false
	}
	if compareIncarnations(m, t.self.member) < 0 || t.incarnationState == Superseded {
		return false
	}
	switch {
	case t.incarnationState == Unconfirmed:
		t.raiseEpochAbove(now, m)
	case t.incarnationState == Contested && t.rival.fields.Incarnation == m.fields.Incarnation:
		if m.fields.Sequence > t.rival.fields.Sequence {
			t.incarnationState = Superseded
		}
	default:
		t.incarnationState, t.rival, t.contestedAt = Contested, m, now
	}
	return true
}

func (t *Table) raiseEpochAbove(now time.Time, m Member) {
	s := t.self.member
	s.fields.Epoch = m.fields.Epoch + 1
	s.fields.Sequence++
	t.self = t.putRecord(now, s)
}

// settleContest takes a higher epoch if the rival incarnation has sent no further heartbeat within the dead timeout.
func (t *Table) settleContest(now time.Time) {
	if t.incarnationState != Contested || now.Sub(t.contestedAt) <= t.deadAfter() {
		return
	}
	t.incarnationState = Unconfirmed
	t.raiseEpochAbove(now, t.rival)
}
