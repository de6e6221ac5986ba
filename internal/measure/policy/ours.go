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

// Intervals, timeouts and sizes of the simulated control plane.
const (
	exchangeTicks = 2 // ticks between two gossip exchanges of an entry
	pollTicks     = 5 // ticks between two polls of the targets' reports
	suspectAfter  = 1600 * time.Millisecond
	deadAfter     = 5 * time.Second
	maxSlotCounts = 16 // slot counts in a gossip message
)

// entryState is the state of one entry under the product's policy.
type entryState struct {
	core          *core.Core
	snapshot      *decision.Snapshot
	slotCounts    map[string]table.SlotCount
	lastHeard     []time.Duration
	confirmed     bool // a peer has replied since the entry started
	ticks         int
	reports       []table.Report
	loanBook      *loan.Book
	peerNeeds     map[string]peerNeed
	receivedLoans map[string][]table.Loan
}

// productPolicy runs the product's steering core and its snapshots. One entry owns each target
// and its slots; other entries relay requests to that entry.
type productPolicy struct {
	states           []*entryState
	timings          timings
	eventCounts      map[int]int
	unlimitedRetries bool // disables the retry budget
	noLoans          bool // disables the lending of link shares between entries
}

func newProductPolicy() *productPolicy { return &productPolicy{eventCounts: make(map[int]int)} }

func (o *productPolicy) resetEntry(w *world, e int) {
	for len(o.states) <= e {
		o.states = append(o.states, nil)
	}
	x := &w.entries[e]
	b := &entryState{
		slotCounts: make(map[string]table.SlotCount), lastHeard: make([]time.Duration, len(w.entries)),
		peerNeeds: make(map[string]peerNeed), receivedLoans: make(map[string][]table.Loan),
		loanBook: loan.New(x.spec.Name(), w.deployment.regions[x.region]),
	}
	b.core = core.New(core.Settings{Entry: x.spec.Name(), Region: w.deployment.regions[x.region], Zone: x.spec.Zone()})
	if w.now == 0 {
		// At the start of the run every entry counts as just heard from.
		for i := range b.lastHeard {
			b.lastHeard[i] = 0
		}
	} else {
		for i := range b.lastHeard {
			b.lastHeard[i] = o.initialLastHeard(w, i)
		}
	}
	o.states[e] = b
}

// initialLastHeard stands for the VM list from which a restarted entry learns the others' state.
func (o *productPolicy) initialLastHeard(w *world, i int) time.Duration {
	if w.entries[i].up && w.entries[i].changedAt < w.now {
		return w.now
	}
	return -time.Hour
}

func (o *productPolicy) tick(w *world, e int) {
	b := o.states[e]
	b.ticks++
	b.lastHeard[e] = w.now
	if b.ticks%exchangeTicks == 0 {
		o.gossip(w, e)
	}
	in := &table.Input{Document: w.document, Confirmed: b.confirmed, Reports: b.reports}
	for i := range w.entries {
		in.Members = append(in.Members, table.Member{Name: w.entries[i].spec.Name(), State: memberState(w.now - b.lastHeard[i])})
	}
	for i := range w.entries {
		for _, k := range w.deployment.workloads {
			if r, ok := b.slotCounts[w.entries[i].spec.Name()+"/"+k.service]; ok {
				in.SlotCounts = append(in.SlotCounts, r)
			}
		}
	}
	in.Loans = b.currentLoans(w)
	start := time.Now()
	b.snapshot = b.core.Step(w.wallTime(), in)
	o.timings.recordTick(time.Since(start))
	for _, v := range b.snapshot.Status().Events {
		o.eventCounts[int(v.Number)]++
	}
	if !o.noLoans {
		b.updateLoans(w)
	}
	b.reports = nil
	if b.ticks%pollTicks == 0 {
		b.reports = o.pollReports(w, b)
	}
}

func memberState(silence time.Duration) table.State {
	switch {
	case silence >= deadAfter:
		return table.Dead
	case silence >= suspectAfter:
		return table.Suspect
	}
	return table.Alive
}

// pollReports returns the targets' reports for the next tick.
func (o *productPolicy) pollReports(w *world, b *entryState) []table.Report {
	if w.scenario.reportsLost && w.scenario.faultActive(w.now) {
		return nil
	}
	var all []table.Report
	for _, spec := range b.snapshot.Owned() {
		t := &w.targets[w.targetIndex[spec.Name()]]
		if !t.up {
			continue
		}
		busy := t.busySlots
		if w.scenario.misreport && w.scenario.faultActive(w.now) {
			busy = int(float64(busy) * w.scenario.reportedFraction)
		}
		all = append(all, table.Report{Target: spec.Name(), Busy: busy, Slots: spec.Slots(), At: w.wallTime()})
	}
	return all
}

