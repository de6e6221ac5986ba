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
	// tickInterval is the interval at which the steering systems run.
	tickInterval = 100 * time.Millisecond
	// readsPerLookupUpdate is the number of membership reads per rebuild of the look-up table.
	readsPerLookupUpdate = 5
	// membersPerTick and maxReadTicks set how many ticks pass between reads of a large membership.
	membersPerTick = 100
	maxReadTicks   = 5
)

// ReadTicks returns the number of ticks between reads of a membership of the given size. At 590 entries a
// read costs more than the steering systems, and its changes are already seconds old.
func ReadTicks(members int) int { return min(maxReadTicks, 1+members/membersPerTick) }

// LookupTicks returns the number of ticks between rebuilds of the look-up table. Callers cache an answer for 10 s, so a
// table that is 2.5 s old in a fleet of 590 entries adds little to the age of their data.
func LookupTicks(members int) int { return readsPerLookupUpdate * ReadTicks(members) }

// tickState is used only by the tick loop.
type tickState struct {
	lastTick       time.Time
	uncertainSince time.Time // uncertainSince is when the process started or last resumed after a pause.
	confirmed      bool      // confirmed means that a peer has confirmed this incarnation since uncertainSince.
	ticks          int
	members        []member.Member
	freeSlots      []member.FreeSlots
}

// refresh reads the membership if a read is due and reports whether it did.
func (t *tickState) refresh(g *gossip.Service) bool {
	due := t.ticks%ReadTicks(len(t.members)) == 0
	if due {
		t.members, t.freeSlots = g.Members(), g.FreeSlots()
	}
	return due
}

// tickLoop runs the steering systems at each tick until ctx ends.
func (n *Node) tickLoop(ctx context.Context) {
	n.step(time.Now())
	every(ctx, tickInterval, func() {
		n.deps.BeforeTick(ctx)
		n.step(time.Now())
	})
}

// step computes and publishes one snapshot.
func (n *Node) step(now time.Time) {
	st := &n.tickState
	if st.lastTick.IsZero() || now.Sub(st.lastTick) > core.MaxTickGap {
		st.uncertainSince, st.confirmed = now, false
	}
	st.lastTick = now
	membersRead := st.refresh(n.gossip)
	if membersRead {
		n.view.Store(newMemberView(st.members))
	}
	in := n.input()
	if in.Confirmed && !st.confirmed {
		st.confirmed = true
		n.deps.Events.Log(event.Confirmed, "entry", n.settings.Name())
	}
	in.Loans = n.loans(now)
	s := n.core.Step(now, in)
	n.snapshot.Store(s)
	n.updateLoans(now, s.Status())
	n.logEvents(s.Status().Events)
	n.gossip.SetFreeSlots(n.memberFreeSlots(s, now))
	if membersRead {
		n.follower.SetWatching(n.gossip.IsWatcher())
	}
	if st.ticks%LookupTicks(len(st.members)) == 0 {
		n.updateLookups(now, st.members)
	}
	st.ticks++
	n.waitQueue.WakeAll()
}

// input collects the inputs of the tick.
func (n *Node) input() *table.Input {
	in := &table.Input{Reports: n.reports.list(), Confirmed: n.gossip.ConfirmedSince(n.tickState.uncertainSince)}
	if n.Ready() {
		in.Document = n.current.Document()
	}
	for _, m := range n.tickState.members {
		in.Members = append(in.Members, table.Member{Name: m.Name(), State: stateOf(m.State())})
	}
	for _, r := range n.tickState.freeSlots {
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

func (n *Node) memberFreeSlots(s *decision.Snapshot, now time.Time) []member.FreeSlots {
	var freeSlots []member.FreeSlots
	for _, r := range s.Capacities() {
		freeSlots = append(freeSlots, member.NewFreeSlots(n.settings.Name(), r.Service, r.Free, now))
	}
	return freeSlots
}

func (n *Node) logEvents(events []decision.Event) {
	for _, e := range events {
		// Before the first configuration every tick raises InputMissing; bootstrap logs that state once.
		if e.Number != event.InputMissing {
			n.deps.Events.Log(e.Number, e.Keyvals...)
		}
	}
}

func (n *Node) updateLookups(now time.Time, members []member.Member) {
	in := lookup.Input{Members: members, FreeSlots: n.tickState.freeSlots, Leaving: map[string]bool{}}
	if n.Ready() {
		in.Document = n.current.Document()
	}
	if v := n.vms.Load(); v != nil {
		for _, name := range v.leaving {
			in.Leaving[name] = true
		}
	}
	if loaded := n.blocks.Load(); loaded != nil {
		in.Blocks = loaded.table
	}
	n.lookups.Update(now, in)
}

// state exposes the node's configuration and state to the gateway and the forwarder.
type state struct{ n *Node }

// Document returns the configuration that the entry may serve, or nil.
func (s state) Document() *document.Document {
	if !s.n.Ready() {
		return nil
	}
	return s.n.current.Document()
}

// Ready reports whether the entry may serve with its configuration.
func (s state) Ready() bool { return s.n.Ready() }

// Leaving reports whether a graceful shutdown has begun.
func (s state) Leaving() bool { return s.n.Leaving() }
