package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/site/book"
	"tamarackspool/internal/steer/placement"
	"tamarackspool/internal/steer/refusal"
)

// cancelling ends a context when the body that it bounds is closed.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// maxUnsent is the most targets that may refuse a connection before a request
// is refused; nothing was sent to them.
const maxUnsent = 3

// noRepeats is the reason of a refusal for which the budget would have to pay one more attempt.
const noRepeats = "repeats are used up"

// attempts sends the request to one target after another until one answers.
func (e *Edge) attempts(ctx context.Context, q *query) *inbound.Answer {
	sent, unsent := 0, 0
	// failure is a target's own failure, which the caller gets when no other target does better.
	var failure func() *inbound.Answer
	giveUp := func(reason string) *inbound.Answer {
		if failure != nil {
			return failure()
		}
		return e.refuse(q, reason, e.comeBack(q))
	}
	for {
		s := e.choose(q, time.Now())
		if s == nil {
			return giveUp("no target has room")
		}
		if sent > 0 && (e.stalled() || e.budget(q.service).Left(e.d.Uptime()) == 0) {
			e.repeated(q, s, false, sent, unsent)
			return giveUp(noRepeats)
		}
		q.tried = append(q.tried, s)
		a, f := e.send(ctx, q, s, sent, unsent)
		switch {
		case f == nil && !e.d.Headers.NotRun(a.Status, a.Header):
			if !e.worthAnother(q, a) {
				return e.deliver(q, s, a)
			}
			failure = func() *inbound.Answer { return e.deliver(q, s, a) }
			sent++
		case f == nil:
			e.shed(q, s, a)
			sent++
		case f.Kind() == upstream.Withheld:
			return giveUp(noRepeats)
		case f.Kind() == upstream.Cancelled && failure == nil:
			return e.ended(ctx, q, s)
		case f.Kind() == upstream.Cancelled:
			return failure()
		case f.Sent():
			sent++
			e.failed(q, s, f)
			q.ran = true
			if q.rule.Kind() != book.Safe {
				e.events.Log(event.RequestFailed, "id", q.id, "target", s.target.ID(), "kind", f.Kind(), "after", time.Since(q.Arrived))
				e.meters.ended(q, outcomeFailed)
				return inbound.Refusal(http.StatusBadGateway)
			}
		default:
			unsent++
			e.failed(q, s, f)
		}
		if sent >= q.rule.Attempts() || unsent >= maxUnsent {
			return giveUp("attempts are used up")
		}
	}
}

// mayBegin reports whether a request may go out to the target: for the first time, or as a
// repeat that the budget pays for.
func (e *Edge) mayBegin(q *query, s *seat, sent, unsent int) bool {
	if sent+unsent == 0 {
		return true
	}
	allowed := sent == 0 || !e.stalled() && e.budget(q.service).Take(e.d.Uptime())
	e.repeated(q, s, allowed, sent, unsent)
	return allowed
}

func (e *Edge) repeated(q *query, s *seat, allowed bool, sent, unsent int) {
	e.events.Log(event.RequestRepeated, "id", q.id, "target", s.target.ID(), "service", q.service, "allowed", allowed, "sent", sent, "unsent", unsent,
		"left", e.budget(q.service).Left(e.d.Uptime()), "after", time.Since(q.Arrived))
	if allowed {
		e.meters.service(q.service).repeats.Inc(1)
	}
}

// worthAnother reports whether another target may do better than an answer:
// a read that failed at its target, with enough time left for one more run.
func (e *Edge) worthAnother(q *query, a *upstream.Answer) bool {
	return q.rule.Kind() == book.Safe && a.Status >= http.StatusInternalServerError && a.Rest == nil &&
		time.Until(q.deadline) > q.rule.Objective()
}

// comeBack returns when a caller that is refused may find room.
func (e *Edge) comeBack(q *query) time.Duration {
	v, now := e.view.Load(), time.Now()
	var best refusal.Room
	if b := v.seats[q.service]; b != nil {
		for _, s := range b.seats {
			r := refusal.Room{Load: s.gauge.Load(now), Slots: s.target.Slots()}
			if !e.eligible(v, q, s) || v.cold(s, now) {
				continue
			}
			if best.Slots == 0 || r.Load*best.Slots < best.Load*r.Slots {
				best = r
			}
		}
	}
	return refusal.After(best, q.rule.Objective())
}

