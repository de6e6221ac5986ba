package policy

import (
	"errors"
	"time"

	"tamarackspool/internal/entry/loan"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/steer/core"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

// Lags of the fake control plane.
const (
	exchanges = 2 // ticks between two exchanges of an entry
	polls     = 5 // ticks between two reports of a target
	suspect   = 1600 * time.Millisecond
	dead      = 5 * time.Second
	records   = 16 // room records in a message
)

// brain is what one entry knows under the product's policy.
type brain struct {
	core      *core.Core
	snapshot  *decision.Snapshot
	rooms     map[string]table.SlotCount
	heard     []time.Duration
	confirmed bool
	ticks     int
	reports   []table.Report
	book      *loan.Book
	needs     map[string]need
	received  map[string][]table.Loan
}

// ours drives the product's core and snapshots.
type ours struct {
	brains  []*brain
	timings timings
	events  map[int]int
	freely  bool // freely means that retries need no budget
	alone   bool // alone means that no entry lends its share of a link
}

func newOurs() *ours { return &ours{events: make(map[int]int)} }

func (o *ours) restart(w *world, e int) {
	for len(o.brains) <= e {
		o.brains = append(o.brains, nil)
	}
	x := &w.entries[e]
	b := &brain{
		rooms: make(map[string]table.SlotCount), heard: make([]time.Duration, len(w.entries)),
		needs: make(map[string]need), received: make(map[string][]table.Loan),
		book: loan.New(x.spec.Name(), w.place.regions[x.region]),
	}
	b.core = core.New(core.Settings{Entry: x.spec.Name(), Region: w.place.regions[x.region], Zone: x.spec.Zone()})
	if w.now == 0 {
		// Before the run everyone has been heard from.
		for i := range b.heard {
			b.heard[i] = 0
		}
	} else {
		for i := range b.heard {
			b.heard[i] = o.lastHeard(w, i)
		}
	}
	o.brains[e] = b
}

// lastHeard is what the VM list tells a restarted entry about the others.
func (o *ours) lastHeard(w *world, i int) time.Duration {
	if w.entries[i].up && w.entries[i].since < w.now {
		return w.now
	}
	return -time.Hour
}

func (o *ours) tick(w *world, e int) {
	b := o.brains[e]
	b.ticks++
	b.heard[e] = w.now
	if b.ticks%exchanges == 0 {
		o.gossip(w, e)
	}
	in := &table.Input{Document: w.doc, Confirmed: b.confirmed, Reports: b.reports}
	for i := range w.entries {
		in.Members = append(in.Members, table.Member{Name: w.entries[i].spec.Name(), State: state(w.now - b.heard[i])})
	}
	for i := range w.entries {
		for _, k := range w.place.works {
			if r, ok := b.rooms[w.entries[i].spec.Name()+"/"+k.service]; ok {
				in.SlotCounts = append(in.SlotCounts, r)
			}
		}
	}
	in.Loans = b.loans(w)
	began := time.Now()
	b.snapshot = b.core.Step(w.clock(), in)
	o.timings.tick(time.Since(began))
	for _, v := range b.snapshot.Status().Events {
		o.events[int(v.Number)]++
	}
	if !o.alone {
		b.lend(w)
	}
	b.reports = nil
	if b.ticks%polls == 0 {
		b.reports = o.poll(w, b)
	}
}

func state(silence time.Duration) table.State {
	switch {
	case silence >= dead:
		return table.Dead
	case silence >= suspect:
		return table.Suspect
	}
	return table.Alive
}

// poll reads the reports that the next tick sees.
func (o *ours) poll(w *world, b *brain) []table.Report {
	if w.script.silent && w.script.active(w.now) {
		return nil
	}
	var all []table.Report
	for _, spec := range b.snapshot.Owned() {
		t := &w.targets[w.byName[spec.Name()]]
		if !t.up {
			continue
		}
		busy := t.busy
		if w.script.lies && w.script.active(w.now) {
			busy = int(float64(busy) * w.script.lie)
		}
		all = append(all, table.Report{Target: spec.Name(), Busy: busy, Slots: spec.Slots(), At: w.clock()})
	}
	return all
}

// gossip exchanges with one entry of the region and one of another region in turn.
func (o *ours) gossip(w *world, e int) {
	b := o.brains[e]
	var near, far []int
	for i := range w.entries {
		switch {
		case i == e:
		case w.entries[i].region == w.entries[e].region:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	turn := b.ticks / exchanges
	for _, p := range []int{near[turn%len(near)], far[turn%len(far)]} {
		if !w.entries[p].up || !w.reach(w.entries[e].region, w.entries[p].region) {
			continue
		}
		d := w.between(e, p)
		o.send(w, e, p, d, func() { o.send(w, p, e, d, func() { o.brains[e].confirmed = true }) })
		o.borrow(w, e, p, d)
	}
}

// send carries the newest records from one entry to another.
func (o *ours) send(w *world, from, to int, d time.Duration, then func()) {
	b := o.brains[from]
	if b.snapshot == nil || !w.entries[from].up {
		return
	}
	own := w.entries[from].spec.Name()
	for _, r := range b.snapshot.Capacities() {
		b.rooms[own+"/"+r.Service] = table.SlotCount{Entry: own, Service: r.Service, Free: r.Free, Slots: r.Slots, At: w.clock()}
	}
	rooms := newest(w, b)
	heard := append([]time.Duration(nil), b.heard...)
	w.plan(w.now+d, func() {
		if !w.entries[to].up {
			return
		}
		c := o.brains[to]
		for i, at := range heard {
			c.heard[i] = max(c.heard[i], at)
		}
		for _, r := range rooms {
			key := r.Entry + "/" + r.Service
			if r.At.After(c.rooms[key].At) {
				c.rooms[key] = r
			}
		}
		then()
	})
}

// newest returns the newest room records that fit a message.
func newest(w *world, b *brain) []table.SlotCount {
	var all []table.SlotCount
	for i := range w.entries {
		for _, k := range w.place.works {
			if r, ok := b.rooms[w.entries[i].spec.Name()+"/"+k.service]; ok {
				all = append(all, r)
			}
		}
	}
	for i := 1; i < len(all); i++ {
		for k := i; k > 0 && all[k].At.After(all[k-1].At); k-- {
			all[k], all[k-1] = all[k-1], all[k]
		}
	}
	return all[:min(len(all), records)]
}

func (o *ours) choose(w *world, r *request, e int, relayed bool) route {
	s := o.brains[e].snapshot
	none := route{target: -1, peer: -1, reason: string(verdict.ReasonStaleSnapshot)}
	if s == nil {
		return none
	}
	service := w.place.works[r.arrival.work].service
	// A refusal by a peer has reached no target and costs no retry.
	if !relayed && r.attempted > r.charged {
		r.charged = r.attempted
		if !o.freely && !s.TakeRetry(service) {
			none.reason = "retry-budget"
			return none
		}
	}
	q := decision.Request{
		Service: service, Home: w.place.regions[r.arrival.home], Avoid: r.avoid, Now: w.clock(),
		Deadline: epoch.Add(r.deadline), Relayed: relayed, Hops: len(r.hops),
	}
	h := &hop{entry: e, target: -1, peer: -1, began: w.now}
	draw := w.rng.Uint64()
	var err error
	o.timings.choose(func() { h.choice, err = s.Choose(q, draw) })
	if err != nil {
		if v, ok := errors.AsType[*verdict.Error](err); ok {
			none.reason = string(v.Reason())
		}
		return none
	}
	if t, ok := h.choice.Target(); ok {
		h.target = w.byName[t.Name()]
	} else {
		h.peer = w.entryBy[h.choice.Entry()]
	}
	return route{target: h.target, peer: h.peer, hop: h}
}

func (o *ours) done(_ *world, _ *request, _ int, h *hop, x end) {
	if x.unopened {
		h.choice.Release(decision.Result{Kind: decision.Failed, Unopened: true})
		return
	}
	h.choice.Release(decision.Result{Kind: x.kind, Latency: x.latency, FreeKnown: h.peer >= 0 && x.counted, Free: x.free})
}

// free is the count of free slots that an owner sends along with a relayed response.
func (o *ours) free(e, work int) int {
	if s := o.brains[e].snapshot; s != nil {
		return s.Capacities()[work].Free
	}
	return 0
}

func (o *ours) pace(w *world, e, from, to int, bytes int64, out bool) time.Duration {
	other := to
	if !out {
		other = from
	}
	s := o.brains[e].snapshot
	if s == nil {
		return time.Second
	}
	b := s.Link(w.place.regions[other])
	if out {
		return b.ChargeSent(w.clock(), bytes)
	}
	return b.ChargeReceived(w.clock(), bytes)
}
