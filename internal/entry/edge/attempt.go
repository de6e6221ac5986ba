package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/steer/refusal"
)

// cancelOnClose is a response body that cancels the request's context when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// maxUnsentAttempts is the number of attempts that fail before anything was sent,
// such as refused connections, after which a request is refused.
const maxUnsentAttempts = 3

// withheld is the reason of a refusal when an attempt was not admitted at the moment of sending.
const withheld = "the retry budget is exhausted, or the target is cold and no longer paced by this entry"

// retryBudgetExhausted is the reason of a refusal when the retry budget does not allow another attempt.
const retryBudgetExhausted = "the retry budget is exhausted"

// allPaused is the reason of a refusal when the allowed targets want no requests for some time.
const allPaused = "every target has asked for a pause"

// forward sends the request to one target after another until one answers or no further attempt is allowed.
func (e *Edge) forward(ctx context.Context, q *requestState) *inbound.Answer {
	sent, unsent := 0, 0
	// failure delivers a target's error response, which the caller gets unless a later attempt does better.
	var failure func() *inbound.Answer
	giveUp := func(reason string) *inbound.Answer {
		if failure != nil {
			return failure()
		}
		delay, paused := e.refusalDelay(q, time.Now())
		if paused {
			reason = allPaused
		}
		return e.refuse(q, reason, delay)
	}
	if refused := e.admitRequest(q, time.Now()); refused != nil {
		return refused
	}
	for {
		s := e.chooseTarget(q, time.Now())
		if s == nil {
			return giveUp("no target has capacity")
		}
		if s = e.placeInTime(q, s, time.Now()); s == nil {
			return giveUp(lateEverywhere)
		}
		if sent > 0 {
			if reason := e.retryWithheld(q); reason != "" {
				e.noteRetry(q, s, false, sent, unsent)
				return giveUp(reason)
			}
		}
		q.triedTargets = append(q.triedTargets, s)
		s, a, f := e.sendHedged(ctx, q, s, &sent, &unsent)
		switch {
		case f == nil && !e.deps.Headers.ProvesNotRun(a.Status, a.Header):
			if !e.shouldRetryAnswer(q, a) {
				return e.deliver(q, s, a)
			}
			failure = func() *inbound.Answer { return e.deliver(q, s, a) }
			sent++
		case f == nil:
			a.Discard()
			e.noteShed(q, s, a)
			q.proofs++
			sent++
		case f.Kind() == upstream.Withheld && q.withheldByNotice:
			q.withheldByNotice = false
			continue // Another target may take it; nothing was sent.
		case f.Kind() == upstream.Withheld && q.keys.takeChanged():
			q.triedTargets = q.triedTargets[:len(q.triedTargets)-1]
			continue // The attempt is made anew under the account of the version in force.
		case f.Kind() == upstream.Withheld && q.keys.blocked:
			return e.finishBlocked(q, sent, giveUp)
		case f.Kind() == upstream.Withheld && q.token.missing:
			return giveUp(tokenExpired)
		case f.Kind() == upstream.Withheld:
			return giveUp(withheld)
		case f.Kind() == upstream.Cancelled && failure == nil:
			return e.finishCancelled(ctx, q, s)
		case f.Kind() == upstream.Cancelled:
			return failure()
		case f.Sent():
			sent++
			e.noteFailure(q, s, f)
			q.mayHaveRun = true
			if !q.rule.Kind().Repeatable() {
				e.events.Log(event.RequestFailed, "id", q.id, "target", s.target.ID(), "kind", f.Kind(), "after", time.Since(q.Arrived))
				e.meters.countOutcome(q, outcomeFailed)
				return inbound.EmptyAnswer(http.StatusBadGateway)
			}
		default:
			unsent++
			e.noteFailure(q, s, f)
		}
		if sent >= q.rule.MaxAttempts() || unsent >= maxUnsentAttempts {
			return giveUp("the attempts are exhausted")
		}
	}
}

// admitAttempt reports whether an attempt may be sent to the target, just before its first byte: only while the target
// wants requests, to a cold one only while this entry still paces it, and a retry only when the retry budget pays for it.
func (e *Edge) admitAttempt(q *requestState, s *targetState, sent, unsent int) bool {
	if !s.notice.AcceptsRequests(time.Now()) {
		q.withheldByNotice = true
		e.meters.withheld.Inc(1)
		return false
	}
	if q.paced && !e.mayPace(e.view.Load(), s, time.Now()) {
		return false
	}
	if sent+unsent == 0 {
		return true
	}
	allowed := sent == 0 || e.takeRetry(q)
	e.noteRetry(q, s, allowed, sent, unsent)
	return allowed
}

