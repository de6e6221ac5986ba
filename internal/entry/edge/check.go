package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/site/census"
)

const (
	// checkAfter is the age of the store's last word from which targets are asked
	// for their health: one that cools down cannot say so in the store then. It
	// is above the time between two renewals of a lease.
	checkAfter = 1800 * time.Millisecond
	// checkBeyond is how long checks go on after the store's return: the targets
	// have registered again by then.
	checkBeyond = 2 * time.Second
	// checkEvery is the time between the beginnings of two checks of a target: one that turns cold answers
	// a check at once until its slots have filled, which takes a few of these.
	checkEvery = 100 * time.Millisecond
	// mostChecks is the most checks of a target that are not answered; they take up its queue.
	mostChecks = 5
	// checkTick is how often targets are looked through for checks that are due
	// while the store is silent, calmTick how often that is looked at.
	checkTick = 50 * time.Millisecond
	calmTick  = 500 * time.Millisecond
	// checkLimit bounds a check, which waits in the target's queue as a request does.
	checkLimit = time.Second
	// chillSlack is the difference between two words on how long a target is
	// cold from which other entries are told again.
	chillSlack = 500 * time.Millisecond
)

// checks are the health checks by the target's id.
type checks struct {
	mu      sync.Mutex
	due     map[string]time.Time // due is when the next check may begin.
	running map[string]int       // running counts the checks that are not answered.
}

// begin reports whether a check of the target is due, which must then be ended.
func (c *checks) begin(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.due[id]) || c.running[id] >= mostChecks {
		return false
	}
	if c.due == nil {
		c.due, c.running = make(map[string]time.Time), make(map[string]int)
	}
	c.due[id] = now.Add(checkEvery)
	c.running[id]++
	return true
}

// end notes that a check has ended.
func (c *checks) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[id]--; c.running[id] <= 0 {
		delete(c.running, id)
	}
}

// forget drops the times, which are of use only while checks go on.
func (c *checks) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.due)
}

// checkTargets asks the targets that this entry paces for their health while
// the store is silent, so that each is asked by one entry, and tells all
// entries which are cold.
func (e *Edge) checkTargets(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	t := time.NewTimer(calmTick)
	defer t.Stop()
	var until time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if e.follower.Age() >= checkAfter {
				until = now.Add(checkBeyond)
			}
			if now.After(until) {
				e.checks.forget()
				t.Reset(calmTick)
				continue
			}
			e.checkPaced(ctx, now, &running)
			t.Reset(checkTick)
		}
	}
}

// checkPaced begins a check of each target that this entry paces.
func (e *Edge) checkPaced(ctx context.Context, now time.Time, running *sync.WaitGroup) {
	v := e.view.Load()
	if v.book == nil {
		return
	}
	for name, b := range v.seats {
		service, ok := v.book.Service(name)
		if !ok || service.HealthPath == "" {
			continue
		}
		for _, s := range b.seats {
			if s.target.Leaving() || !v.paces(e.s.Name, s, now) || !e.checks.begin(s.target.ID(), now) {
				continue
			}
			running.Go(func() {
				defer e.checks.end(s.target.ID())
				e.check(ctx, s, service.HealthPath)
			})
		}
	}
}

// check asks one target for its health. A check without an answer says
// nothing: requests to the target show themselves whether it runs.
func (e *Edge) check(ctx context.Context, s *seat, path string) {
	bounded, cancel := context.WithTimeout(ctx, checkLimit)
	defer cancel()
	h := make(http.Header)
	e.d.Headers.SetTarget(h, s.target.ID())
	a, err := e.pool.Do(bounded, upstream.Call{
		Address: s.target.Address(), Method: http.MethodGet, Target: path, Host: s.target.Address(), Header: h,
		Claim: func(_ int, h http.Header) upstream.Claim {
			if e.d.Headers.RequestID(h) != "" {
				return upstream.Foreign
			}
			return upstream.Ours
		},
	})
	if err != nil || e.d.Headers.Instance(a.Header) != s.target.ID() {
		return
	}
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
	if left := e.d.Headers.ColdLeft(a.Header); left > 0 {
		if e.chill(s, left, "its health answer says so") {
			e.tell(ctx, coldTarget{ID: s.target.ID(), Born: s.target.Born(), Left: left.Milliseconds()})
		}
		return
	}
	if running, waiting, _, ok := e.d.Headers.Load(a.Header); ok {
		s.gauge.Report(running, waiting, time.Now())
	}
}

// chill notes that a target is cold for the time that is left, and reports whether that is news.
func (e *Edge) chill(s *seat, left time.Duration, reason string) bool {
	now := time.Now()
	until := now.Add(left)
	if known := later(s.coldUntil, s.gauge.ColdUntil()); until.Sub(known) < chillSlack {
		return false
	}
	s.gauge.Chilled(until)
	e.events.Log(event.TargetCold, "target", s.target.ID(), "reason", reason, "for", left, "store-age", e.follower.Age())
	e.cooled(s, now)
	return true
}

// coldTarget is the message that tells other entries of a cold target.
type coldTarget struct {
	ID   string `json:"id"`
	Born int64  `json:"born"` // Born is when the target started, in milliseconds of its own clock.
	Left int64  `json:"left"` // Left is in milliseconds.
}

// tell passes the word on a cold target to all entries that are known, once, and to those whose
// registration lapsed meanwhile; one that misses it hears of the target from the store later.
func (e *Edge) tell(ctx context.Context, c coldTarget) {
	var running sync.WaitGroup
	defer running.Wait()
	v := e.view.Load()
	for _, o := range slices.Concat(v.entries, v.former) {
		if o.Name == e.s.Name {
			continue
		}
		running.Go(func() { e.tellOne(ctx, o, c) })
	}
}

func (e *Edge) tellOne(ctx context.Context, o census.Entry, c coldTarget) {
	bounded, cancel := context.WithTimeout(ctx, checkLimit)
	defer cancel()
	p := &peer{address: o.Peer, dial: e.dialPeer, once: true}
	if err := p.call(bounded, methodCold, c, new(struct{})); err != nil {
		e.events.Log(event.PeerSilent, "error", err, "entry", o.Name, "target", c.ID)
	}
}

// told takes another entry's word on a cold target, unless that has started again since.
func (e *Edge) told(c coldTarget) {
	for _, b := range e.view.Load().seats {
		for _, s := range b.seats {
			if s.target.ID() == c.ID && s.target.Born() == c.Born {
				e.chill(s, time.Duration(c.Left)*time.Millisecond, "another entry says so")
			}
		}
	}
}
