package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackspool/internal/steer/admission"
	"tamarackspool/internal/steer/placement"
	"tamarackspool/internal/steer/refusal"
	"tamarackspool/internal/steer/spend"
)

// seeds is the number of times that a scene is played.
const seeds = 3

// decisions are the decisions of this package that a play applies.
type decisions struct{ admit, retry, place, returns bool }

var allDecisions = decisions{admit: true, retry: true, place: true, returns: true}

// kind is a kind of callers in a play.
type kind struct {
	name     string
	request  admission.Request
	rate     float64                         // rate is in requests per second, over all entries.
	peak     func(now time.Duration) float64 // peak is a factor on the rate; nil for 1.
	timeout  time.Duration                   // timeout is the rule's.
	patience time.Duration                   // patience is how long the caller waits, over both calls.
	ignores  bool                            // ignores is set for callers that come back at once, up to five times.
	entries  int                             // entries is the number of entries that the callers use.
}

// rule returns the name of the rule that the kind's requests have.
func (k *kind) rule() string { return fmt.Sprint("priority-", k.request.Priority) }

// scene is a load on one service.
type scene struct {
	kinds                 []kind
	entries, targets      int
	slots, queue, objects int
	cold, warm            time.Duration
	shed                  func(now time.Duration) float64 // shed is the part of the requests that targets reject at any load.
	length                time.Duration
}

// result is what the callers of a kind got.
type result struct{ sent, served, prompt, again, cut int }

func (r result) share() float64 { return float64(r.served) / float64(max(1, r.sent)) }

func (r result) String() string {
	return fmt.Sprintf("%d sent, %.3f served, %.3f prompt, %.3f refused again, %.3f cut", r.sent, r.share(),
		float64(r.prompt)/float64(max(1, r.sent)), float64(r.again)/float64(max(1, r.sent)), float64(r.cut)/float64(max(1, r.sent)))
}

// player plays a scene. Times are durations since its start.
type player struct {
	scene
	on      decisions
	rand    *rand.Rand
	now     time.Duration
	queue   events
	serial  int
	entries []*entry
	targets []*target
	results map[string]*result
}

type entry struct {
	service *admission.Service
	returns refusal.Returns
	budget  *spend.Budget
	seen    []sight
}

// sight is what an entry knows of a target.
type sight struct {
	load, inflight   int
	at, backoffUntil time.Duration
	handled          map[int]time.Duration
}

type target struct {
	hash             uint64
	running, waiting []*call
	handled          map[int]bool
}

// call is a request of a caller, over all its attempts.
type call struct {
	kind         *kind
	entry        *entry
	object       int
	first        time.Duration // first is when the caller sent it for the first time.
	deadline     time.Duration
	returned     int
	sent         int
	tried        []int
	sentAt       time.Duration
	free, isWarm bool
	done         bool
	cancel       func()
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *player) at(at time.Duration, run func()) {
	p.serial++
	heap.Push(&p.queue, event{at, p.serial, run})
}

const (
	objective = 600 * time.Millisecond
	hop       = time.Millisecond
)

// epoch is the time at which plays begin.
var epoch = time.Unix(1000, 0)

func (p *player) clock() time.Time { return epoch.Add(p.now) }

// play returns what the callers of each kind got, summed over some seeds.
func play(s scene, on decisions) map[string]result {
	sum := make(map[string]result)
	for seed := range uint64(seeds) {
		p := &player{scene: s, on: on, rand: rand.New(rand.NewPCG(seed, 3)), results: make(map[string]*result)}
		p.run()
		for name, r := range p.results {
			o := sum[name]
			sum[name] = result{o.sent + r.sent, o.served + r.served, o.prompt + r.prompt, o.again + r.again, o.cut + r.cut}
		}
	}
	return sum
}

