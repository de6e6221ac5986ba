package hedge_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackspool/internal/steer/hedge"
	"tamarackspool/internal/steer/spend"
)

const (
	playTargets, playSlots, playQueue = 24, 3, 9
	playEntries                       = 6
	playWork                          = 100 * time.Millisecond
	playObjective                     = 600 * time.Millisecond
	playTimeout                       = 3 * time.Second
	playTime                          = 90 * time.Second
	playWarmUp                        = 10 * time.Second
)

// player plays requests on targets with slots and queues, of which some are slow for some time.
type player struct {
	r       *rand.Rand
	now     time.Time
	begin   time.Time
	events  events
	targets [playTargets]playTarget
	entries [playEntries]*playEntry
	share   float64
	factor  time.Duration // factor is how many times longer work takes at a slow target.

	latencies      []time.Duration
	inTime, copies int
	requests       int
}

type playTarget struct {
	running int
	queue   []*playAttempt
	slow    bool
}

type playEntry struct {
	*hedge.Service
	retries  *spend.Budget
	load     [playTargets]int
	loadAt   [playTargets]time.Time
	inflight [playTargets]int
}

type playRequest struct {
	entry    *playEntry
	arrived  time.Time
	attempts []*playAttempt
	done     bool
}

type playAttempt struct {
	request       *playRequest
	target        int
	running, over bool
}

type playEvent struct {
	at time.Time
	do func()
}

type events []playEvent

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(playEvent)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *player) after(d time.Duration, do func()) { heap.Push(&p.events, playEvent{p.now.Add(d), do}) }

// play runs requests at the part of the slots, with the number of targets at which work takes longer by the factor for 5 s at a time.
func play(share, load float64, slow int, factor time.Duration) *player {
	p := &player{r: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), begin: time.Unix(1000, 0), share: share, factor: factor}
	for i := range p.entries {
		p.entries[i] = &playEntry{Service: hedge.New(share), retries: spend.NewBudget(spend.Limits{Ratio: 0.2, Window: 10 * time.Second})}
	}
	rate := load * playTargets * playSlots / playWork.Seconds()
	var arrivals []playArrival
	for at := time.Duration(0); at < playTime; at += time.Duration(p.r.ExpFloat64() / rate * float64(time.Second)) {
		arrivals = append(arrivals, playArrival{at, p.entries[p.r.IntN(playEntries)], p.r.IntN(playTargets)})
	}
	p.arriveNext(arrivals)
	for at := time.Duration(0); at < playTime; at += 5 * time.Second {
		chosen := p.r.Perm(playTargets)[:slow]
		p.after(at, func() {
			for i := range p.targets {
				p.targets[i].slow = slices.Contains(chosen, i)
			}
		})
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do()
	}
	slices.Sort(p.latencies)
	return p
}

type playArrival struct {
	at    time.Duration
	entry *playEntry
	home  int
}

// arriveNext plays the arrivals one after another, so that few events wait at a time.
func (p *player) arriveNext(arrivals []playArrival) {
	if len(arrivals) == 0 {
		return
	}
	a := arrivals[0]
	p.after(p.begin.Add(a.at).Sub(p.now), func() {
		p.arriveNext(arrivals[1:])
		p.arrive(a.entry, a.home)
	})
}

func (p *player) measured(q *playRequest) bool { return q.arrived.Sub(p.begin) >= playWarmUp }

func (e *playEntry) loadOf(i int, now time.Time) int {
	if now.Sub(e.loadAt[i]) < 1500*time.Millisecond {
		return max(e.load[i], e.inflight[i])
	}
	return e.inflight[i]
}

func (p *player) arrive(e *playEntry, home int) {
	q := &playRequest{entry: e, arrived: p.now}
	if p.measured(q) {
		p.requests++
	}
	e.RecordRequest()
	e.retries.RecordRequest(p.now.Sub(p.begin))
	second := (home + 1) % playTargets
	if e.loadOf(home, p.now) >= playSlots && e.loadOf(second, p.now) < e.loadOf(home, p.now) {
		home, second = second, home
	}
	p.send(q, home)
	p.after(playTimeout, func() {
		if !q.done {
			e.RecordShortage(p.now)
			p.finish(q, playTimeout)
		}
	})
	if l, ok := e.Latency("r", p.now); ok && p.share > 0 {
		p.after(l.Delay, func() { p.hedge(q, second, l) })
	}
}

