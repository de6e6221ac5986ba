package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"tamarackspool/internal/config/document"
)

// tick is the interval of the systems and of the limit checks.
const tick = 100 * time.Millisecond

// epoch is the wall time at which every run begins.
var epoch = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

// target is the fake of a target VM.
type target struct {
	spec    document.Target
	work    int
	region  int
	busy    int
	sent    int // requests that some entry has sent here and not seen end
	up      bool
	since   time.Duration // when it last came up or went down
	served  float64       // requests since the caches were cold
	slow    float64
	leaving bool // true during the scenario's drain
}

// entry is the fake of an entry VM.
type entry struct {
	spec    document.Entry
	region  int
	up      bool
	since   time.Duration
	waiting [][]*request // requests without a slot, by work
}

// world is one run of one policy through one scenario.
type world struct {
	agenda

	now     time.Duration
	place   *deployment
	script  *scenario
	doc     *document.Document
	rng     *rand.Rand
	policy  policy
	targets []target
	byName  map[string]int
	entries []entry
	entryBy map[string]int
	here    [][][]int // targets by region and work
	monitor *monitor
	figures *figures
	instant bool // instant lets requests reach targets at once, so that travel holds no slot
}

// policy is one way to pick targets.
type policy interface {
	// choose returns where the entry sends the request.
	choose(w *world, r *request, e int, relayed bool) route
	// done tells the entry how what it chose has ended.
	done(w *world, r *request, e int, h *hop, end end)
	// tick runs once per tick and entry.
	tick(w *world, e int)
	// restart forgets the entry's memory.
	restart(w *world, e int)
	// pace charges bytes to the link and returns how long the stream waits.
	pace(w *world, e, from, to int, bytes int64, out bool) time.Duration
}

// route is the outcome of a choice.
type route struct {
	target int // -1 when none
	peer   int // entry to relay to, or -1
	hop    *hop
	reason string
}

func newWorld(d *deployment, s *scenario, p policy, seed uint64) *world {
	f := d.fields()
	w := &world{
		place: d, script: s, policy: p, rng: rand.New(rand.NewPCG(seed, 2)),
		byName: make(map[string]int), entryBy: make(map[string]int),
	}
	if s.crowded {
		w.move(f.Targets)
	}
	if s.drain {
		f.Drains = append(f.Drains, w.planned(&f))
	}
	w.doc = document.New(f)
	w.here = make([][][]int, len(d.regions))
	for i := range w.here {
		w.here[i] = make([][]int, len(d.works))
	}
	for i, t := range f.Targets {
		row := target{spec: t, work: w.workOf(t.Service()), region: w.regionOf(t.Zone()), up: true, since: -time.Hour, served: 1e6, slow: 1}
		row.leaving = s.drain && w.leaves(i)
		w.byName[t.Name()] = i
		w.here[row.region][row.work] = append(w.here[row.region][row.work], i)
		w.targets = append(w.targets, row)
	}
	for i, e := range f.Entries {
		w.entryBy[e.Name()] = i
		w.entries = append(w.entries, entry{spec: e, region: w.regionOf(e.Zone()), up: true, since: -time.Hour, waiting: make([][]*request, len(d.works))})
	}
	_, w.instant = p.(*oracle)
	w.monitor = newMonitor(w)
	w.figures = newFigures(d)
	return w
}

// leaves picks every third target of a region, in turn.
func (w *world) leaves(i int) bool { return i/len(w.place.regions)%3 == 0 }

// move puts the first region's targets of the last work into the other regions in turn.
func (w *world) move(targets []document.Target) {
	k := w.place.works[len(w.place.works)-1]
	moved := 0
	for i, t := range targets {
		if t.Service() != k.service || w.regionOf(t.Zone()) != 0 {
			continue
		}
		zone := zoneName(w.place.regions[1+moved%2], moved/2%2)
		moved++
		targets[i] = document.NewTarget(document.TargetFields{Name: t.Name(), Service: k.service, Zone: zone, Slots: k.slots, MaxConns: t.MaxConns()})
	}
}

func (w *world) planned(f *document.Fields) document.Drain {
	var names []string
	for i, t := range f.Targets {
		if w.leaves(i) {
			names = append(names, t.Name())
		}
	}
	return document.NewDrain(document.DrainFields{Name: "weekly", Targets: names, Start: epoch.Add(w.script.from), End: epoch.Add(w.script.to)})
}

func (w *world) workOf(service string) int {
	for i, k := range w.place.works {
		if k.service == service {
			return i
		}
	}
	return -1
}

func (w *world) regionOf(zone string) int {
	for i, r := range w.place.regions {
		for z := range 2 {
			if zoneName(r, z) == zone {
				return i
			}
		}
	}
	return -1
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// run plays the scenario to its end.
func (w *world) run(all []arrival) {
	for i := range w.entries {
		// Entries do not tick at the same moment.
		w.plan(time.Duration(i)*7*time.Millisecond, func() { w.tickEntry(i) })
		w.policy.restart(w, i)
	}
	w.plan(tick, w.check)
	w.plan(w.script.from, func() { w.fault(true) })
	w.plan(w.script.to, func() { w.fault(false) })
	w.arrive(all, 0)
	for len(w.heap) > 0 && w.heap[0].at <= w.script.length {
		a := w.next()
		w.now = a.at
		a.do()
	}
}

func (w *world) arrive(all []arrival, i int) {
	if i >= len(all) {
		return
	}
	w.plan(all[i].at, func() {
		w.begin(&all[i])
		w.arrive(all, i+1)
	})
}

func (w *world) tickEntry(i int) {
	if w.entries[i].up {
		w.policy.tick(w, i)
		for k := range w.place.works {
			w.wake(i, k)
		}
	}
	w.plan(w.now+tick, func() { w.tickEntry(i) })
}

func (w *world) check() {
	w.monitor.tick(w)
	w.plan(w.now+tick, w.check)
}

// fault starts or ends the scenario's fault.
func (w *world) fault(begin bool) {
	s := w.script
	for i := range w.targets {
		t := &w.targets[i]
		if s.lost && t.region == 1 {
			t.up, t.since, t.served = !begin, w.now, 0
			t.busy = 0
		}
		if s.cold && begin && t.region == 1 {
			t.served = 0
		}
		if t.leaving && !begin {
			t.served = 0
		}
	}
	if s.slow {
		w.targets[0].slow = 1
		if begin {
			w.targets[0].slow = 10
		}
	}
	for i := range w.entries {
		if e := &w.entries[i]; s.lost && e.region == 1 {
			e.up, e.since = !begin, w.now
			e.waiting = make([][]*request, len(w.place.works))
			w.policy.restart(w, i)
		}
	}
}

// reach reports whether two regions can exchange messages.
func (w *world) reach(a, b int) bool {
	return a == b || !w.script.parted || !w.script.active(w.now)
}

// coldness is the factor of the work of a target whose caches are cold.
func (t *target) coldness() float64 { return 1 + 3*math.Exp(-t.served/150) }

// live reports whether the target is known to be usable: health checks notice a change after a second.
func (w *world) live(i int) bool {
	t := &w.targets[i]
	if w.now-t.since < time.Second {
		return !t.up
	}
	return t.up
}

// away reports whether the target is leaving by plan.
func (w *world) away(i int) bool { return w.targets[i].leaving && w.script.active(w.now) }
