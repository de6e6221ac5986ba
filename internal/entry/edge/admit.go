package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/site/book"
	"tamarackspool/internal/steer/admission"
	"tamarackspool/internal/steer/placement"
	"tamarackspool/internal/steer/refusal"
	"tamarackspool/internal/steer/spend"
)

// The reasons of refusals by admission control.
const (
	overShare      = "the service is overloaded and the account uses more than its fair share"
	lessUrgent     = "the service is overloaded and more urgent requests need the capacity"
	lateEverywhere = "no target is expected to answer in time"
	retryReserved  = "the remaining retries are kept for more urgent requests or other accounts"
)

// admissionControl applies admission control to the services whose requests compete on unequal terms.
type admissionControl struct {
	limits    admission.Limits
	contended atomic.Pointer[contendedServices]

	mu       sync.Mutex
	services map[string]*admittedService

	overShare, lessUrgent, late, moved, reserved, delayed metrics.Counter
}

// contendedServices are the services of one configuration that admission control applies to.
type contendedServices struct {
	book  *book.Book
	names map[string]bool
}

// admittedService is the state of admission control for one service.
type admittedService struct {
	*admission.Service
	returns refusal.Returns
}

// admissionState is what admission control knows of a request in flight.
type admissionState struct {
	service *admittedService // service is nil when admission control does not apply to the request.
	request admission.Request
	free    bool          // free is set when the target of the last attempt was assumed to have a free slot.
	warm    bool          // warm is set when the target of the last attempt had handled the object recently.
	wait    time.Duration // wait is the time before which no target is expected to answer the request in time.
}

func newAdmissionControl(l spend.Limits, overloadShare float64, r metrics.Registry) *admissionControl {
	return &admissionControl{
		limits:     admission.Limits{RetriesPerRequest: spend.RetriesPerRequest(l), Horizon: spend.TimeToLive(l), OverloadShare: overloadShare},
		services:   make(map[string]*admittedService),
		overShare:  metrics.NewRegisteredCounter("admission.over-share", r),
		lessUrgent: metrics.NewRegisteredCounter("admission.less-urgent", r),
		late:       metrics.NewRegisteredCounter("admission.late", r),
		moved:      metrics.NewRegisteredCounter("admission.moved", r),
		reserved:   metrics.NewRegisteredCounter("admission.retries-reserved", r),
		delayed:    metrics.NewRegisteredCounter("admission.returns-ordered", r),
	}
}

