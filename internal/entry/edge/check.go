package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/site/census"
)

const (
	// checkThreshold is the time without an answer from the store after which health checks of the targets
	// start: a target that turns cold cannot report it through the store then. It
	// is above the time between two lease renewals.
	checkThreshold = 1800 * time.Millisecond
	// checkLinger is how long health checks continue after the store's recovery: the targets
	// have registered again by then.
	checkLinger = 2 * time.Second
	// checkInterval is the time between the starts of two checks of a target: a target that turns cold answers
	// a check at once until its slots are full, which takes a few intervals.
	checkInterval = 100 * time.Millisecond
	// maxPendingChecks bounds the unanswered checks of a target, which take up its queue.
	maxPendingChecks = 5
	// activeCheckTick is the time between searches for due checks while the store does not answer;
	// idleCheckTick is the time between tests of whether it answers.
	activeCheckTick = 50 * time.Millisecond
	idleCheckTick   = 500 * time.Millisecond
	// checkTimeout bounds a check, which waits in the target's queue as a request does, and a message to another entry.
	checkTimeout = time.Second
	// coldTolerance is how much later than known a target must turn warm for the
	// new time to be applied and sent to the other entries.
	coldTolerance = 500 * time.Millisecond
)

// healthChecks schedules the health checks of targets by target id; it is safe for concurrent use.
type healthChecks struct {
	mu        sync.Mutex
	nextCheck map[string]time.Time // nextCheck is the earliest start of the next check.
	pending   map[string]int       // pending counts the unanswered checks.
}

// tryBegin reports whether a check of the target is due; if so, the caller must call end after it.
func (c *healthChecks) tryBegin(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.nextCheck[id]) || c.pending[id] >= maxPendingChecks {
		return false
	}
	if c.nextCheck == nil {
		c.nextCheck, c.pending = make(map[string]time.Time), make(map[string]int)
	}
	c.nextCheck[id] = now.Add(checkInterval)
	c.pending[id]++
	return true
}

// end records that a check has ended.
func (c *healthChecks) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[id]--; c.pending[id] <= 0 {
		delete(c.pending, id)
	}
}

// clearSchedule drops the start times, which are needed only while checks are active.
func (c *healthChecks) clearSchedule() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.nextCheck)
}

// runHealthChecks checks the health of the targets that this entry paces while
// the store does not answer, so that one entry checks each target, and tells
// the other entries which are cold.
func (e *Edge) runHealthChecks(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	t := time.NewTimer(idleCheckTick)
	defer t.Stop()
	var until time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if e.follower.Age() >= checkThreshold {
				until = now.Add(checkLinger)
			}
			if now.After(until) {
				e.healthChecks.clearSchedule()
				t.Reset(idleCheckTick)
				continue
			}
			e.checkPacedTargets(ctx, now, &running)
			t.Reset(activeCheckTick)
		}
	}
}

// checkPacedTargets starts the due checks of the targets that this entry paces.
func (e *Edge) checkPacedTargets(ctx context.Context, now time.Time, running *sync.WaitGroup) {
	v := e.view.Load()
	if v.book == nil {
		return
	}
	for name, b := range v.services {
		service, ok := v.book.Service(name)
		if !ok || service.HealthPath == "" {
			continue
		}
		for _, s := range b.targets {
			if s.target.Leaving() || !s.notice.AcceptsRequests(now) || !e.mayPace(v, s, now) || !e.healthChecks.tryBegin(s.target.ID(), now) {
				continue
			}
			running.Go(func() {
				defer e.healthChecks.end(s.target.ID())
				e.checkTarget(ctx, s, service.HealthPath)
			})
		}
	}
}

// checkTarget makes one health check. A check without a valid answer is ignored:
// the requests to the target show whether it runs.
func (e *Edge) checkTarget(ctx context.Context, s *targetState, path string) {
	bounded, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	h := make(http.Header)
	e.deps.Headers.SetTarget(h, s.target.ID())
	a, err := e.pool.Do(bounded, upstream.Call{
		Address: s.target.Address(), Method: http.MethodGet, Target: path, Host: s.target.Address(), Header: h,
		BeforeSend: func() bool { return s.notice.AcceptsRequests(time.Now()) },
		Classify: func(status int, h http.Header) upstream.AnswerClass {
			if e.deps.Headers.RequestID(h) != "" {
				return upstream.OtherRequest
			}
			e.noteAnnouncements("", s, status, h)
			if status >= http.StatusMultipleChoices {
				return upstream.Unidentified
			}
			return upstream.Matching // A second copy names no request, and a request's success must name its own.
		},
	})
	if err != nil {
		if f, ok := errors.AsType[*upstream.Failure](err); ok && f.Kind() == upstream.InvalidAnswer {
			e.events.Log(event.CheckInvalid, "target", s.target.ID(), "error", f.Unwrap())
		}
		return
	}
	a.Discard()
	if e.deps.Headers.TargetInstance(a.Header) != s.target.ID() {
		return
	}
	if left := e.deps.Headers.ColdLeft(a.Header); left > 0 {
		if e.markCold(s, left, "its health check reports it") {
			e.broadcastCold(ctx, coldTarget{ID: s.target.ID(), Born: s.target.StartedMillis(), Left: left.Milliseconds()})
		}
		return
	}
	if load, ok := e.deps.Headers.TargetLoad(a.Header); ok {
		s.gauge.RecordLoad(load.Running, load.Waiting, time.Now())
	}
}

// markCold marks a target as cold for the remaining time and reports whether that extends the known time
// by at least coldTolerance.
func (e *Edge) markCold(s *targetState, left time.Duration, reason string) bool {
	now := time.Now()
	until := now.Add(left)
	if known := later(s.coldUntil, s.gauge.ColdUntil()); until.Sub(known) < coldTolerance {
		return false
	}
	s.gauge.RecordCold(until)
	e.events.Log(event.TargetCold, "target", s.target.ID(), "reason", reason, "for", left, "store-age", e.follower.Age())
	e.coolZone(s, now)
	return true
}

// coldTarget is the message that informs other entries of a cold target.
type coldTarget struct {
	ID   string `json:"id"`
	Born int64  `json:"born"` // Born is the target's start time, in milliseconds of its own clock.
	Left int64  `json:"left"` // Left is the remaining cold time in milliseconds.
}

// broadcastCold sends one message about a cold target to each known entry and to each former one, whose
// registration may have lapsed meanwhile. An entry that misses it learns of the target from the store later.
func (e *Edge) broadcastCold(ctx context.Context, c coldTarget) {
	var running sync.WaitGroup
	defer running.Wait()
	v := e.view.Load()
	for _, o := range slices.Concat(v.entries, v.formerEntries) {
		if o.Name == e.settings.Name {
			continue
		}
		running.Go(func() { e.sendCold(ctx, o, c) })
	}
}

func (e *Edge) sendCold(ctx context.Context, o census.Entry, c coldTarget) {
	bounded, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	p := &peer{address: o.Peer, dial: e.dialPeer, closeAfterCall: true}
	if err := p.call(bounded, methodCold, c, new(struct{})); err != nil {
		e.events.Log(event.PeerSilent, "error", err, "entry", o.Name, "target", c.ID)
	}
}

// receiveCold applies another entry's message about a cold target, unless the target has restarted since.
func (e *Edge) receiveCold(c coldTarget) {
	for _, b := range e.view.Load().services {
		for _, s := range b.targets {
			if s.target.ID() == c.ID && s.target.StartedMillis() == c.Born {
				e.markCold(s, time.Duration(c.Left)*time.Millisecond, "another entry reports it")
			}
		}
	}
}