func (p *player) run() {
	for range p.scene.entries {
		e := &entry{service: admission.New(admission.Limits{RetriesPerRequest: 0.1, Horizon: 6 * time.Second, OverloadShare: 0.1}), budget: spend.NewBudget(spend.Limits{Ratio: 0.2, Window: 10 * time.Second}), seen: make([]sight, p.scene.targets)}
		for i := range e.seen {
			e.seen[i].handled = make(map[int]time.Duration)
		}
		p.entries = append(p.entries, e)
	}
	for i := range p.scene.targets {
		p.targets = append(p.targets, &target{hash: placement.HashName(fmt.Sprint("target-", i)), handled: make(map[int]bool)})
	}
	for i := range p.kinds {
		k := &p.kinds[i]
		p.results[k.name] = &result{}
		for now := time.Duration(0); now < p.length; {
			rate := k.rate
			if k.peak != nil {
				rate *= k.peak(now)
			}
			now += time.Duration(p.rand.ExpFloat64() / rate * float64(time.Second))
			n := len(p.entries)
			if k.entries > 0 {
				n = k.entries
			}
			c := &call{kind: k, entry: p.entries[p.rand.IntN(n)], object: p.rand.IntN(p.objects), first: now}
			p.at(now, func() { p.results[k.name].sent++; p.arrive(c) })
		}
	}
	for p.queue.Len() > 0 {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.run()
	}
}

// arrive takes a request at its entry, as internal/entry/edge does.
func (p *player) arrive(c *call) {
	c.deadline = min(p.now+c.kind.timeout, c.first+c.kind.patience)
	c.tried, c.sent = nil, 0
	e := c.entry
	e.budget.RecordRequest(p.now)
	if v := e.service.Admit(c.kind.request, p.clock()); p.on.admit && v != admission.Admitted {
		p.refuse(c, 0)
		return
	}
	p.forward(c)
}

func (e *entry) load(i int, now time.Duration) int {
	s := &e.seen[i]
	if now-s.at < 1500*time.Millisecond {
		return max(s.load, s.inflight)
	}
	return s.inflight
}

func (p *player) forward(c *call) {
	e := c.entry
	order := p.order(c, true)
	if order[0] < 0 {
		order = p.order(c, false)
	}
	available := e.budget.AvailableRetries(p.now)
	if order[0] < 0 || c.sent >= 3 || c.sent > 0 && (available == 0 || p.on.retry && !e.service.AdmitRetry(c.kind.request, available, p.clock())) {
		p.refuse(c, 0)
		return
	}
	var known []placement.Candidate
	var candidates []admission.Candidate
	for _, i := range order {
		if i >= 0 {
			at, ok := e.seen[i].handled[c.object]
			warm := ok && p.now-at < 15*time.Second
			known = append(known, placement.Candidate{Load: e.load(i, p.now), Slots: p.slots, Warm: warm})
			candidates = append(candidates, admission.Candidate{Load: e.load(i, p.now), Slots: p.slots, Warm: warm})
		}
	}
	picked := placement.Pick(known)
	if p.on.place {
		candidates[0], candidates[picked] = candidates[picked], candidates[0]
		order[0], order[picked] = order[picked], order[0]
		d := e.service.Place(c.kind.rule(), candidates, c.deadline-p.now, p.clock())
		if d.Candidate < 0 {
			p.refuse(c, d.Wait)
			return
		}
		picked = d.Candidate
	}
	if c.sent > 0 {
		e.budget.TakeRetry(p.now)
		e.service.RecordRetry(c.kind.request, p.clock())
	}
	c.sent++
	c.tried = append(c.tried, order[picked])
	c.sentAt, c.free, c.isWarm = p.now, candidates[picked].Load < p.slots, candidates[picked].Warm
	p.send(c, order[picked])
}

func (p *player) order(c *call, careful bool) [placement.MaxCandidates]int {
	return placement.Order(placement.NewKey("r", fmt.Sprint(c.object)), len(p.targets), func(i int) uint64 { return p.targets[i].hash }, func(i int) float64 {
		for _, t := range c.tried {
			if t == i {
				return 0
			}
		}
		if careful && p.now < c.entry.seen[i].backoffUntil {
			return 0
		}
		return 1
	})
}

