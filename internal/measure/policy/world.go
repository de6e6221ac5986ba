package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"tamarackspool/internal/config/document"
)

// tickInterval is the interval of the entries' ticks and of the limit checks.
const tickInterval = 100 * time.Millisecond

// epoch is the simulated wall time at which every run begins.
var epoch = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

// target is a simulated target VM.
type target struct {
	spec            document.Target
	workload        int
	region          int
	busySlots       int
	dispatched      int // requests that entries have sent to this target and that have not ended
	up              bool
	changedAt       time.Duration // when it last came up or went down
	servedSinceCold float64       // requests served since the caches were last empty
	slowFactor      float64
	inDrain         bool // the scenario's drain includes the target
}

// entry is a simulated entry VM.
type entry struct {
	spec      document.Entry
	region    int
	up        bool
	changedAt time.Duration
	queues    [][]*request // requests that wait for a slot, by workload
}

// world is one simulation of one policy in one scenario.
type world struct {
	eventQueue

	now             time.Duration
	deployment      *deployment
	scenario        *scenario
	document        *document.Document
	rng             *rand.Rand
	policy          policy
	targets         []target
	targetIndex     map[string]int
	entries         []entry
	entryIndex      map[string]int
	localTargets    [][][]int // targets by region and workload
	monitor         *monitor
	figures         *figures
	instantDelivery bool // delivers requests to targets without delay, so that no slot is held during transit
}

// policy is one method of choosing targets.
type policy interface {
	// choose returns the target or the peer to which the entry sends the request.
	choose(w *world, r *request, e int, relayed bool) route
	// attemptEnded reports the result of an attempt to the entry that chose it.
	attemptEnded(w *world, r *request, e int, h *hop, result attemptResult)
	// tick runs once per tick and entry.
	tick(w *world, e int)
	// resetEntry clears the entry's state, as a restart does.
	resetEntry(w *world, e int)
	// chargeLink charges bytes to the link and returns how long the transfer must wait.
	chargeLink(w *world, e, from, to int, bytes int64, outbound bool) time.Duration
}

// route is the outcome of a choice.
type route struct {
	target int // -1 when none
	peer   int // entry to relay to, or -1
	hop    *hop
	reason string // why there is neither a target nor a peer
}

func newWorld(d *deployment, s *scenario, p policy, seed uint64) *world {
	f := d.configuration()
	w := &world{
		deployment: d, scenario: s, policy: p, rng: rand.New(rand.NewPCG(seed, 2)),
		targetIndex: make(map[string]int), entryIndex: make(map[string]int),
	}
	if s.singleEntryLoad {
		w.moveTargets(f.Targets)
	}
	if s.plannedDrain {
		f.Drains = append(f.Drains, w.drainPlan(&f))
	}
	w.document = document.New(f)
	w.localTargets = make([][][]int, len(d.regions))
	for i := range w.localTargets {
		w.localTargets[i] = make([][]int, len(d.workloads))
	}
	for i, t := range f.Targets {
		row := target{spec: t, workload: w.workloadIndex(t.Service()), region: w.regionIndex(t.Zone()), up: true, changedAt: -time.Hour, servedSinceCold: 1e6, slowFactor: 1}
		row.inDrain = s.plannedDrain && w.selectedForDrain(i)
		w.targetIndex[t.Name()] = i
		w.localTargets[row.region][row.workload] = append(w.localTargets[row.region][row.workload], i)
		w.targets = append(w.targets, row)
	}
	for i, e := range f.Entries {
		w.entryIndex[e.Name()] = i
		w.entries = append(w.entries, entry{spec: e, region: w.regionIndex(e.Zone()), up: true, changedAt: -time.Hour, queues: make([][]*request, len(d.workloads))})
	}
	_, w.instantDelivery = p.(*oracle)
	w.monitor = newMonitor(w)
	w.figures = newFigures(d)
	return w
}

// selectedForDrain selects every third target of a region.
func (w *world) selectedForDrain(i int) bool { return i/len(w.deployment.regions)%3 == 0 }