func (e *Edge) noteRetry(q *requestState, s *targetState, allowed bool, sent, unsent int) {
	e.events.Log(event.RequestRepeated, "id", q.id, "target", s.target.ID(), "service", q.service, "allowed", allowed, "sent", sent, "unsent", unsent,
		"left", e.retryBudget(q.service).AvailableRetries(e.deps.Uptime()), "after", time.Since(q.Arrived))
	if allowed {
		e.meters.service(q.service).retries.Inc(1)
	}
}

// shouldRetryAnswer reports whether another target may do better than this answer:
// a safe request that got a server error and has enough time left for another attempt.
func (e *Edge) shouldRetryAnswer(q *requestState, a *upstream.Answer) bool {
	return q.rule.Kind().Repeatable() && a.Status >= http.StatusInternalServerError && a.BodyRest == nil &&
		time.Until(q.deadline) > q.rule.LatencyObjective()
}

// refusalDelay returns the delay after which a refused caller may find free capacity, and whether that follows from the
// pauses of all the targets that the request may go to.
func (e *Edge) refusalDelay(q *requestState, now time.Time) (delay refusal.Delay, paused bool) {
	v := e.view.Load()
	var leastLoaded refusal.TargetLoad
	var firstEnd time.Time
	if b := v.services[q.service]; b != nil {
		for _, s := range b.targets {
			r := refusal.TargetLoad{Load: s.gauge.Load(now), Slots: s.target.Slots()}
			if !e.eligible(v, q, s) || v.isCold(s, now) {
				continue
			}
			if until, paused := s.notice.PausedUntil(now); paused {
				if firstEnd.IsZero() || until.Before(firstEnd) {
					firstEnd = until
				}
				continue
			}
			if leastLoaded.Slots == 0 || r.Load*leastLoaded.Slots < leastLoaded.Load*r.Slots {
				leastLoaded = r
			}
		}
	}
	if leastLoaded.Slots == 0 && !firstEnd.IsZero() {
		return refusal.AfterPause(firstEnd.Sub(now)), true
	}
	return e.orderReturn(q, refusal.Around(refusal.RetryDelay(leastLoaded, q.rule.LatencyObjective())), now), false
}

func (e *Edge) noteFailure(q *requestState, s *targetState, f *upstream.Failure) {
	now := time.Now()
	until := s.gauge.RecordFailure(now)
	s.gauge.RecordPossibleExit(now)
	e.pool.CloseIdle(s.target.Address())
	e.events.Log(event.TargetResting, "id", q.id, "target", s.target.ID(), "kind", f.Kind(), "sent", f.Sent(), "opened", f.ConnectTime(), "error", f.Unwrap(), "for", until.Sub(now))
}

// noteShed records an answer by which a target proves that it has not run the request.
func (e *Edge) noteShed(q *requestState, s *targetState, a *upstream.Answer) {
	now := time.Now()
	load, _ := e.deps.Headers.TargetLoad(a.Header)
	e.events.Log(event.RequestShed, "id", q.id, "target", s.target.ID(), "status", a.Status, "running", load.Running, "waiting", load.Waiting,
		"slots", s.target.Slots(), "opened", a.ConnectTime, "named", a.Named, "carried", a.Earlier, "whole", a.SentWhole, "after", time.Since(q.Arrived))
	e.meters.countProof(a)
	if a.Status == http.StatusMisdirectedRequest {
		// Another target answers at the address: this one has terminated.
		s.gauge.RecordFailure(now)
		s.gauge.RecordPossibleExit(now)
		return
	}
	s.gauge.RecordShed(now)
	e.hedges.noteShortage(q.service)
	q.noteRejected(load.Waiting >= fullQueue*s.target.Slots())
}

// finishCancelled answers a request whose deadline has passed, or returns nil when the caller has disconnected.
func (e *Edge) finishCancelled(ctx context.Context, q *requestState, s *targetState) *inbound.Answer {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.events.Log(event.CallerLeft, "id", q.id, "target", s.target.ID(), "after", time.Since(q.Arrived))
		e.meters.countOutcome(q, outcomeCallerLeft)
		return nil
	}
	e.events.Log(event.RequestTimedOut, "id", q.id, "target", s.target.ID(), "after", time.Since(q.Arrived))
	if now := time.Now(); now.Sub(q.lastSent) > q.rule.LatencyObjective() {
		if until, slow := s.gauge.RecordTimeout(now); slow {
			e.events.Log(event.TargetSlow, "id", q.id, "target", s.target.ID(), "waited", now.Sub(q.lastSent), "objective", q.rule.LatencyObjective(), "for", until.Sub(now))
		}
	}
	e.hedges.noteShortage(q.service)
	q.noteAttempt(func(s *admittedService, now time.Time) { s.RecordTimeout(now) })
	e.meters.countOutcome(q, outcomeTimedOut)
	return inbound.EmptyAnswer(http.StatusGatewayTimeout)
}

