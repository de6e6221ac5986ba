package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/entry/operator"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/steer/decision"
)

// buildOperator makes the operators' API.
func (n *Node) buildOperator() error {
	var err error
	n.operator, err = operator.New(n.s.Opkey(), operator.Dependencies{
		Configuration: n.current, History: n.history, Reporter: reporter{n}, Announcer: announcer{n}, Fleet: fleet{n},
		Metrics: n.metrics, Log: n.d.Events,
	})
	return err
}

// announcer pushes the adopted version to peers.
type announcer struct{ n *Node }

// Announce returns when the push was tried.
func (a announcer) Announce(ctx context.Context) { a.n.gossip.Push(ctx) }

// fleet asks other entries for their parts of the status.
type fleet struct{ n *Node }

// Ask returns the part of the named entry.
func (f fleet) Ask(ctx context.Context, entry string) ([]byte, error) {
	for _, m := range f.n.gossip.Members() {
		if m.Name() == entry && m.PeerAddr().IsValid() {
			return f.n.gossip.Status(ctx, m.PeerAddr())
		}
	}
	return nil, fmt.Errorf("node: the address of %s is not known", entry)
}

// part returns this entry's part of the fleet's status.
func (n *Node) part() []byte {
	data, err := operator.EncodePart(reporter{n}.Status())
	if err != nil {
		return nil // A number that JSON lacks; the asking entry reports a malformed answer.
	}
	return data
}

// Status returns what the entry knows about itself and the fleet.
func (n *Node) Status() operator.Status { return reporter{n}.Status() }

// reporter gives the status of the entry to operators.
type reporter struct{ n *Node }

// Status returns the status at the time of the call.
func (r reporter) Status() operator.Status {
	n := r.n
	members := n.gossip.Members()
	s := operator.Status{
		Entry: n.s.Name(), Region: n.s.Region(), Zone: n.s.Zone(), At: time.Now(), Version: n.Version(),
		Floor: n.current.Floor(), Store: n.follower.StoreReachable(), Roster: -1, Age: time.Since(n.began),
		Isolated: !n.follower.StoreReachable() && alone(members, n.s.Name()),
	}
	if v := n.vms.Load(); v != nil {
		s.Roster = time.Since(v.at)
	}
	for _, m := range members {
		s.Members = append(s.Members, operator.Member{
			Name: m.Name(), Zone: m.Zone(), Region: m.Region(), State: m.State().String(),
			Incarnation: ticket.Incarnation(m.Incarnation()).String(), Version: m.Version(),
		})
	}
	d, snapshot := n.current.Document(), n.snapshot.Load()
	if d != nil {
		r.plan(&s, d)
		s.Regions = r.regions(d, nil)
	}
	if d != nil && snapshot != nil {
		r.steering(&s, d, snapshot.Status())
	}
	return s
}

// plan adds what is configured: all targets, and entries that were never heard of.
func (r reporter) plan(s *operator.Status, d *document.Document) {
	for _, t := range d.Targets() {
		s.Plan = append(s.Plan, operator.Target{
			Name: t.Name(), Service: t.Service(), Zone: t.Zone(), Region: d.RegionOf(t.Zone()), Slots: t.Slots(),
		})
	}
	heard := make(map[string]bool, len(s.Members))
	for _, m := range s.Members {
		heard[m.Name] = true
	}
	for _, e := range d.Entries() {
		if !heard[e.Name()] {
			s.Members = append(s.Members, operator.Member{
				Name: e.Name(), Zone: e.Zone(), Region: d.RegionOf(e.Zone()), State: "unknown",
			})
		}
	}
}

// alone reports whether no other entry is heard from.
func alone(members []member.Member, self string) bool {
	for _, m := range members {
		if m.Name() != self && (m.State() == member.Alive || m.State() == member.Leaving) {
			return false
		}
	}
	return true
}

// steering adds what the last tick decided.
func (r reporter) steering(s *operator.Status, d *document.Document, now decision.Status) {
	busy, open := make(map[string]int), make(map[string]bool)
	for _, t := range now.Targets {
		spec, ok := d.Target(t.Name)
		if !ok {
			continue
		}
		busy[t.Name] = t.InFlight
		open[t.Name] = t.Leaving == ""
		s.Targets = append(s.Targets, operator.Target{
			Name: t.Name, Service: spec.Service(), Zone: spec.Zone(), Region: d.RegionOf(spec.Zone()), Owner: r.n.s.Name(),
			Owned: t.Owned, Busy: t.InFlight, Limit: t.Limit, Slots: spec.Slots(), Load: t.Load, Trust: t.Trust,
			Leaving: t.Leaving != "", Cause: t.Leaving, Quiet: t.Drained,
		})
	}
	for _, l := range now.Links {
		one := operator.Link{From: r.n.s.Region(), To: l.Region, Used: l.Used, Share: l.Rate}
		if spec, ok := d.Link(one.From, one.To); ok {
			one.Limit = spec.BytesPerSecond()
		}
		s.Links = append(s.Links, one)
	}
	s.Regions = r.regions(d, busy)
	s.Drains = drains(d, busy, open, s.At)
}

// regions returns the use of each region as this entry knows it.
func (r reporter) regions(d *document.Document, busy map[string]int) []operator.Region {
	free := make(map[string]int)
	for _, room := range r.n.gossip.FreeSlots() {
		if e, ok := d.Entry(room.Entry()); ok {
			free[d.RegionOf(e.Zone())] += room.Count()
		}
	}
	var all []operator.Region
	for _, g := range d.Regions() {
		one := operator.Region{Name: g.Name(), Free: free[g.Name()]}
		if g.Name() == r.n.s.Region() {
			one.Limit = g.MaxInFlight()
			for _, n := range busy {
				one.Busy += n
			}
		}
		all = append(all, one)
	}
	return all
}

// drains returns the progress of each planned drain at this entry. A drain is
// quiet only after a tick has closed the gates of all its targets here.
func drains(d *document.Document, busy map[string]int, open map[string]bool, now time.Time) []operator.Drain {
	var all []operator.Drain
	for _, dr := range d.Drains() {
		one := operator.Drain{Name: dr.Name(), Active: dr.Active(now)}
		closed := true
		for _, t := range d.Targets() {
			if d.DrainCovers(dr, t) {
				one.Targets = append(one.Targets, t.Name())
				one.Busy += busy[t.Name()]
				closed = closed && !open[t.Name()]
			}
		}
		slices.Sort(one.Targets)
		one.Quiet = one.Active && closed && one.Busy == 0
		all = append(all, one)
	}
	return all
}
