package node

import (
	"context"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/gossip"
	"tamarackspool/internal/fleet/lookup"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/core"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

const (
	// tick is the interval of the steering systems.
	tick = 100 * time.Millisecond
	// lookupReads is how many reads of the membership pass between two rebuilds of the look-up table.
	lookupReads = 5
	// membersPerTick and mostReadTicks bound how often a large membership is read.
	membersPerTick = 100
	mostReadTicks  = 5
)

// ReadTicks returns after how many ticks a membership of the given size is read again. At 590 entries a
// read costs more than the systems, and the news in it is seconds old.
func ReadTicks(members int) int { return min(mostReadTicks, 1+members/membersPerTick) }

// LookupTicks returns after how many ticks the look-up table is rebuilt. Callers keep an answer for 10 s, so a
// table that is 2.5 s old in a fleet of 590 adds little to the age of what they use.
func LookupTicks(members int) int { return lookupReads * ReadTicks(members) }

// tickState belongs to the tick loop alone.
type tickState struct {
	last      time.Time
	unsure    time.Time // unsure is when the process started or was last paused.
	confirmed bool
	count     int
	members   []member.Member
	rooms     []member.FreeSlots
}

// read takes the membership over when it is due.
func (t *tickState) read(g *gossip.Service) bool {
	due := t.count%ReadTicks(len(t.members)) == 0
	if due {
		t.members, t.rooms = g.Members(), g.FreeSlots()
	}
	return due
}

// ticking runs the steering systems at each tick until ctx ends.
func (n *Node) ticking(ctx context.Context) {
	n.step(time.Now())
	every(ctx, tick, func() {
		n.d.Hold(ctx)
		n.step(time.Now())
	})
}

// step computes and publishes one snapshot.
func (n *Node) step(now time.Time) {
	st := &n.steps
	if st.last.IsZero() || now.Sub(st.last) > core.MaxTickGap {
		st.unsure, st.confirmed = now, false
	}
	st.last = now
	fresh := st.read(n.gossip)
	if fresh {
		n.view.Store(newMemberView(st.members))
	}
	in := n.input()
	if in.Confirmed && !st.confirmed {
		st.confirmed = true
		n.d.Events.Log(event.Confirmed, "entry", n.s.Name())
	}
	in.Loans = n.loans(now)
	s := n.core.Step(now, in)
	n.snapshot.Store(s)
	n.lend(now, s.Status())
	n.log(s.Status().Events)
	n.gossip.SetFreeSlots(n.rooms(s, now))
	if fresh {
		n.follower.SetWatching(n.gossip.IsWatcher())
	}
	if st.count%LookupTicks(len(st.members)) == 0 {
		n.updateLookups(now, st.members)
	}
	st.count++
	n.waiting.WakeAll()
}

// input collects what the tick learns from outside.
func (n *Node) input() *table.Input {
	in := &table.Input{Reports: n.reports.list(), Confirmed: n.gossip.ConfirmedSince(n.steps.unsure)}
	if n.Ready() {
		in.Document = n.current.Document()
	}
	for _, m := range n.steps.members {
		in.Members = append(in.Members, table.Member{Name: m.Name(), State: stateOf(m.State())})
	}
	for _, r := range n.steps.rooms {
		in.SlotCounts = append(in.SlotCounts, table.SlotCount{Entry: r.Entry(), Service: r.Service(), Free: r.Count(), At: r.UpdatedAt()})
	}
	if v := n.vms.Load(); v != nil {
		in.Leaving = v.leaving
	}
	return in
}

func stateOf(s member.State) table.State {
	switch s {
	case member.Alive:
		return table.Alive
	case member.Suspect:
		return table.Suspect
	case member.Leaving:
		return table.Leaving
	default:
		return table.Dead
	}
}

func (n *Node) rooms(s *decision.Snapshot, now time.Time) []member.FreeSlots {
	var rooms []member.FreeSlots
	for _, r := range s.Capacities() {
		rooms = append(rooms, member.NewFreeSlots(n.s.Name(), r.Service, r.Free, now))
	}
	return rooms
}

func (n *Node) log(events []decision.Event) {
	for _, e := range events {
		// Before the first configuration every tick misses it; the start reports that once.
		if e.Number != event.InputMissing {
			n.d.Events.Log(e.Number, e.Keyvals...)
		}
	}
}

func (n *Node) updateLookups(now time.Time, members []member.Member) {
	in := lookup.Input{Members: members, FreeSlots: n.steps.rooms, Leaving: map[string]bool{}}
	if n.Ready() {
		in.Document = n.current.Document()
	}
	if v := n.vms.Load(); v != nil {
		for _, name := range v.leaving {
			in.Leaving[name] = true
		}
	}
	if near := n.near.Load(); near != nil {
		in.Blocks = near.table
	}
	n.lookups.Update(now, in)
}

// state is the node as the gateway sees it.
type state struct{ n *Node }

// Document returns the configuration that the entry may serve, or nil.
func (s state) Document() *document.Document {
	if !s.n.Ready() {
		return nil
	}
	return s.n.current.Document()
}

// Ready reports whether the entry has a configuration that it may serve.
func (s state) Ready() bool { return s.n.Ready() }

// Leaving reports whether a graceful shutdown has begun.
func (s state) Leaving() bool { return s.n.Leaving() }