func (p *player) send(c *call, i int) {
	e, t := c.entry, p.targets[i]
	e.seen[i].inflight++
	e.seen[i].handled[c.object] = p.now
	// settle ends the attempt at the entry.
	settle := func() {
		e.seen[i].inflight--
		e.seen[i].load, e.seen[i].at = len(t.running)+len(t.waiting), p.now
	}
	if p.shed != nil && p.rand.Float64() < p.shed(p.now) || len(t.running) >= p.slots && len(t.waiting) >= p.scene.queue {
		full := len(t.running) >= p.slots
		p.at(p.now+2*hop, func() {
			settle()
			e.seen[i].backoffUntil = p.now + 150*time.Millisecond
			e.service.RecordShed(c.kind.request, full, p.clock())
			p.forward(c)
		})
		return
	}
	c.done = false
	c.cancel = func() {
		settle()
		t.running, t.waiting = without(t.running, c), without(t.waiting, c)
		p.start(t)
	}
	sent := c.sent
	returned := c.returned
	p.at(c.deadline, func() {
		if c.done || c.sent != sent || c.returned != returned {
			return
		}
		c.done = true
		c.cancel()
		e.service.RecordTimeout(p.clock())
		p.results[c.kind.name].cut++
	})
	t.waiting = append(t.waiting, c)
	p.start(t)
}

func without(list []*call, c *call) []*call {
	var kept []*call
	for _, o := range list {
		if o != c {
			kept = append(kept, o)
		}
	}
	return kept
}

// start runs the requests of the queue that find a free slot.
func (p *player) start(t *target) {
	for len(t.running) < p.slots && len(t.waiting) > 0 {
		c := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running = append(t.running, c)
		work := p.cold
		if t.handled[c.object] {
			work = p.warm
		}
		t.handled[c.object] = true
		p.at(p.now+time.Duration(float64(work)*(0.7+0.6*p.rand.Float64())), func() {
			if c.done {
				return
			}
			c.done = true
			c.cancel()
			c.entry.service.RecordAnswer(p.clock())
			if c.free {
				c.entry.service.RecordWork(c.kind.rule(), c.isWarm, p.now-c.sentAt)
			}
			r := p.results[c.kind.name]
			r.served++
			if p.now-c.first <= objective {
				r.prompt++
			}
		})
	}
}

// refuse tells the caller when to come back.
func (p *player) refuse(c *call, wait time.Duration) {
	r := p.results[c.kind.name]
	if c.returned > 0 {
		r.again++
	}
	left := c.first + c.kind.patience - p.now
	if c.kind.ignores {
		if c.returned < 5 && left > 10*time.Millisecond {
			c.returned++
			p.at(p.now+5*time.Millisecond, func() { p.arrive(c) })
		}
		return
	}
	least := refusal.TargetLoad{}
	for i := range p.targets {
		if l := (refusal.TargetLoad{Load: c.entry.load(i, p.now), Slots: p.slots}); least.Slots == 0 || l.Load < least.Load {
			least = l
		}
	}
	limit := left / 3
	if p.now-c.first < objective/4 {
		limit = min(limit, objective/2)
	}
	delay := refusal.Around(refusal.RetryDelay(least, objective))
	if s := c.entry.service; p.on.returns && s.Short(p.clock()) {
		delay = c.entry.returns.Delay(c.kind.request.Priority, refusal.Shortage{Served: s.ServedRate(p.clock()), Shed: s.ShedFraction(p.clock())}, wait, limit, p.clock())
	}
	// Callers come back once and wait for a third of their time at most.
	if after := min(delay.At(p.rand.Float64()), left/3); c.returned == 0 && left > 0 {
		c.returned++
		if p.rand.IntN(3) > 0 {
			c.entry = p.entries[p.rand.IntN(len(p.entries))]
		}
		p.at(p.now+after, func() { p.arrive(c) })
	}
}