// moveTargets moves the first region's targets of the last workload to the other regions, alternating between them.
func (w *world) moveTargets(targets []document.Target) {
	k := w.deployment.workloads[len(w.deployment.workloads)-1]
	moved := 0
	for i, t := range targets {
		if t.Service() != k.service || w.regionIndex(t.Zone()) != 0 {
			continue
		}
		zone := zoneName(w.deployment.regions[1+moved%2], moved/2%2)
		moved++
		targets[i] = document.NewTarget(document.TargetFields{Name: t.Name(), Service: k.service, Zone: zone, Slots: k.slots, MaxConns: t.MaxConns()})
	}
}

func (w *world) drainPlan(f *document.Fields) document.Drain {
	var names []string
	for i, t := range f.Targets {
		if w.selectedForDrain(i) {
			names = append(names, t.Name())
		}
	}
	return document.NewDrain(document.DrainFields{Name: "weekly", Targets: names, Start: epoch.Add(w.scenario.faultStart), End: epoch.Add(w.scenario.faultEnd)})
}

func (w *world) workloadIndex(service string) int {
	for i, k := range w.deployment.workloads {
		if k.service == service {
			return i
		}
	}
	return -1
}

func (w *world) regionIndex(zone string) int {
	for i, r := range w.deployment.regions {
		for z := range 2 {
			if zoneName(r, z) == zone {
				return i
			}
		}
	}
	return -1
}

func (w *world) wallTime() time.Time { return epoch.Add(w.now) }

// run simulates the scenario to its end.
func (w *world) run(all []arrival) {
	for i := range w.entries {
		// The ticks are staggered by 7 ms, because real entries do not tick at the same time.
		w.schedule(time.Duration(i)*7*time.Millisecond, func() { w.tickEntry(i) })
		w.policy.resetEntry(w, i)
	}
	w.schedule(tickInterval, w.checkLimits)
	w.schedule(w.scenario.faultStart, func() { w.setFault(true) })
	w.schedule(w.scenario.faultEnd, func() { w.setFault(false) })
	w.scheduleArrival(all, 0)
	for len(w.heap) > 0 && w.heap[0].at <= w.scenario.length {
		a := w.pop()
		w.now = a.at
		a.do()
	}
}

func (w *world) scheduleArrival(all []arrival, i int) {
	if i >= len(all) {
		return
	}
	w.schedule(all[i].at, func() {
		w.startRequest(&all[i])
		w.scheduleArrival(all, i+1)
	})
}

func (w *world) tickEntry(i int) {
	if w.entries[i].up {
		w.policy.tick(w, i)
		for k := range w.deployment.workloads {
			w.serveQueue(i, k)
		}
	}
	w.schedule(w.now+tickInterval, func() { w.tickEntry(i) })
}

func (w *world) checkLimits() {
	w.monitor.endTick(w)
	w.schedule(w.now+tickInterval, w.checkLimits)
}

// setFault starts or ends the scenario's fault.
func (w *world) setFault(begin bool) {
	s := w.scenario
	for i := range w.targets {
		t := &w.targets[i]
		if s.regionLost && t.region == 1 {
			t.up, t.changedAt, t.servedSinceCold = !begin, w.now, 0
			t.busySlots = 0
		}
		if s.cachesLost && begin && t.region == 1 {
			t.servedSinceCold = 0
		}
		if t.inDrain && !begin {
			t.servedSinceCold = 0
		}
	}
	if s.slowTarget {
		w.targets[0].slowFactor = 1
		if begin {
			w.targets[0].slowFactor = 10
		}
	}
	for i := range w.entries {
		if e := &w.entries[i]; s.regionLost && e.region == 1 {
			e.up, e.changedAt = !begin, w.now
			e.queues = make([][]*request, len(w.deployment.workloads))
			w.policy.resetEntry(w, i)
		}
	}
}

// regionsConnected reports whether two regions can exchange messages.
func (w *world) regionsConnected(a, b int) bool {
	return a == b || !w.scenario.regionsPartitioned || !w.scenario.faultActive(w.now)
}

// coldFactor returns the factor on the service time of a target whose caches are not warm yet.
func (t *target) coldFactor() float64 { return 1 + 3*math.Exp(-t.servedSinceCold/150) }

// seenHealthy reports whether the target is up according to health checks, which notice a change after a second.
func (w *world) seenHealthy(i int) bool {
	t := &w.targets[i]
	if w.now-t.changedAt < time.Second {
		return !t.up
	}
	return t.up
}

// draining reports whether the target is being drained.
func (w *world) draining(i int) bool { return w.targets[i].inDrain && w.scenario.faultActive(w.now) }
