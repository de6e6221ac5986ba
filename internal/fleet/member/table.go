package member

import (
	"slices"
	"strings"
	"time"
)

// The timeouts for suspicion and death (docs/design.md, section 10.7) and the retention of old records. A timeout is the
// larger of its floor and its number of intervals.
const (
	MinSuspectTimeout = 1500 * time.Millisecond
	SuspectIntervals  = 8
	MinDeadTimeout    = 5 * time.Second
	DeadIntervals     = 20
	// SuccessorRetention is how long the successors of a stopped incarnation are kept.
	SuccessorRetention = time.Hour
	// DeadMemberRetention is how long a dead member's address is kept, so that regions can reconnect after a long partition.
	DeadMemberRetention = 24 * time.Hour
)

// StateChange is a state transition of a member; Member has the new state.
type StateChange struct {
	Member   Member
	Previous State
}

// IncarnationState tells whether the local entry's incarnation is the current one of its name.
type IncarnationState uint8

// The values of IncarnationState.
const (
	// Unconfirmed means that no peer has confirmed the incarnation yet.
	Unconfirmed IncarnationState = iota
	// Confirmed means that a peer has confirmed the incarnation and no higher one is known.
	Confirmed
	// Contested means that a higher incarnation of the name is known, which may have stopped.
	Contested
	// Superseded means that a higher incarnation of the name is running; this state is final.
	Superseded
)

type record struct {
	member    Member
	digest    uint32
	updatedAt time.Time
	freeSlots []FreeSlots
	rank      uint64 // rendezvous rank for the choice of watchers; depends on the name only
}

type stoppedMember struct {
	member    Member
	expiresAt time.Time
}

// Table is the membership known to one entry; it is not safe for concurrent use.
type Table struct {
	self             *record
	records          map[string]*record
	byName           []*record                  // kept sorted: each tick reads all members several times, and sorting then took 2 % of a core at 590 entries
	digests          map[uint32]string          // names by digest
	versionFloors    map[string]uint64          // highest configuration version seen, by name
	stopped          map[[16]byte]stoppedMember // by incarnation
	incarnationState IncarnationState
	rival            Member // the higher incarnation of the local name that was seen
	contestedAt      time.Time
	interval         time.Duration // unit of the timeouts, from the last Tick
	latest           time.Time     // latest time seen
	backwardSteps    int
}

// NewTable returns a table that contains only the local entry.
func NewTable(now time.Time, self Member) *Table {
	t := &Table{
		records:       make(map[string]*record),
		digests:       make(map[uint32]string),
		versionFloors: make(map[string]uint64),
		stopped:       make(map[[16]byte]stoppedMember),
		latest:        now,
	}
	t.self = t.putRecord(now, self)
	return t
}

// advanceClock returns now, or the latest time seen if the clock has gone backwards.
func (t *Table) advanceClock(now time.Time) time.Time {
	if now.Before(t.latest) {
		t.backwardSteps++
		return t.latest
	}
	t.latest = now
	return now
}

// ClockBackwardSteps returns how often the clock went backwards.
func (t *Table) ClockBackwardSteps() int { return t.backwardSteps }

func (t *Table) putRecord(now time.Time, m Member) *record {
	name := m.fields.Name
	r := t.records[name]
	if r == nil {
		r = &record{rank: watcherRank(name)}
		t.records[name] = r
		i, _ := t.searchName(name)
		t.byName = slices.Insert(t.byName, i, r)
		r.member = m
	} else if t.digests[r.digest] == name {
		delete(t.digests, r.digest)
	}
	r.member, r.digest, r.updatedAt = m, m.Digest(), now
	t.digests[r.digest] = name
	t.raiseFloor(m)
	t.rememberSuccessors(now, m)
	return r
}

// searchName returns the position of the name in byName and whether it is present.
func (t *Table) searchName(name string) (int, bool) {
	return slices.BinarySearchFunc(t.byName, name, func(r *record, name string) int { return strings.Compare(r.member.fields.Name, name) })
}

func (t *Table) removeRecord(name string, r *record) {
	if t.digests[r.digest] == name {
		delete(t.digests, r.digest)
	}
	delete(t.records, name)
	if i, ok := t.searchName(name); ok {
		t.byName = slices.Delete(t.byName, i, i+1)
	}
}

