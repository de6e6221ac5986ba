package core

import (
	"maps"
	"time"

	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/shift"
	"tamarackspool/internal/steer/table"
)

// collectCounters copies the counts since the last tick into the tables.
func (c *Core) collectCounters(now time.Time) {
	t := c.tables
	if t.Changed {
		c.bindCounters()
	}
	t.InFlight = c.total.InFlight()
	for i := range t.Targets {
		r := &t.Targets[i]
		n := c.targetGates[i].TakeCounts()
		r.Observed = table.Observation{
			InFlight: n.InFlight, Answered: n.Answered, Shed: n.Shed,
			Failed: n.Failed, Silent: n.Silent, Latency: n.Latency,
		}
	}
	for i := range t.Peers {
		p := &t.Peers[i]
		n := c.peerGates[i].TakeCounts()
		p.InFlight, p.Started, p.Refused = n.InFlight, n.Started, n.Shed
		p.Unopened, p.Reached = n.Unopened, n.Answered+n.Shed
		if n.FreeKnown && now.After(p.SlotCount.At) {
			// A count from a relayed response is newer than those from gossip.
			p.SlotCount = table.SlotCount{Entry: p.Entry, Service: p.ServiceName, Free: n.Free, Slots: p.SlotCount.Slots, At: now}
			p.HasSlotCount = true
		}
	}
	for i := range t.Links {
		if b := c.buckets[t.Links[i].Region]; b != nil {
			t.Links[i].Bytes = b.Used()
		}
	}
	for i := range t.Shifts {
		r := &t.Shifts[i]
		served, refused := c.shiftMeters[i].TakeCounts()
		r.Refused = refused
		shift.AddServed(r, served, c.countSteps)
	}
}

// bindCounters looks up the counter of each row.
func (c *Core) bindCounters() {
	t := c.tables
	c.targetGates, c.peerGates, c.shiftMeters = c.targetGates[:0], c.peerGates[:0], c.shiftMeters[:0]
	for i := range t.Targets {
		c.targetGates = append(c.targetGates, getOrCreate(c.gates, t.Targets[i].Spec.Name()))
	}
	for i := range t.Peers {
		c.peerGates = append(c.peerGates, getOrCreate(c.peers, t.Peers[i].Entry+"\x00"+t.Peers[i].ServiceName))
	}
	prune(c.gates, c.targetGates)
	prune(c.peers, c.peerGates)
	for i := range t.Shifts {
		c.shiftMeters = append(c.shiftMeters, getOrCreate(c.meters, t.Shifts[i].ServiceName+"\x00"+t.Shifts[i].Home))
	}
}

// prune removes the gates without a row. A gate with requests in flight stays
// until a later change, so that they are still counted if the row is added again.
func prune(all map[string]*decision.Gate, used []*decision.Gate) {
	if len(all) == len(used) {
		return
	}
	keep := make(map[*decision.Gate]bool, len(used))
	for _, g := range used {
		keep[g] = true
	}
	maps.DeleteFunc(all, func(_ string, g *decision.Gate) bool { return !keep[g] && g.InFlight() == 0 })
}

// publish sets the limits of the counters and returns the new snapshot.
func (c *Core) publish(now time.Time) *decision.Snapshot {
	t := c.tables
	c.total.SetLimit(t.Share)
	f := decision.Fields{
		At: now, Region: t.Region, Total: c.total, Closed: t.Closed,
		Buckets:  c.links(now),
		Services: c.services(),
	}
	for _, r := range t.Document.Regions() {
		f.Regions = append(f.Regions, r.Name())
	}
	c.slots(f.Services)
	f.Status = c.status(now)
	c.routes(f.Services, f.Buckets)
	for i := range t.Shifts {
		r := &t.Shifts[i]
		m := c.shiftMeters[i]
		m.SetAllowance(r.Remaining, r.Uncapped)
		f.Services[r.Service].Meters = append(f.Services[r.Service].Meters, m)
	}
	return decision.New(f)
}

