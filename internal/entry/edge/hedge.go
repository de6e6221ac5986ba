package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/steer/hedge"
)

// hedges holds what an entry keeps for second copies of requests; it is safe for concurrent use.
type hedges struct {
	share float64 // share is the part of a service's requests that may get a second copy; 0 for none.

	mu       sync.Mutex
	services map[string]*hedge.Service

	sent, won, wasted metrics.Counter
	withheld          map[hedge.Reason]metrics.Counter
}

func newHedges(share float64, r metrics.Registry) *hedges {
	h := &hedges{
		share: share, services: make(map[string]*hedge.Service), withheld: make(map[hedge.Reason]metrics.Counter),
		sent: metrics.NewRegisteredCounter("hedge.sent", r), won: metrics.NewRegisteredCounter("hedge.won", r),
		wasted: metrics.NewRegisteredCounter("hedge.wasted", r),
	}
	for _, reason := range hedge.Reasons {
		h.withheld[reason] = metrics.NewRegisteredCounter("hedge.withheld."+string(reason), r)
	}
	return h
}

// service returns the state for the service, or nil when no copies are sent.
func (h *hedges) service(name string) *hedge.Service {
	if h.share == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		s = hedge.New(h.share)
		h.services[name] = s
	}
	return s
}

// noteShortage records that a target rejected a request of the service or let it time out.
func (h *hedges) noteShortage(service string) {
	if s := h.service(service); s != nil {
		s.RecordShortage(time.Now())
	}
}

// race is the part of an attempt in a race of two.
type race struct {
	copy  bool         // copy is set for the second copy.
	state atomic.Int32 // state is raceWaiting, raceBegun or raceAbandoned; only the first is left.
}

const (
	raceWaiting   = iota // raceWaiting is the state of an attempt before its first byte.
	raceBegun            // raceBegun is the state of an attempt that has passed the checks before its first byte.
	raceAbandoned        // raceAbandoned is the state of an attempt that must not be sent any more.
)

func (r *race) begun() bool { return r.state.Load() == raceBegun }

// attemptResult is the end of one attempt of a race.
type attemptResult struct {
	q      *requestState
	target *targetState
	answer *upstream.Answer
	f      *upstream.Failure
}

// runner is an attempt of a race.
type runner struct {
	q      *requestState
	target *targetState
	cancel context.CancelFunc
	done   chan attemptResult
}

// startAttempt makes an attempt in the background. Its context ends with the request's at the latest, so that
// the rest of a large answer can be read.
func (e *Edge) startAttempt(ctx context.Context, q *requestState, s *targetState, sent int) *runner {
	ctx, cancel := context.WithCancel(ctx)
	r := &runner{q: q, target: s, cancel: cancel, done: make(chan attemptResult, 1)}
	go func() {
		a, f := e.sendAttempt(ctx, q, s, sent, 0)
		r.done <- attemptResult{q, s, a, f}
	}()
	return r
}

// abandon cancels an attempt, which closes its connection at once, and discards an answer that it may still get. Nothing
// is recorded about its target.
func (r *runner) abandon() {
	r.q.race.state.CompareAndSwap(raceWaiting, raceAbandoned)
	r.cancel()
	go func() {
		if o := <-r.done; o.answer != nil {
			o.answer.Discard()
		}
	}()
}

// abandonUnsent abandons an attempt that has not been sent, and reports whether it has.
func (r *runner) abandonUnsent() bool {
	unsent := r.q.race.state.CompareAndSwap(raceWaiting, raceAbandoned)
	if unsent {
		r.abandon()
	}
	return unsent
}