func (e *Edge) failed(q *query, s *seat, f *upstream.Failure) {
	now := time.Now()
	until := s.gauge.Failed(now)
	s.gauge.Broke(now)
	e.pool.Forget(s.target.Address())
	e.events.Log(event.TargetResting, "id", q.id, "target", s.target.ID(), "kind", f.Kind(), "sent", f.Sent(), "opened", f.Opened(), "error", f.Unwrap(), "for", until.Sub(now))
}

// shed notes what an answer says that proves the request not run.
func (e *Edge) shed(q *query, s *seat, a *upstream.Answer) {
	now := time.Now()
	running, waiting, _, _ := e.d.Headers.Load(a.Header)
	e.events.Log(event.RequestShed, "id", q.id, "target", s.target.ID(), "status", a.Status, "running", running, "waiting", waiting,
		"slots", s.target.Slots(), "opened", a.Opened, "after", time.Since(q.Arrived))
	if a.Status == http.StatusMisdirectedRequest {
		// Another target has the address: this one has ended.
		s.gauge.Failed(now)
		s.gauge.Broke(now)
		return
	}
	s.gauge.Shed(now)
}

// ended answers a request whose time has passed or whose caller has left.
func (e *Edge) ended(ctx context.Context, q *query, s *seat) *inbound.Answer {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.events.Log(event.CallerLeft, "id", q.id, "target", s.target.ID(), "after", time.Since(q.Arrived))
		e.meters.ended(q, outcomeLeft)
		return nil
	}
	e.events.Log(event.RequestTimedOut, "id", q.id, "target", s.target.ID(), "after", time.Since(q.Arrived))
	if now := time.Now(); now.Sub(q.sent) > q.rule.Objective() {
		if until, slow := s.gauge.Overdue(now); slow {
			e.events.Log(event.TargetSlow, "id", q.id, "target", s.target.ID(), "waited", now.Sub(q.sent), "objective", q.rule.Objective(), "for", until.Sub(now))
		}
	}
	e.meters.ended(q, outcomeTimedOut)
	return inbound.Refusal(http.StatusGatewayTimeout)
}

// send sends the request to the target of a seat.
func (e *Edge) send(ctx context.Context, q *query, s *seat, sent, unsent int) (*upstream.Answer, *upstream.Failure) {
	h := inbound.Forwarded(q.Header)
	e.d.Headers.SetDeadline(h, time.Until(q.deadline))
	e.d.Headers.SetTarget(h, s.target.ID())
	e.events.Log(event.RequestPlaced, "id", q.id, "target", s.target.ID(), "zone", s.target.Zone(), "service", q.service, "rule", q.rule.Name(),
		"object", q.object, "earlier", sent, "home", q.home, "first-load", q.first, "load", s.gauge.Load(time.Now()), "slots", s.target.Slots(), "waited", time.Since(q.Arrived), "revision", s.revision)
	e.memory.Note(q.key, s.mark, time.Now())
	q.sent = time.Now()
	s.gauge.Begin()
	defer s.gauge.End()
	a, err := e.pool.Do(ctx, upstream.Call{
		Address: s.target.Address(), Method: q.Method, Target: q.Target, Host: q.Host, Header: h, Body: q.Body,
		Framed: q.Method != http.MethodGet && q.Method != http.MethodHead, Once: q.rule.Kind() != book.Safe,
		Begin: func() bool { return e.mayBegin(q, s, sent, unsent) },
		Claim: func(status int, h http.Header) upstream.Claim { return e.claim(q, status, h) },
	})
	if err != nil {
		var f *upstream.Failure
		errors.As(err, &f)
		return nil, f
	}
	if running, waiting, _, ok := e.d.Headers.Load(a.Header); ok {
		s.gauge.Report(running, waiting, time.Now())
	}
	return a, nil
}

// claim says what an answer is to the request. A success must name the request
// and be the target's own; a failure must not name another.
func (e *Edge) claim(q *query, status int, h http.Header) upstream.Claim {
	id := e.d.Headers.RequestID(h)
	success := status < http.StatusMultipleChoices
	switch {
	case id != q.id && (id != "" || success):
		return upstream.Foreign
	case success && (!e.d.Headers.Stamped(h) || h.Get("Content-Encoding") != ""):
		return upstream.Spoiled
	default:
		return upstream.Ours
	}
}

