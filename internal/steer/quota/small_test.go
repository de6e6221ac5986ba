package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackspool/internal/steer/quota"
)

// play is a simulation of one account in time: owners of each region, holders, and calls with the delays of the links.
type play struct {
	now     time.Duration
	events  eventQueue
	limit   quota.Limit
	life    time.Duration
	owners  []quota.Member
	buckets []*quota.Owner
	holders []*playHolder

	admitted, refused, slow, calls int
}

type playHolder struct {
	*quota.Holder
	region  int
	flying  bool
	waiting []*playRequest
}

type playRequest struct {
	came time.Duration
	done func(waited time.Duration, admitted bool, after time.Duration)
}

type playEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []playEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(playEvent)) }
func (q *eventQueue) Pop() any {
	l := *q
	last := l[len(l)-1]
	*q = l[:len(l)-1]
	return last
}

func (p *play) after(d time.Duration, run func()) { heap.Push(&p.events, playEvent{p.now + d, run}) }

func (p *play) run(until time.Duration) {
	for len(p.events) > 0 && p.events[0].at <= until {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.run()
	}
	p.now = until
}

// newPlay returns the simulation of an account with holders in the given regions.
func newPlay(limit quota.Limit, regions int, holders []int) *play {
	const start = 1000 * time.Second
	p := &play{now: start, limit: limit, life: customer.Lifetime(limit)}
	for r := range regions {
		p.owners = append(p.owners, quota.Member{Name: fmt.Sprint("o", r), Region: fmt.Sprint("r", r)})
		p.buckets = append(p.buckets, quota.NewOwner(customer.Widen(limit), regions, start-10*time.Second))
	}
	for _, r := range holders {
		p.holders = append(p.holders, &playHolder{Holder: quota.NewHolder(), region: r})
	}
	return p
}

func (h *playHolder) order(p *play) []quota.Member {
	return append(append([]quota.Member(nil), p.owners[h.region:]...), p.owners[:h.region]...)
}

// request is a request of the account at a holder.
func (p *play) request(h *playHolder, done func(waited time.Duration, admitted bool, after time.Duration)) {
	h.RecordRequest(p.now)
	h.waiting = append(h.waiting, &playRequest{p.now, done})
	p.settle(h)
	p.fly(h)
	p.refuse(h)
}

// settle gives tokens to the waiting requests.
func (p *play) settle(h *playHolder) {
	for len(h.waiting) > 0 {
		if _, ok := h.Spend(p.now); !ok {
			return
		}
		r := h.waiting[0]
		h.waiting = h.waiting[1:]
		p.admitted++
		if p.now-r.came > 20*time.Millisecond {
			p.slow++
		}
		r.done(p.now-r.came, true, 0)
	}
}

func (p *play) refuse(h *playHolder) {
	if h.flying {
		return
	}
	for _, r := range h.waiting {
		wait, _ := h.Refuse(h.order(p), p.limit.Rate, p.now)
		p.refused++
		r.done(p.now-r.came, false, wait)
	}
	h.waiting = nil
}

func neverSilent(quota.Member) bool { return false }

func (p *play) fly(h *playHolder) {
	if h.flying {
		return
	}
	h.flying = true
	p.step(h)
}

func (p *play) step(h *playHolder) {
	order := h.order(p)
	want := h.Want(len(h.waiting), p.life, p.now)
	i := h.Next(order, neverSilent, p.now)
	if want == 0 || i < 0 {
		h.flying = false
		p.refuse(h)
		return
	}
	began, waiting := p.now, len(h.waiting)
	oneWay := 2 * time.Millisecond
	if i > 0 {
		oneWay = 35 * time.Millisecond
	}
	p.calls++
	p.after(oneWay, func() {
		granted, wait := p.buckets[(h.region+i)%len(p.buckets)].Grant(want, waiting, p.now)
		p.after(oneWay, func() {
			h.RecordAnswer(order[i], want, granted, began+p.life, wait, p.now)
			p.settle(h)
			p.step(h)
		})
	})
}

// poisson lets requests arrive at the holders with the given total rate until the time has passed.
func (p *play) poisson(r *rand.Rand, rate float64, d time.Duration) {
	end := p.now + d
	var next func()
	next = func() {
		if p.now >= end {
			return
		}
		p.request(p.holders[r.IntN(len(p.holders))], func(time.Duration, bool, time.Duration) {})
		p.after(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.after(0, next)
	p.run(end + 2*time.Second)
}

// Guards against requests within the quota of a small account that are refused, or that wait for owners in other regions, because
// the tokens of the owners and of the other holders cannot be used: each of the three entries that a caller uses sees less than
// one request a second.
func TestSmallAccountGetsItsQuota(t *testing.T) {
	for _, limit := range []quota.Limit{{Rate: 3, Burst: 3}, {Rate: 6, Burst: 6}, {Rate: 20, Burst: 20}, {Rate: 700, Burst: 700}} {
		for _, holders := range [][]int{{0, 0, 0}, {0, 1, 2}, {0, 0, 1}} {
			p := newPlay(limit, 3, holders)
			p.poisson(rand.New(rand.NewPCG(1, 2)), limit.Rate/1.6, 200*time.Second)
			all := p.admitted + p.refused
			if p.refused*100 > all || p.slow*100 > 15*all || p.calls > 2*all {
				t.Errorf("limit %+v, holders in regions %v: %d of %d requests refused, %d waited for another region, %d calls", limit, holders, p.refused, all, p.slow, p.calls)
			}
		}
	}
}

// Guards against an account beyond its rate that gets less than its rate, that costs calls with each refused request, or whose
// callers are told to return when there is no token.
func TestExhaustedAccountGetsItsRate(t *testing.T) {
	for _, limit := range []quota.Limit{{Rate: 3, Burst: 3}, {Rate: 20, Burst: 20}, {Rate: 700, Burst: 700}} {
		const d = 100 * time.Second
		holders := []int{0, 0, 0}
		p := newPlay(limit, 3, holders)
		p.poisson(rand.New(rand.NewPCG(3, 4)), 8*limit.Rate, d)
		granted := customer.Widen(limit)
		least, most := 0.9*granted.Rate*d.Seconds(), granted.Rate*(d+3*time.Second).Seconds()+granted.Burst
		if n := float64(p.admitted); n < least || n > most {
			t.Errorf("limit %+v: %v requests admitted, want %v to %v", limit, n, least, most)
		}
		if perSecond := float64(p.calls) / d.Seconds() / float64(len(holders)); perSecond > 20 {
			t.Errorf("limit %+v: %.1f calls a second for each holder", limit, perSecond)
		}
	}
}

// Guards against callers that return at the time that they were told and are refused again: ten times as many as the bucket holds
// come at once.
func TestCallersReturnWhenThereAreTokens(t *testing.T) {
	limit := quota.Limit{Rate: 10, Burst: 10}
	p := newPlay(limit, 3, []int{0, 1, 2})
	again, served := 0, 0
	var attempt func(h *playHolder, attempts int)
	attempt = func(h *playHolder, attempts int) {
		p.request(h, func(_ time.Duration, admitted bool, after time.Duration) {
			switch {
			case admitted:
				served++
			case attempts < 20:
				again++
				p.after(after, func() { attempt(h, attempts+1) })
			}
		})
	}
	const callers = 60
	for i := range callers {
		p.after(time.Duration(i)*time.Millisecond, func() { attempt(p.holders[i%3], 0) })
	}
	p.run(p.now + 20*time.Second)
	if served != callers || again > 3*callers {
		t.Errorf("%d of %d callers were served after %d refusals", served, callers, again)
	}
}