func (c *Core) links(now time.Time) map[string]*decision.Bucket {
	buckets := make(map[string]*decision.Bucket, len(c.tables.Links))
	for _, r := range c.tables.Links {
		b := c.buckets[r.Region]
		if b == nil {
			b = decision.NewBucket(now)
			c.buckets[r.Region] = b
		}
		b.SetRate(r.Rate)
		b.Expire(now.Add(MaxTickGap))
		buckets[r.Region] = b
	}
	return buckets
}

func (c *Core) services() []decision.Service {
	rows := make([]decision.Service, 0, len(c.tables.Services))
	for i := range c.tables.Services {
		s := &c.tables.Services[i]
		r := getOrCreate(c.retries, s.Spec.Name())
		r.Refill(c.tables.Elapsed.Seconds())
		rows = append(rows, decision.Service{
			Spec: s.Spec, Retries: r, Reserve: s.Reserve, MaxWait: s.MaxWait,
			ExpectedLatency: time.Duration(s.Latency * float64(time.Second)),
		})
	}
	return rows
}

func (c *Core) slots(services []decision.Service) {
	t := c.tables
	for i := range t.Targets {
		r := &t.Targets[i]
		g := c.targetGates[i]
		if t.Closed {
			r.Limit = 0
		}
		g.SetLimit(r.Limit)
		if !r.Owned {
			continue
		}
		cost := r.Latency
		if cost <= 0 {
			cost = max(1e-6, t.Services[r.Service].Latency)
		}
		s := &services[r.Service]
		s.Gates = append(s.Gates, decision.Slot{Target: r.Spec, Gate: g, Cost: cost})
	}
}

func (c *Core) routes(services []decision.Service, buckets map[string]*decision.Bucket) {
	for i := range c.tables.Peers {
		p := &c.tables.Peers[i]
		g := c.peerGates[i]
		g.SetLimit(p.Limit)
		s := &services[p.Service]
		route := decision.Route{Entry: p.Entry, Region: p.Region, Gate: g}
		if p.Region == c.tables.Region {
			s.Near = append(s.Near, route)
			continue
		}
		if route.Bucket = buckets[p.Region]; route.Bucket != nil {
			s.Far = append(s.Far, route)
		}
	}
}

func (c *Core) status(now time.Time) decision.Status {
	t := c.tables
	s := decision.Status{At: now, Closed: t.Closed}
	for i := range t.Targets {
		r := &t.Targets[i]
		// Read after the limits are set, so that a draining target without requests in flight gets no more.
		flight := c.targetGates[i].InFlight()
		if !r.Owned && flight == 0 {
			continue
		}
		s.Targets = append(s.Targets, decision.TargetStatus{
			Name: r.Spec.Name(), Owned: r.Owned, Limit: r.Limit, InFlight: flight, Load: r.Load, Trust: r.Trust,
			Leaving: r.Leaving, Drained: r.Leaving != "" && flight == 0,
		})
	}
	for i := range t.Shifts {
		r := &t.Shifts[i]
		s.Shifts = append(s.Shifts, decision.ShiftStatus{
			Service: r.ServiceName, Home: r.Home, Allow: r.Allowance, Rate: float64(shift.ServedRate(r)), Refused: r.Refused, Open: r.Uncapped,
		})
	}
	for _, r := range t.Links {
		s.Links = append(s.Links, decision.LinkStatus{Region: r.Region, Share: r.Share, Rate: r.Rate, Used: int64(r.Used), Lendable: r.Lendable, NeedsLoan: r.NeedsLoan})
	}
	for _, e := range t.Events {
		s.Events = append(s.Events, decision.Event{Number: e.Number, Keyvals: e.Keyvals})
	}
	return s
}

// getOrCreate returns the counter with the given key and creates it if it does not exist.
func getOrCreate[T any](m map[string]*T, key string) *T {
	v := m[key]
	if v == nil {
		v = new(T)
		m[key] = v
	}
	return v
}
