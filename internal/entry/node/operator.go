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

// buildOperator creates the operators' API.
func (n *Node) buildOperator() error {
	var err error
	n.operator, err = operator.New(n.settings.OperatorKey(), operator.Dependencies{
		Configuration: n.current, History: n.history, Reporter: reporter{n}, Announcer: announcer{n}, Fleet: fleet{n},
		Metrics: n.metrics, Log: n.deps.Events,
	})
	return err
}

// announcer implements operator.Announcer with a push to peers.
type announcer struct{ n *Node }

// Announce pushes the adopted version to peers and returns after one attempt.
func (a announcer) Announce(ctx context.Context) { a.n.gossip.Push(ctx) }

// fleet implements operator.Fleet with calls to other entries.
type fleet struct{ n *Node }

// RequestStatus returns the status part of the named entry.
func (f fleet) RequestStatus(ctx context.Context, entry string) ([]byte, error) {
	for _, m := range f.n.gossip.Members() {
		if m.Name() == entry && m.PeerAddr().IsValid() {
			return f.n.gossip.Status(ctx, m.PeerAddr())
		}
	}
	return nil, fmt.Errorf("node: the address of %s is not known", entry)
}

// statusPart returns this entry's part of the fleet status, or nil if it cannot be encoded.
func (n *Node) statusPart() []byte {
	data, err := operator.EncodePart(reporter{n}.Status())
	if err != nil {
		return nil // JSON cannot represent NaN or infinity; the requesting entry reports a malformed answer.
	}
	return data
}

// Status returns the entry's own status and its view of the fleet.
func (n *Node) Status() operator.Status { return reporter{n}.Status() }

// reporter implements operator.Reporter.
type reporter struct{ n *Node }

// Status returns the status at the time of the call.
func (r reporter) Status() operator.Status {
	n := r.n
	members := n.gossip.Members()
	s := operator.Status{
		Entry: n.settings.Name(), Region: n.settings.Region(), Zone: n.settings.Zone(), At: time.Now(), Version: n.Version(),
		Floor: n.current.Floor(), StoreReachable: n.follower.StoreReachable(), VMListAge: -1, Uptime: time.Since(n.startedAt),
		Isolated: !n.follower.StoreReachable() && noLivePeer(members, n.settings.Name()),
	}
	if v := n.vms.Load(); v != nil {
		s.VMListAge = time.Since(v.readAt)
	}
	for _, m := range members {
		s.Members = append(s.Members, operator.Member{
			Name: m.Name(), Zone: m.Zone(), Region: m.Region(), State: m.State().String(),
			Incarnation: ticket.Incarnation(m.Incarnation()).String(), Version: m.Version(),
		})
	}
	d, snapshot := n.current.Document(), n.snapshot.Load()
	if d != nil {
		r.addConfigured(&s, d)
		s.Regions = r.regions(d, nil)
	}
	if d != nil && snapshot != nil {
		r.addDecisions(&s, d, snapshot.Status())
	}
	return s
}

// addConfigured adds all configured targets, and configured entries that are not in the membership.
func (r reporter) addConfigured(s *operator.Status, d *document.Document) {
	for _, t := range d.Targets() {
		s.ConfiguredTargets = append(s.ConfiguredTargets, operator.Target{
			Name: t.Name(), Service: t.Service(), Zone: t.Zone(), Region: d.RegionOf(t.Zone()), Slots: t.Slots(),
		})
	}
	known := make(map[string]bool, len(s.Members))
	for _, m := range s.Members {
		known[m.Name] = true
	}
	for _, e := range d.Entries() {
		if !known[e.Name()] {
			s.Members = append(s.Members, operator.Member{
				Name: e.Name(), Zone: e.Zone(), Region: d.RegionOf(e.Zone()), State: "unknown",
			})
		}
	}
}

// noLivePeer reports whether no other member is alive or leaving.
func noLivePeer(members []member.Member, self string) bool {
	for _, m := range members {
		if m.Name() != self && (m.State() == member.Alive || m.State() == member.Leaving) {
			return false
		}
	}
	return true
}

// addDecisions adds the steering decisions of the last tick.
func (r reporter) addDecisions(s *operator.Status, d *document.Document, now decision.Status) {
	inFlight, open := make(map[string]int), make(map[string]bool)
	for _, t := range now.Targets {
		spec, ok := d.Target(t.Name)
		if !ok {
			continue
		}
		inFlight[t.Name] = t.InFlight
		open[t.Name] = t.Leaving == ""
		s.Targets = append(s.Targets, operator.Target{
			Name: t.Name, Service: spec.Service(), Zone: spec.Zone(), Region: d.RegionOf(spec.Zone()), Owner: r.n.settings.Name(),
			Owned: t.Owned, Busy: t.InFlight, Limit: t.Limit, Slots: spec.Slots(), Load: t.Load, Trust: t.Trust,
			Leaving: t.Leaving != "", Cause: t.Leaving, Quiet: t.Drained,
		})
	}
	for _, l := range now.Links {
		link := operator.Link{From: r.n.settings.Region(), To: l.Region, Used: l.Used, Share: l.Rate}
		if spec, ok := d.Link(link.From, link.To); ok {
			link.Limit = spec.BytesPerSecond()
		}
		s.Links = append(s.Links, link)
	}
	s.Regions = r.regions(d, inFlight)
	s.Drains = drains(d, inFlight, open, s.At)
}

// regions returns the use of each region as seen by this entry.
func (r reporter) regions(d *document.Document, inFlight map[string]int) []operator.Region {
	free := make(map[string]int)
	for _, slots := range r.n.gossip.FreeSlots() {
		if e, ok := d.Entry(slots.Entry()); ok {
			free[d.RegionOf(e.Zone())] += slots.Count()
		}
	}
	var all []operator.Region
	for _, g := range d.Regions() {
		region := operator.Region{Name: g.Name(), Free: free[g.Name()]}
		if g.Name() == r.n.settings.Region() {
			region.Limit = g.MaxInFlight()
			for _, n := range inFlight {
				region.Busy += n
			}
		}
		all = append(all, region)
	}
	return all
}

// drains returns the progress of each planned drain at this entry. A drain is
// quiet only after a tick has closed the gates of all its targets at this entry,
// so that they admit no new requests.
func drains(d *document.Document, inFlight map[string]int, open map[string]bool, now time.Time) []operator.Drain {
	var all []operator.Drain
	for _, dr := range d.Drains() {
		drain := operator.Drain{Name: dr.Name(), Active: dr.Active(now)}
		closed := true
		for _, t := range d.Targets() {
			if d.DrainCovers(dr, t) {
				drain.Targets = append(drain.Targets, t.Name())
				drain.Busy += inFlight[t.Name()]
				closed = closed && !open[t.Name()]
			}
		}
		slices.Sort(drain.Targets)
		drain.Quiet = drain.Active && closed && drain.Busy == 0
		all = append(all, drain)
	}
	return all
}