// sendHedged makes an attempt and, for the first attempt of a repeatable request, a second copy at another target when
// the first one is unanswered for long. It returns the attempt that decides, after counting one that failed before it.
func (e *Edge) sendHedged(ctx context.Context, q *requestState, s *targetState, sent, unsent *int) (*targetState, *upstream.Answer, *upstream.Failure) {
	h := e.hedges.service(q.service)
	if h == nil || *sent+*unsent > 0 || q.paced || !q.rule.Kind().Repeatable() || len(q.triedTargets) > 1 {
		q.race = nil
		a, f := e.sendAttempt(ctx, q, s, *sent, *unsent)
		return s, a, f
	}
	if q.race == nil { // An attempt that is made anew is the same request.
		h.RecordRequest()
	}
	q.race = new(race)
	latency, known := h.Latency(q.rule.Name(), time.Now())
	if !known || q.rule.LatencyObjective() <= 0 {
		a, f := e.sendAttempt(ctx, q, s, *sent, *unsent)
		e.recordLatency(h, q, a)
		return s, a, f
	}
	first := e.startAttempt(ctx, q, s, 0)
	timer := time.NewTimer(latency.Delay)
	defer timer.Stop()
	select {
	case r := <-first.done:
		e.recordLatency(h, q, r.answer)
		return s, r.answer, r.f
	case <-timer.C:
	}
	second := e.startCopy(ctx, q, s, h, latency.Usual)
	if second == nil {
		r := <-first.done
		e.recordLatency(h, q, r.answer)
		return s, r.answer, r.f
	}
	began := q.lastSent
	r := e.finishRace(q, first, second, sent, unsent)
	if second.q.race.begun() {
		if r.q == second.q {
			e.hedges.won.Inc(1)
		} else {
			e.hedges.wasted.Inc(1)
		}
	}
	if r.answer != nil && e.wins(r.answer) && (r.q == q || *sent+*unsent == 0) {
		// The latency of a first attempt that was cancelled is at least what it has taken so far.
		h.RecordLatency(q.rule.Name(), time.Since(began), time.Now())
	}
	return r.target, r.answer, r.f
}

// recordLatency records the latency of a lone attempt, if it was answered by more than a rejection or an error.
func (e *Edge) recordLatency(h *hedge.Service, q *requestState, a *upstream.Answer) {
	if a != nil && e.wins(a) {
		h.RecordLatency(q.rule.Name(), time.Since(q.lastSent), time.Now())
	}
}

// wins reports whether an answer is neither a rejection nor a server error.
func (e *Edge) wins(a *upstream.Answer) bool {
	return a.Status < http.StatusInternalServerError && !e.deps.Headers.ProvesNotRun(a.Status, a.Header) && !promisesNotRun(a.Status)
}

// startCopy sends the second copy of a request whose first attempt is unanswered, or returns nil when it is withheld.
func (e *Edge) startCopy(ctx context.Context, q *requestState, s *targetState, h *hedge.Service, usual time.Duration) *runner {
	now := time.Now()
	x := hedge.Situation{
		FirstSent: q.race.begun(), Stalled: e.stalled(), MaxAttempts: q.rule.MaxAttempts(), Usual: usual,
		AvailableRetries: e.retryBudget(q.service).AvailableRetries(e.deps.Uptime()),
		Left:             q.rule.LatencyObjective() - now.Sub(q.Arrived),
	}
	var to *targetState
	if x.FirstSent { // Until then, the checks before the first byte may write to the request.
		x.Short = q.admission.service != nil && q.admission.service.Short(now)
		for _, o := range e.otherCandidates(q, s, now) {
			if o.gauge.Slow(now) {
				continue
			}
			to = o
			x.Candidate = hedge.Candidate{Load: o.gauge.Load(now), Slots: o.target.Slots(), Warm: e.affinity.HandledRecently(q.key, o.hash, now)}
			break
		}
	}
	if reason := h.Decide(x, now); reason != hedge.Sent {
		e.noteWithheld(q, h, reason)
		return nil
	}
	c := &requestState{
		Request: q.Request, id: q.id, object: q.object, rule: q.rule, account: q.account, priority: q.priority, keys: q.keys,
		token: quotaToken{spent: true}, service: q.service, key: q.key, deadline: q.deadline, admission: q.admission,
		candidateIndex: 1, firstCandidateLoad: q.firstCandidateLoad, race: &race{copy: true},
	}
	c.admission.free, c.admission.warm = true, x.Candidate.Warm
	return e.startAttempt(ctx, c, to, 1)
}

func (e *Edge) noteWithheld(q *requestState, h *hedge.Service, reason hedge.Reason) {
	e.hedges.withheld[reason].Inc(1)
	if h.TakeNotice(time.Now()) {
		e.events.Log(event.HedgeWithheld, "id", q.id, "service", q.service, "reason", string(reason), "after", time.Since(q.Arrived))
	}
}