// gossip exchanges slot counts and last-heard times with one entry of the same region and one of another region, each in turn.
func (o *productPolicy) gossip(w *world, e int) {
	b := o.states[e]
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
	turn := b.ticks / exchangeTicks
	for _, p := range []int{near[turn%len(near)], far[turn%len(far)]} {
		if !w.entries[p].up || !w.regionsConnected(w.entries[e].region, w.entries[p].region) {
			continue
		}
		d := w.entryDelay(e, p)
		o.sendState(w, e, p, d, func() { o.sendState(w, p, e, d, func() { o.states[e].confirmed = true }) })
		o.exchangeLoans(w, e, p, d)
	}
}

// sendState sends the newest slot counts and the last-heard times from one entry to another.
func (o *productPolicy) sendState(w *world, from, to int, d time.Duration, then func()) {
	b := o.states[from]
	if b.snapshot == nil || !w.entries[from].up {
		return
	}
	own := w.entries[from].spec.Name()
	for _, r := range b.snapshot.Capacities() {
		b.slotCounts[own+"/"+r.Service] = table.SlotCount{Entry: own, Service: r.Service, Free: r.Free, Slots: r.Slots, At: w.wallTime()}
	}
	counts := newestSlotCounts(w, b)
	heard := append([]time.Duration(nil), b.lastHeard...)
	w.schedule(w.now+d, func() {
		if !w.entries[to].up {
			return
		}
		c := o.states[to]
		for i, at := range heard {
			c.lastHeard[i] = max(c.lastHeard[i], at)
		}
		for _, r := range counts {
			key := r.Entry + "/" + r.Service
			if r.At.After(c.slotCounts[key].At) {
				c.slotCounts[key] = r
			}
		}
		then()
	})
}

// newestSlotCounts returns the newest slot counts that fit a message.
func newestSlotCounts(w *world, b *entryState) []table.SlotCount {
	var all []table.SlotCount
	for i := range w.entries {
		for _, k := range w.deployment.workloads {
			if r, ok := b.slotCounts[w.entries[i].spec.Name()+"/"+k.service]; ok {
				all = append(all, r)
			}
		}
	}
	for i := 1; i < len(all); i++ {
		for k := i; k > 0 && all[k].At.After(all[k-1].At); k-- {
			all[k], all[k-1] = all[k-1], all[k]
		}
	}
	return all[:min(len(all), maxSlotCounts)]
}

func (o *productPolicy) choose(w *world, r *request, e int, relayed bool) route {
	s := o.states[e].snapshot
	none := route{target: -1, peer: -1, reason: string(verdict.ReasonStaleSnapshot)}
	if s == nil {
		return none
	}
	service := w.deployment.workloads[r.arrival.workload].service
	// An attempt that a peer refused has not reached a target and costs no retry.
	if !relayed && r.targetAttempts > r.chargedAttempts {
		r.chargedAttempts = r.targetAttempts
		if !o.unlimitedRetries && !s.TakeRetry(service) {
			none.reason = "retry-budget"
			return none
		}
	}
	q := decision.Request{
		Service: service, Home: w.deployment.regions[r.arrival.homeRegion], Avoid: r.excluded, Now: w.wallTime(),
		Deadline: epoch.Add(r.deadline), Relayed: relayed, Hops: len(r.hops),
	}
	h := &hop{entry: e, target: -1, peer: -1, startedAt: w.now}
	draw := w.rng.Uint64()
	var err error
	o.timings.timeChoice(func() { h.choice, err = s.Choose(q, draw) })
	if err != nil {
		if v, ok := errors.AsType[*verdict.Error](err); ok {
			none.reason = string(v.Reason())
		}
		return none
	}
	if t, ok := h.choice.Target(); ok {
		h.target = w.targetIndex[t.Name()]
	} else {
		h.peer = w.entryIndex[h.choice.Entry()]
	}
	return route{target: h.target, peer: h.peer, hop: h}
}

func (o *productPolicy) attemptEnded(_ *world, _ *request, _ int, h *hop, result attemptResult) {
	if result.connectFailed {
		h.choice.Release(decision.Result{Kind: decision.Failed, Unopened: true})
		return
	}
	h.choice.Release(decision.Result{Kind: result.kind, Latency: result.latency, FreeKnown: h.peer >= 0 && result.freeKnown, Free: result.freeSlots})
}

// freeSlots returns the number of free slots that entry e reports with the response to a relayed request.
func (o *productPolicy) freeSlots(e, workload int) int {
	if s := o.states[e].snapshot; s != nil {
		return s.Capacities()[workload].Free
	}
	return 0
}

func (o *productPolicy) chargeLink(w *world, e, from, to int, bytes int64, outbound bool) time.Duration {
	other := to
	if !outbound {
		other = from
	}
	s := o.states[e].snapshot
	if s == nil {
		return time.Second
	}
	b := s.Link(w.deployment.regions[other])
	if outbound {
		return b.ChargeSent(w.wallTime(), bytes)
	}
	return b.ChargeReceived(w.wallTime(), bytes)
}