// promises reports whether callers take the status for a promise that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver hands a target's answer to the caller.
func (e *Edge) deliver(q *query, s *seat, a *upstream.Answer) *inbound.Answer {
	s.gauge.Answered(time.Since(q.sent) <= q.rule.Objective())
	if promises(a.Status) && q.rule.Kind() != book.Safe {
		// The target does not prove what the status would promise.
		if a.Rest != nil {
			_ = a.Rest.Close()
		}
		e.events.Log(event.RequestFailed, "id", q.id, "target", s.target.ID(), "status", a.Status, "after", time.Since(q.Arrived))
		e.meters.ended(q, outcomeFailed)
		return inbound.Refusal(http.StatusBadGateway)
	}
	running, waiting, _, _ := e.d.Headers.Load(a.Header)
	e.events.Log(event.RequestAnswered, "id", q.id, "target", s.target.ID(), "status", a.Status, "after", time.Since(q.Arrived),
		"running", running, "waiting", waiting, "slots", s.target.Slots(), "opened", a.Opened)
	e.meters.ended(q, outcomeAnswered)
	return &inbound.Answer{
		Status: a.Status, Header: a.Header, Body: a.Body, Rest: a.Rest, Length: a.Length,
		Cut: func(err error) {
			e.events.Log(event.AnswerCut, "id", q.id, "target", s.target.ID(), "error", err, "after", time.Since(q.Arrived))
		},
	}
}

// choose returns the target for the next attempt, or nil when none may get the request.
func (e *Edge) choose(q *query, now time.Time) *seat {
	v := e.view.Load()
	b := v.seats[q.service]
	if b == nil {
		return nil
	}
	weights := b.light
	if q.rule.Kind() == book.Upload {
		weights = b.heavy
	}
	pick := func(allowed func(s *seat) bool) *seat {
		order := placement.Order(q.key, len(b.seats), func(i int) uint64 { return b.seats[i].mark }, func(i int) float64 {
			if !e.allowed(v, q, b.seats[i]) || !allowed(b.seats[i]) {
				return 0
			}
			return weights[i]
		})
		return e.uncrowded(q, b.seats, order, now)
	}
	if s := pick(func(s *seat) bool { return !v.cold(s, now) && !s.gauge.Resting(now) }); s != nil {
		return s
	}
	if s := pick(func(s *seat) bool { return !v.cold(s, now) }); s != nil {
		return s
	}
	return e.chooseCold(v, q, b.seats, now)
}

// uncrowded returns the seat among an object's homes that the request goes to.
func (e *Edge) uncrowded(q *query, seats []*seat, order [placement.Homes]int, now time.Time) *seat {
	var homes [placement.Homes]placement.Home
	n := 0
	for _, i := range order {
		if i < 0 {
			break
		}
		s := seats[i]
		homes[n] = placement.Home{Load: s.gauge.Load(now), Slots: s.target.Slots(), Warm: e.memory.Knows(q.key, s.mark, now), Slow: s.gauge.Slow(now)}
		n++
	}
	if n == 0 {
		return nil
	}
	picked := placement.Pick(homes[:n])
	q.home, q.first = picked, homes[0].Load
	return seats[order[picked]]
}

// chooseCold returns a cold target whose rate allows one more request from this entry.
func (e *Edge) chooseCold(v *view, q *query, seats []*seat, now time.Time) *seat {
	service, ok := v.book.Service(q.service)
	if !ok {
		return nil
	}
	for _, s := range seats {
		if e.allowed(v, q, s) && v.paces(e.s.Name, s, now) && s.pacer.Take(service.ColdRate, now) {
			return s
		}
	}
	return nil
}

// allowed reports whether the target may get the request and has not had it.
func (e *Edge) allowed(v *view, q *query, s *seat) bool {
	return e.eligible(v, q, s) && !slices.ContainsFunc(q.tried, func(o *seat) bool { return o.gauge == s.gauge })
}

// eligible reports whether requests like this one may go to the target.
func (e *Edge) eligible(v *view, q *query, s *seat) bool {
	if s.target.Leaving() || v.closed[s.target.Zone()] || !s.lapsed.IsZero() && time.Now().After(s.lapsed) {
		return false
	}
	homes := q.rule.Homes()
	return len(homes) == 0 || slices.Contains(homes, s.target.Region())
}

// cold reports whether a target is or may be cold: it said so, or it may have
// ended since its registration was last read and runs again.
func (v *view) cold(s *seat, now time.Time) bool {
	if now.Before(s.coldUntil) || now.Before(s.gauge.ColdUntil()) {
		return true
	}
	broken := s.gauge.Broken()
	if broken.IsZero() || broken.Before(s.confirmed) || v.book == nil {
		return false
	}
	f, _ := v.book.Service(s.target.Service())
	return now.Sub(broken) < f.Cold
}