// admitCopy reports whether a second copy may be sent, just before its first byte: to a target that is still fit, with a
// key that is still valid, within its part of the requests. Other attempts are not its concern.
func (e *Edge) admitCopy(q *requestState, s *targetState) bool {
	if q.race == nil || !q.race.copy {
		return true
	}
	now, v := time.Now(), e.view.Load()
	if !q.keys.taken && v.book.HasAccounts() {
		return false // The headers are shared with the first attempt and still have the key.
	}
	return !e.stalled() && e.eligible(v, q, s) && s.notice.AcceptsRequests(now) && !v.isCold(s, now) && !s.gauge.BackingOff(now) &&
		e.admitKey(q) && e.hedges.service(q.service).Take(now)
}

// beginAttempt records that an attempt has passed the checks before its first byte.
func (e *Edge) beginAttempt(q *requestState, s *targetState) bool {
	if q.race == nil {
		return true
	}
	if !q.race.state.CompareAndSwap(raceWaiting, raceBegun) {
		return false
	}
	if q.race.copy {
		e.hedges.sent.Inc(1)
		e.events.Log(event.RequestHedged, "id", q.id, "target", s.target.ID(), "service", q.service, "rule", q.rule.Name(), "after", time.Since(q.Arrived))
	}
	return true
}

// finishRace waits for the attempt that decides: the first one with an answer that is neither a rejection nor a server
// error, else the last one, or the only one with an answer. The other one is abandoned, or counted as an attempt before it.
func (e *Edge) finishRace(q *requestState, first, second *runner, sent, unsent *int) attemptResult {
	var r attemptResult
	other := second
	select {
	case r = <-first.done:
		if !r.endsRace(e) && second.abandonUnsent() {
			return r
		}
	case r = <-second.done:
		other = first
		if r.cancelled() {
			return <-first.done // The time of both is over.
		}
	}
	if r.endsRace(e) {
		other.abandon()
		return e.adopt(q, r)
	}
	kept := e.hasAnswer(r)
	if !kept {
		e.countFailed(q, r, sent, unsent)
	}
	last := <-other.done
	switch {
	case kept && e.hasAnswer(last):
		e.countFailed(q, r, sent, unsent)
		r.answer.Discard()
	case kept:
		if !last.cancelled() {
			e.countFailed(q, last, sent, unsent)
		}
		return e.adopt(q, r)
	}
	return e.adopt(q, last)
}

// endsRace reports whether the attempt's result is passed on while the other attempt runs.
func (r attemptResult) endsRace(e *Edge) bool {
	return r.answer != nil && e.wins(r.answer) || r.cancelled()
}

func (r attemptResult) cancelled() bool { return r.f != nil && r.f.Kind() == upstream.Cancelled }

// hasAnswer reports whether the attempt ended with an answer that the caller gets if no other attempt does better.
func (e *Edge) hasAnswer(r attemptResult) bool {
	return r.answer != nil && !e.deps.Headers.ProvesNotRun(r.answer.Status, r.answer.Header)
}

// countFailed counts an attempt that ended without the answer for the caller.
func (e *Edge) countFailed(q *requestState, r attemptResult, sent, unsent *int) {
	if r.f != nil && r.f.Kind() == upstream.Withheld {
		e.noteWithheld(q, e.hedges.service(q.service), hedge.Recheck)
		return
	}
	if r.q != q {
		q.triedTargets = append(q.triedTargets, r.target)
	}
	switch {
	case e.hasAnswer(r):
		*sent++
	case r.f == nil:
		r.answer.Discard()
		e.noteShed(q, r.target, r.answer)
		q.proofs++
		*sent++
	case r.f.Sent():
		*sent++
		e.noteFailure(q, r.target, r.f)
		q.mayHaveRun = true
	default:
		*unsent++
		e.noteFailure(q, r.target, r.f)
	}
}

// adopt makes the attempt the request's last one.
func (e *Edge) adopt(q *requestState, r attemptResult) attemptResult {
	if r.q == q {
		return r
	}
	q.lastSent, q.admission.free, q.admission.warm = r.q.lastSent, r.q.admission.free, r.q.admission.warm
	q.triedTargets = append(q.triedTargets, r.target)
	if r.answer != nil {
		q.held.add(r.answer)
	}
	return r
}
