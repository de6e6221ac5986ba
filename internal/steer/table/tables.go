package table

import (
	"maps"
	"slices"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/record/event"
)

// Tables holds the steering tables of one entry.
type Tables struct {
	Self   string
	Region string
	Zone   string

	Input           *Input
	Document        *document.Document
	Elapsed         time.Duration // Elapsed is the time since the previous tick, at most MaxElapsed.
	DrainChanged    bool          // DrainChanged means that the draining of a target started or ended in this tick.
	Closed          bool          // Closed means that this entry must not use its gates or shares.
	SharesSuspended bool          // SharesSuspended means that this entry must not use its shares of links and shifts.
	Changed         bool          // Changed means that the configuration or the live entries differ from the last tick.
	Returned        bool          // Returned means that this entry started as the only live one of its region while other regions had live ones.
	StartedAt       time.Time     // StartedAt is the time of the first tick.

	Services []Service
	Targets  []Target
	Peers    []Peer
	Shifts   []Shift
	Links    []Link
	Entries  []Entry
	Drains   []Drain
	Owned    []int // Owned holds the indexes of the targets that this entry owns.
	Share    int   // Share is this entry's part of the region limit; -1 means that there is no limit.
	InFlight int   // InFlight counts the requests that this entry has in flight in its region.

	Events []Event

	states     map[string]State
	leavingVMs map[string]bool
	peerIndex  map[string]int
}

// MaxElapsed limits the growth that one tick may apply after a pause.
const MaxElapsed = time.Second

// New returns empty tables for the entry.
func New(self, region, zone string) *Tables {
	return &Tables{Self: self, Region: region, Zone: zone, states: map[string]State{}, leavingVMs: map[string]bool{}, peerIndex: map[string]int{}}
}

// Emit adds an event to the events of the tick.
func (t *Tables) Emit(n event.Number, keyvals ...any) {
	t.Events = append(t.Events, Event{n, keyvals})
}

// SetInput stores the input of a tick and rebuilds the rows when the configuration has changed.
func (t *Tables) SetInput(in *Input) {
	t.Input = in
	t.Events = nil
	t.Changed, t.DrainChanged = false, false
	if in.Document != t.Document {
		t.Document = in.Document
		t.rebuild()
		t.Changed = true
	}
	t.applyMembers(in.Members)
	t.applyLeavingVMs(in.Leaving)
	for i := range t.Peers {
		t.Peers[i].State = t.states[t.Peers[i].Entry]
	}
	t.applySlotCounts(in.SlotCounts)
}

func (t *Tables) applyMembers(members []Member) {
	next := make(map[string]State, len(members))
	for _, m := range members {
		next[m.Name] = m.State
	}
	if _, ok := next[t.Self]; !ok {
		next[t.Self] = Alive
	}
	if !maps.Equal(next, t.states) {
		t.Changed = true
	}
	t.states = next
	for i := range t.Entries {
		e := &t.Entries[i]
		before := e.State
		e.State = next[e.Spec.Name()]
		if before == Dead && e.State != Dead {
			// A new process uses the name, so earlier failures do not apply to it.
			e.FailedTicks, e.RetryAt = 0, time.Time{}
		}
	}
}

func (t *Tables) applyLeavingVMs(names []string) {
	next := make(map[string]bool, len(names))
	for _, n := range names {
		next[n] = true
	}
	if !maps.Equal(next, t.leavingVMs) {
		t.Changed = true
	}
	t.leavingVMs = next
}

func (t *Tables) applySlotCounts(counts []SlotCount) {
	for _, c := range counts {
		if i, ok := t.peerIndex[c.Entry+"\x00"+c.Service]; ok && c.Free >= 0 && c.At.After(t.Peers[i].SlotCount.At) {
			t.Peers[i].SlotCount, t.Peers[i].HasSlotCount = c, true
		}
	}
}

// VMLeaving reports whether the platform lists the VM as leaving.
func (t *Tables) VMLeaving(name string) bool { return t.leavingVMs[name] }

// Rank returns this entry's position among the configured entries of its region, sorted by name, and their number.
func (t *Tables) Rank() (rank, count int) {
	rank = -1
	var names []string
	for _, e := range t.Entries {
		if e.Region == t.Region {
			names = append(names, e.Spec.Name())
		}
	}
	slices.Sort(names)
	return slices.Index(names, t.Self), len(names)
}

// Part returns this entry's part of a whole number that is split equally over
// the configured entries of its region, so that the parts add up to the whole.
func (t *Tables) Part(whole int) int {
	rank, count := t.Rank()
	if rank < 0 || count == 0 || whole <= 0 {
		return 0
	}
	part := whole / count
	if rank < whole%count {
		part++
	}
	return part
}