// service returns the state for the service, or nil when admission control does not apply to it.
func (c *admissionControl) service(b *book.Book, name string) *admittedService {
	n := c.contended.Load()
	if n == nil || n.book != b {
		n = &contendedServices{b, b.Contended()}
		c.contended.Store(n)
	}
	if !n.names[name] {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil {
		s = &admittedService{Service: admission.New(c.limits)}
		c.services[name] = s
	}
	return s
}

// admitRequest counts a request and returns its refusal if the service is overloaded and others go first, else nil.
func (e *Edge) admitRequest(q *requestState, now time.Time) *inbound.Answer {
	s := e.admission.service(e.view.Load().book, q.service)
	if s == nil {
		return nil
	}
	q.admission.service = s
	q.admission.request = admission.Request{Priority: q.priority}
	if q.account != nil {
		q.admission.request.Account, q.admission.request.Quota = q.account.Name(), q.account.Rate()
	}
	var reason string
	switch s.Admit(q.admission.request, now) {
	case admission.OverShare:
		e.admission.overShare.Inc(1)
		reason = overShare
	case admission.LessUrgently:
		e.admission.lessUrgent.Inc(1)
		reason = lessUrgent
	default:
		return nil
	}
	delay, _ := e.refusalDelay(q, now)
	return e.refuse(q, reason, delay)
}

// placeInTime returns the chosen target, or another candidate for the request's object that is expected to answer it in
// time when the chosen one is not. It returns nil when none is.
func (e *Edge) placeInTime(q *requestState, chosen *targetState, now time.Time) *targetState {
	a := &q.admission
	if a.service == nil {
		return chosen
	}
	candidates := []admission.Candidate{e.admissionCandidate(q, chosen, now)}
	a.free, a.warm = !candidates[0].Full() && !q.paced, candidates[0].Warm
	left := q.deadline.Sub(now)
	if q.paced || !a.service.Late(q.rule.Name(), candidates[0], left) {
		return chosen
	}
	targets := []*targetState{chosen}
	for _, s := range e.otherCandidates(q, chosen, now) {
		targets, candidates = append(targets, s), append(candidates, e.admissionCandidate(q, s, now))
	}
	p := a.service.Place(q.rule.Name(), candidates, left, now)
	if p.Candidate < 0 {
		e.admission.late.Inc(1)
		a.wait = p.Wait
		return nil
	}
	if p.Candidate > 0 {
		e.admission.moved.Inc(1)
		s := targets[p.Candidate]
		e.events.Log(event.RequestMoved, "id", q.id, "service", q.service, "from", chosen.target.ID(), "to", s.target.ID(),
			"from-load", candidates[0].Load, "to-load", candidates[p.Candidate].Load, "left", left)
	}
	a.free, a.warm = !candidates[p.Candidate].Full(), candidates[p.Candidate].Warm
	return targets[p.Candidate]
}

func (e *Edge) admissionCandidate(q *requestState, s *targetState, now time.Time) admission.Candidate {
	return admission.Candidate{Load: s.gauge.Load(now), Slots: s.target.Slots(), Warm: e.affinity.HandledRecently(q.key, s.hash, now)}
}

// otherCandidates returns the candidates for the request's object other than the chosen target, the preferred one first.
func (e *Edge) otherCandidates(q *requestState, chosen *targetState, now time.Time) []*targetState {
	v := e.view.Load()
	b := v.services[q.service]
	if b == nil {
		return nil
	}
	weights := b.requestWeights
	if q.rule.Kind() == book.Upload {
		weights = b.uploadWeights
	}
	position := q.key.Position()
	order := placement.Order(q.key, len(b.targets), func(i int) uint64 { return b.targets[i].hash }, func(i int) float64 {
		s := b.targets[i]
		if s == chosen || !e.canAttempt(v, q, s, now) || v.isCold(s, now) || s.gauge.BackingOff(now) || s.notice.AwaitsReturn(position, now) {
			return 0
		}
		return weights[i]
	})
	var others []*targetState
	for _, i := range order {
		if i >= 0 && len(others) < placement.MaxCandidates-1 {
			others = append(others, b.targets[i])
		}
	}
	return others
}

// retryWithheld returns why the request may not be retried, or an empty text.
func (e *Edge) retryWithheld(q *requestState) string {
	available := e.retryBudget(q.service).AvailableRetries(e.deps.Uptime())
	switch {
	case e.stalled() || available == 0:
		return retryBudgetExhausted
	case q.admission.service != nil && !q.admission.service.AdmitRetry(q.admission.request, available, time.Now()):
		e.admission.reserved.Inc(1)
		return retryReserved
	}
	return ""
}

// takeRetry reports whether a retry may be sent now, and pays for it.
func (e *Edge) takeRetry(q *requestState) bool {
	if e.retryWithheld(q) != "" || !e.retryBudget(q.service).TakeRetry(e.deps.Uptime()) {
		return false
	}
	q.noteAttempt(func(s *admittedService, now time.Time) { s.RecordRetry(q.admission.request, now) })
	return true
}

// noteAttempt records the result of an attempt for admission control.
func (q *requestState) noteAttempt(record func(s *admittedService, now time.Time)) {
	if q.admission.service != nil {
		record(q.admission.service, time.Now())
	}
}

// fullQueue is the number of waiting requests for each slot from which on a rejection is taken as one for lack of capacity.
// Targets also reject requests for other reasons, also while all of their slots are taken and few requests wait.
const fullQueue = 2

// noteRejected records that a target rejected an attempt; full means that it did so for lack of capacity.
func (q *requestState) noteRejected(full bool) {
	q.noteAttempt(func(s *admittedService, now time.Time) { s.RecordShed(q.admission.request, full, now) })
}

// noteServed records an answer; one of an idle target tells how long the work takes.
func (q *requestState) noteServed(idle bool) {
	q.noteAttempt(func(s *admittedService, now time.Time) {
		s.RecordAnswer(now)
		if idle && q.admission.free {
			s.RecordWork(q.rule.Name(), q.admission.warm, now.Sub(q.lastSent))
		}
	})
}

// orderReturn returns the delay of a caller that is refused: while targets of the service reject requests, one that
// follows from the order of returns instead of the load of one target.
func (e *Edge) orderReturn(q *requestState, delay refusal.Delay, now time.Time) refusal.Delay {
	a := &q.admission
	if a.service == nil || a.wait == 0 && !a.service.Short(now) {
		return delay
	}
	e.admission.delayed.Inc(1)
	seen := refusal.Shortage{Served: a.service.ServedRate(now), Shed: a.service.ShedFraction(now)}
	return a.service.returns.Delay(q.priority, seen, a.wait, e.returnLimit(q, now), now)
}

const (
	// patienceDivisor is the divisor of the time that a caller has left that gives the longest delay that it waits for.
	patienceDivisor = 3
	// promptDivisor is the divisor of the latency objective that gives the longest delay of a caller whose return can
	// still be answered within the objective, which takes about half of it at a target that has handled the object.
	promptDivisor = 2
	// earlyDivisor is the divisor of the latency objective that gives the time after which that counts as lost.
	earlyDivisor = 4
)

// returnLimit returns the longest delay that the caller of a refused request is given.
func (e *Edge) returnLimit(q *requestState, now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	if wait, ok := e.deps.Headers.Deadline(q.Header); ok {
		left = q.Arrived.Add(wait).Sub(now)
	}
	limit, objective := left/patienceDivisor, q.rule.LatencyObjective()
	if now.Sub(q.Arrived) < objective/earlyDivisor {
		limit = min(limit, objective/promptDivisor)
	}
	return limit
}
