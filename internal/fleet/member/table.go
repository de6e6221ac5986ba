package member

import (
	"slices"
	"strings"
	"time"
)

// The limits of suspicion (docs/design.md, section 10.7) and of memory.
const (
	SuspectFloor     = 1500 * time.Millisecond
	SuspectIntervals = 8
	DeadFloor        = 5 * time.Second
	DeadIntervals    = 20
	// Retention is how long the successors of a stopped incarnation are remembered.
	Retention = time.Hour
	// Forget is how long the address of a dead member is kept, so that regions find each other after a long partition.
	Forget = 24 * time.Hour
)

// Change is a transition of a member between two states.
type Change struct {
	Member Member
	Before State
}

// Standing says whether this entry's own incarnation is the current one of its name.
type Standing uint8

// The standings of an incarnation.
const (
	// Unconfirmed means that no peer has confirmed the incarnation.
	Unconfirmed Standing = iota
	// Confirmed means that a peer has confirmed the incarnation and nothing contradicts it.
	Confirmed
	// Contested means that another incarnation of the name ranks higher and may have stopped.
	Contested
	// Superseded means that a newer incarnation of the name is running; this is final.
	Superseded
)

type record struct {
	m      Member
	digest uint32
	heard  time.Time
	rooms  []Room
	rank   uint64 // place among the watchers, which depends on the name alone
}

type stopped struct {
	m     Member
	until time.Time
}

// Table is the membership known to one entry; it is not safe for concurrent use.
type Table struct {
	self     *record
	records  map[string]*record
	sorted   []*record // records by name; a tick reads all members several times, and sorting them then cost 2 % of a core at 590
	digests  map[uint32]string
	floors   map[string]uint64
	stopped  map[[16]byte]stopped
	standing Standing
	rival    Member
	rivaled  time.Time
	interval time.Duration
	clock    time.Time
	backward int
}

// NewTable returns a table that knows only the entry itself.
func NewTable(now time.Time, self Member) *Table {
	t := &Table{
		records: make(map[string]*record),
		digests: make(map[uint32]string),
		floors:  make(map[string]uint64),
		stopped: make(map[[16]byte]stopped),
		clock:   now,
	}
	t.self = t.put(now, self)
	return t
}

// forward returns now, or the latest time seen when the clock ran backwards.
func (t *Table) forward(now time.Time) time.Time {
	if now.Before(t.clock) {
		t.backward++
		return t.clock
	}
	t.clock = now
	return now
}

// Backward returns how often the clock ran backwards.
func (t *Table) Backward() int { return t.backward }

func (t *Table) put(now time.Time, m Member) *record {
	name := m.f.Name
	r := t.records[name]
	if r == nil {
		r = &record{rank: rankOf(name)}
		t.records[name] = r
		i, _ := t.place(name)
		t.sorted = slices.Insert(t.sorted, i, r)
		r.m = m
	} else if t.digests[r.digest] == name {
		delete(t.digests, r.digest)
	}
	r.m, r.digest, r.heard = m, m.Digest(), now
	t.digests[r.digest] = name
	t.raise(m)
	t.keepHeirs(now, m)
	return r
}

// place returns the index of the name in the sorted records and whether it is there.
func (t *Table) place(name string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, name, func(r *record, name string) int { return strings.Compare(r.m.f.Name, name) })
}

func (t *Table) remove(name string, r *record) {
	if t.digests[r.digest] == name {
		delete(t.digests, r.digest)
	}
	delete(t.records, name)
	if i, ok := t.place(name); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
}

func (t *Table) raise(m Member) {
	t.floors[m.f.Name] = max(t.floors[m.f.Name], m.f.Version)
}

func (t *Table) keepHeirs(now time.Time, m Member) {
	if len(m.f.Successors) == 0 {
		return
	}
	if _, ok := t.stopped[m.f.Incarnation]; !ok {
		t.stopped[m.f.Incarnation] = stopped{m, now.Add(Retention)}
	}
}

// Self returns the entry's own record.
func (t *Table) Self() Member { return t.self.m }

// Member returns the member with the given name and whether it is known.
func (t *Table) Member(name string) (Member, bool) {
	if r := t.records[name]; r != nil {
		return r.m, true
	}
	return Member{}, false
}

// Members returns all known members, dead ones included, by name.
func (t *Table) Members() []Member {
	all := make([]Member, len(t.sorted))
	for i, r := range t.sorted {
		all[i] = r.m
	}
	return all
}

// Oldest returns the digests of up to n members whose last news is older than the age, the oldest first. Those who are
// dead or leave are left out.
func (t *Table) Oldest(now time.Time, age time.Duration, n int) []uint32 {
	var old []*record
	for _, r := range t.sorted {
		if r != t.self && r.m.Live() && now.Sub(r.heard) > age {
			old = append(old, r)
		}
	}
	slices.SortStableFunc(old, func(a, b *record) int { return a.heard.Compare(b.heard) })
	out := make([]uint32, 0, min(n, len(old)))
	for _, r := range old[:min(n, len(old))] {
		out = append(out, r.digest)
	}
	return out
}

// Size returns the number of known members, dead ones included.
func (t *Table) Size() int { return len(t.records) }

// Rooms returns the free slots of all members that are not dead.
func (t *Table) Rooms() []Room {
	count := 0
	for _, r := range t.sorted {
		count += len(r.rooms)
	}
	all := make([]Room, 0, count)
	for _, r := range t.sorted {
		if r.m.f.State != Dead {
			all = append(all, r.rooms...)
		}
	}
	return all
}

// Floor returns the highest configuration version seen from any incarnation of the name.
func (t *Table) Floor(name string) uint64 { return t.floors[name] }

// Successors returns the entries that answer for a stopped incarnation, or nothing when they are unknown.
func (t *Table) Successors(incarnation [16]byte) []string {
	return slices.Clone(t.stopped[incarnation].m.f.Successors)
}

// Stopped returns the records of stopped incarnations whose successors are remembered.
func (t *Table) Stopped() []Member {
	all := make([]Member, 0, len(t.stopped))
	for _, s := range t.stopped {
		all = append(all, s.m)
	}
	return all
}

// Current reports whether the incarnation is the highest that this table knows for the name.
func (t *Table) Current(name string, incarnation [16]byte) bool {
	r := t.records[name]
	return r != nil && r.m.f.Incarnation == incarnation
}

// Tick moves members that were not heard of to suspect and dead, and forgets what is older than the retention.
func (t *Table) Tick(now time.Time, interval time.Duration) []Change {
	now = t.forward(now)
	t.interval = interval
	var changes []Change
	for name, r := range t.records {
		if r == t.self {
			continue
		}
		age := now.Sub(r.heard)
		if age > Forget {
			t.remove(name, r)
			continue
		}
		before := r.m.f.State
		r.m.f.State = t.judge(before, age)
		if r.m.f.State != before {
			changes = append(changes, Change{r.m, before})
		}
	}
	for id, s := range t.stopped {
		if now.After(s.until) {
			delete(t.stopped, id)
		}
	}
	t.settle(now)
	return changes
}

func (t *Table) judge(before State, age time.Duration) State {
	switch {
	case age > t.deadAfter():
		return Dead
	case before == Alive && age > max(SuspectFloor, SuspectIntervals*t.interval):
		return Suspect
	default:
		return before
	}
}

func (t *Table) deadAfter() time.Duration { return max(DeadFloor, DeadIntervals*t.interval) }