func (t *Table) raiseFloor(m Member) {
	t.versionFloors[m.fields.Name] = max(t.versionFloors[m.fields.Name], m.fields.Version)
}

func (t *Table) rememberSuccessors(now time.Time, m Member) {
	if len(m.fields.Successors) == 0 {
		return
	}
	if _, ok := t.stopped[m.fields.Incarnation]; !ok {
		t.stopped[m.fields.Incarnation] = stoppedMember{m, now.Add(SuccessorRetention)}
	}
}

// Self returns the local entry's record.
func (t *Table) Self() Member { return t.self.member }

// Member returns the member with the given name and whether it is known.
func (t *Table) Member(name string) (Member, bool) {
	if r := t.records[name]; r != nil {
		return r.member, true
	}
	return Member{}, false
}

// Members returns all known members sorted by name, including dead ones.
func (t *Table) Members() []Member {
	all := make([]Member, len(t.byName))
	for i, r := range t.byName {
		all[i] = r.member
	}
	return all
}

// LongestSilent returns the digests of up to n live members whose last update is older than age, the oldest first. The local
// entry and members that are leaving or dead are excluded.
func (t *Table) LongestSilent(now time.Time, age time.Duration, n int) []uint32 {
	var old []*record
	for _, r := range t.byName {
		if r != t.self && r.member.Live() && now.Sub(r.updatedAt) > age {
			old = append(old, r)
		}
	}
	slices.SortStableFunc(old, func(a, b *record) int { return a.updatedAt.Compare(b.updatedAt) })
	out := make([]uint32, 0, min(n, len(old)))
	for _, r := range old[:min(n, len(old))] {
		out = append(out, r.digest)
	}
	return out
}

// Size returns the number of known members, including dead ones.
func (t *Table) Size() int { return len(t.records) }

// FreeSlots returns the free slots of all members that are not dead.
func (t *Table) FreeSlots() []FreeSlots {
	count := 0
	for _, r := range t.byName {
		count += len(r.freeSlots)
	}
	all := make([]FreeSlots, 0, count)
	for _, r := range t.byName {
		if r.member.fields.State != Dead {
			all = append(all, r.freeSlots...)
		}
	}
	return all
}

// VersionFloor returns the highest configuration version seen from any incarnation of the name.
func (t *Table) VersionFloor(name string) uint64 { return t.versionFloors[name] }

// Successors returns the entries that hold the tickets of a stopped incarnation, or nil if they are unknown.
func (t *Table) Successors(incarnation [16]byte) []string {
	return slices.Clone(t.stopped[incarnation].member.fields.Successors)
}

// StoppedMembers returns the records of stopped incarnations whose successors are still kept.
func (t *Table) StoppedMembers() []Member {
	all := make([]Member, 0, len(t.stopped))
	for _, s := range t.stopped {
		all = append(all, s.member)
	}
	return all
}

// IsCurrent reports whether the incarnation is the highest known one of the name.
func (t *Table) IsCurrent(name string, incarnation [16]byte) bool {
	r := t.records[name]
	return r != nil && r.member.fields.Incarnation == incarnation
}

// Tick marks members without recent updates suspect or dead, removes expired records and returns the state changes. The timeouts
// are counted in the given interval.
func (t *Table) Tick(now time.Time, interval time.Duration) []StateChange {
	now = t.advanceClock(now)
	t.interval = interval
	var changes []StateChange
	for name, r := range t.records {
		if r == t.self {
			continue
		}
		age := now.Sub(r.updatedAt)
		if age > DeadMemberRetention {
			t.removeRecord(name, r)
			continue
		}
		before := r.member.fields.State
		r.member.fields.State = t.nextState(before, age)
		if r.member.fields.State != before {
			changes = append(changes, StateChange{r.member, before})
		}
	}
	for id, s := range t.stopped {
		if now.After(s.expiresAt) {
			delete(t.stopped, id)
		}
	}
	t.settleContest(now)
	return changes
}

func (t *Table) nextState(before State, age time.Duration) State {
	switch {
	case age > t.deadAfter():
		return Dead
	case before == Alive && age > max(MinSuspectTimeout, SuspectIntervals*t.interval):
		return Suspect
	default:
		return before
	}
}

func (t *Table) deadAfter() time.Duration { return max(MinDeadTimeout, DeadIntervals*t.interval) }