// sendAttempt makes one attempt at the target.
func (e *Edge) sendAttempt(ctx context.Context, q *requestState, s *targetState, sent, unsent int) (*upstream.Answer, *upstream.Failure) {
	h := inbound.EndToEndHeaders(q.Header)
	e.deps.Headers.SetDeadline(h, time.Until(q.deadline))
	e.deps.Headers.SetTarget(h, s.target.ID())
	e.setAccountHeaders(q, h)
	e.events.Log(event.RequestPlaced, "id", q.id, "target", s.target.ID(), "zone", s.target.Zone(), "service", q.service, "rule", q.rule.Name(), "kind", q.rule.Kind(),
		"object", q.object, "earlier", sent, "home", q.candidateIndex, "first-load", q.firstCandidateLoad, "load", s.gauge.Load(time.Now()), "slots", s.target.Slots(), "waited", time.Since(q.Arrived), "revision", s.revision)
	e.affinity.Record(q.key, s.hash, time.Now())
	q.lastSent = time.Now()
	s.gauge.Begin()
	defer s.gauge.End()
	a, err := e.pool.Do(ctx, upstream.Call{
		Address: s.target.Address(), Method: q.Method, Target: q.Target, Host: q.Host, Header: h, Body: q.Body,
		SendContentLength: q.Method != http.MethodGet && q.Method != http.MethodHead, AtMostOnce: !q.rule.Kind().Repeatable(),
		BeforeSend: func() bool {
			return e.admitCopy(q, s) && e.admitAttempt(q, s, sent, unsent) && e.admitKey(q) && e.admitToken(q) && e.beginAttempt(q, s)
		},
		Classify: func(status int, h http.Header) upstream.AnswerClass {
			class := e.classifyAnswer(q, status, h)
			if class == upstream.Matching || class == upstream.Unidentified {
				e.noteAnnouncements(q.id, s, status, h)
			}
			return class
		},
	})
	if err != nil {
		var f *upstream.Failure
		errors.As(err, &f)
		return nil, f
	}
	q.held.add(a)
	if load, ok := e.deps.Headers.TargetLoad(a.Header); ok {
		s.gauge.RecordLoad(load.Running, load.Waiting, time.Now())
	}
	return a, nil
}

// classifyAnswer reports whether an answer belongs to the request. A success must carry the request's id
// and the target's stamp, without a content encoding; any other answer must not carry another request's id.
// One without an id often says that the request has not run, which a second copy of it would say of the next one.
func (e *Edge) classifyAnswer(q *requestState, status int, h http.Header) upstream.AnswerClass {
	id := e.deps.Headers.RequestID(h)
	success := status < http.StatusMultipleChoices
	switch {
	case id != q.id && (id != "" || success):
		return upstream.OtherRequest
	case id == "":
		return upstream.Unidentified
	case success && (!e.deps.Headers.HasTargetStamp(h) || h.Get("Content-Encoding") != ""):
		return upstream.Unusable
	default:
		return upstream.Matching
	}
}

// promisesNotRun reports whether callers understand the status as a guarantee that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver returns a target's answer to the caller.
func (e *Edge) deliver(q *requestState, s *targetState, a *upstream.Answer) *inbound.Answer {
	s.gauge.RecordAnswer(time.Since(q.lastSent) <= q.rule.LatencyObjective())
	if promisesNotRun(a.Status) && !q.rule.Kind().Repeatable() {
		// The status would guarantee that the request has not run, but the target gave no proof of it.
		a.Discard()
		e.events.Log(event.RequestFailed, "id", q.id, "target", s.target.ID(), "status", a.Status, "after", time.Since(q.Arrived))
		e.meters.countOutcome(q, outcomeFailed)
		return inbound.EmptyAnswer(http.StatusBadGateway)
	}
	load, _ := e.deps.Headers.TargetLoad(a.Header)
	e.events.Log(event.RequestAnswered, "id", q.id, "target", s.target.ID(), "status", a.Status, "after", time.Since(q.Arrived),
		"running", load.Running, "waiting", load.Waiting, "slots", s.target.Slots(), "opened", a.ConnectTime)
	q.noteServed(a.Status < http.StatusMultipleChoices && load.Waiting == 0)
	e.meters.countOutcome(q, outcomeAnswered)
	return &inbound.Answer{
		Status: a.Status, Header: a.Header, Body: a.Body, BodyRest: a.BodyRest, Length: a.Length,
		OnWriteError: func(err error) {
			e.events.Log(event.AnswerCut, "id", q.id, "target", s.target.ID(), "error", err, "after", time.Since(q.Arrived))
		},
	}
}