func (p *player) hedge(q *playRequest, to int, l hedge.Latency) {
	if q.done {
		return
	}
	now := p.now.Sub(p.begin)
	x := hedge.Situation{
		FirstSent: true, MaxAttempts: 2, AvailableRetries: q.entry.retries.AvailableRetries(now), Usual: l.Usual,
		Left:      playObjective - p.now.Sub(q.arrived),
		Candidate: hedge.Candidate{Load: q.entry.loadOf(to, p.now), Slots: playSlots, Warm: true},
	}
	if q.entry.Decide(x, p.now) == hedge.Sent && q.entry.Take(p.now) && q.entry.retries.TakeRetry(now) {
		if p.measured(q) {
			p.copies++
		}
		p.send(q, to)
	}
}

func (p *player) send(q *playRequest, to int) {
	t := &p.targets[to]
	a := &playAttempt{request: q, target: to}
	if t.running == playSlots && len(t.queue) == playQueue {
		q.entry.RecordShortage(p.now)
		if len(q.attempts) == 0 {
			p.finish(q, playTimeout)
		}
		return
	}
	q.attempts = append(q.attempts, a)
	q.entry.inflight[to]++
	t.queue = append(t.queue, a)
	p.run(to)
}

// run starts queued attempts on free slots.
func (p *player) run(to int) {
	t := &p.targets[to]
	for t.running < playSlots && len(t.queue) > 0 {
		a := t.queue[0]
		t.queue = t.queue[1:]
		if a.over {
			continue
		}
		a.running = true
		t.running++
		work := playWork/2 + time.Duration(p.r.ExpFloat64()*float64(playWork)/2)
		if t.slow {
			work *= p.factor
		}
		p.after(work, func() { p.answer(a) })
	}
}

func (p *player) answer(a *playAttempt) {
	if a.over {
		return
	}
	t, e, q := &p.targets[a.target], a.request.entry, a.request
	e.load[a.target], e.loadAt[a.target] = t.running+len(t.queue)-1, p.now
	e.RecordLatency("r", p.now.Sub(q.arrived), p.now)
	p.finish(q, p.now.Sub(q.arrived))
}

// finish ends a request; its attempts end too, which frees their slots.
func (p *player) finish(q *playRequest, d time.Duration) {
	q.done = true
	if p.measured(q) {
		p.latencies = append(p.latencies, d)
		if d <= playObjective {
			p.inTime++
		}
	}
	for _, a := range q.attempts {
		a.over = true
		q.entry.inflight[a.target]--
		t := &p.targets[a.target]
		if a.running {
			t.running--
		} else {
			t.queue = slices.DeleteFunc(t.queue, func(o *playAttempt) bool { return o == a })
		}
		p.run(a.target)
	}
}

func (p *player) quantile(x float64) time.Duration {
	return p.latencies[int(x*float64(len(p.latencies)))]
}

// Guards against copies that do not shorten the tail of the latencies while some targets are slow, or are more than their
// part of the requests. Without copies, the 99th percentile of the last load is the timeout, so it cannot be compared.
func TestCopiesShortenTheTail(t *testing.T) {
	for _, c := range []struct {
		load   float64
		slow   int
		factor time.Duration
	}{{0.5, 0, 1}, {0.3, 1, 4}, {0.3, 2, 4}, {0.3, 4, 3}, {0.5, 1, 8}, {0.5, 2, 8}} {
		without := play(0, c.load, c.slow, c.factor)
		for _, share := range []float64{0, 0.02, 0.05, 0.1} {
			p := without
			if share > 0 {
				p = play(share, c.load, c.slow, c.factor)
			}
			t.Logf("load %v, %d targets slow by %d, share %v: %.4f in the objective, p99 %v, p99.9 %v, copies %.4f of %d", c.load, c.slow, c.factor, share,
				float64(p.inTime)/float64(p.requests), p.quantile(0.99).Round(time.Millisecond), p.quantile(0.999).Round(time.Millisecond), float64(p.copies)/float64(p.requests), p.requests)
			if limit := share*float64(p.requests) + 2*playEntries; float64(p.copies) > limit {
				t.Errorf("%d copies, %v are allowed", p.copies, limit)
			}
			if share < 0.05 || c.slow == 0 {
				continue
			}
			if p.inTime <= without.inTime || p.quantile(0.99) > without.quantile(0.99) || without.quantile(0.99) < playTimeout && p.quantile(0.99) == without.quantile(0.99) {
				t.Errorf("no gain with %+v and a share of %v", c, share)
			}
		}
	}
}

// Guards against copies that add to a load beyond the slots.
func TestNoCopiesBeyondTheSlots(t *testing.T) {
	for _, load := range []float64{0.7, 0.9, 1, 1.2, 2} {
		p := play(0.2, load, 0, 1)
		t.Logf("load %v: %d copies of %d requests", load, p.copies, p.requests)
		if load > 1 && p.copies > 0 {
			t.Errorf("load %v: %d copies", load, p.copies)
		}
	}
}
