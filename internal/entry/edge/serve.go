package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/site/book"
	"tamarackspool/internal/steer/placement"
	"tamarackspool/internal/steer/refusal"
	"tamarackspool/internal/steer/spend"
)

const (
	// defaultTimeout applies to requests without a deadline header.
	defaultTimeout = 30 * time.Second
	// deadlineMargin is reserved for the network delay of an answer that reports a passed deadline.
	deadlineMargin = 20 * time.Millisecond
	// The limits that apply until a configuration is known.
	startMaxHeader = 16 << 10
	startMaxBody   = 1 << 20
	startTimeout   = 10 * time.Second
)

// requestState is a request in flight with its routing state.
type requestState struct {
	*inbound.Request
	id                 string
	object             string // object is what the request is about, by its affinity key, else the request's id; targets are chosen by it.
	rule               *book.Rule
	account            *book.Account // account is nil under a public rule and when the configuration has no accounts.
	priority           int           // priority is the account's, or else the rule's; 0 is the most urgent.
	keys               keyState
	token              quotaToken
	service            string
	key                placement.Key
	deadline           time.Time // deadline is the earlier of the caller's and the rule's deadline.
	triedTargets       []*targetState
	lastSent           time.Time   // lastSent is when the last attempt was made.
	withheldByNotice   bool        // withheldByNotice is set when the target announced, after it was chosen, that it wants no requests.
	paced              bool        // paced is set when the target was chosen although it is cold, because this entry paces it.
	mayHaveRun         bool        // mayHaveRun is set when a target may have run the request.
	proofs             int         // proofs counts the targets that have stated that they did not run the request.
	candidateIndex     int         // candidateIndex is the rank of the chosen target among the object's candidates, 0 for the preferred one.
	held               heldAnswers // held holds the targets' answers.
	firstCandidateLoad int         // firstCandidateLoad is the load of the preferred candidate when the target was chosen.
	admission          admissionState
	race               *race // race is nil unless the attempt may be in a race with a second copy.
}

// Limits returns the limits for callers' requests from the current configuration.
func (e *Edge) Limits() inbound.Limits {
	b := e.view.Load().book
	if b == nil {
		return inbound.Limits{Header: startMaxHeader, Body: startMaxBody, HeaderTimeout: startTimeout, IdleTimeout: startTimeout, BufferedBytes: e.bodyMemoryLimit()}
	}
	l := b.Limits()
	return inbound.Limits{Header: l.MaxHeaderBytes, Body: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, BufferedBytes: e.bodyMemoryLimit()}
}

// bodyMemoryDivisor is the divisor of the memory limit that gives the limit for all request bodies together;
// the rest is for connections, answers and garbage.
const bodyMemoryDivisor = 4

func (e *Edge) bodyMemoryLimit() int64 { return e.settings.MemoryLimit / bodyMemoryDivisor }

// Repeatable reports whether the request's rule allows it to run more than once.
func (e *Edge) Repeatable(r *inbound.Request) bool {
	b := e.view.Load().book
	if b == nil {
		return r.Method == http.MethodGet
	}
	rule, ok := b.Find(r.Host, r.Path)
	return !ok || rule.Kind().Repeatable()
}

// Serve forwards one request to a target and returns the answer, or nil when the caller has disconnected.
func (e *Edge) Serve(ctx context.Context, r *inbound.Request) *inbound.Answer {
	q := &requestState{Request: r, id: e.deps.Headers.RequestID(r.Header)}
	v, known := e.judgingView(ctx)
	if v.book == nil {
		return e.refuse(q, "no configuration", refusal.Around(startRetryAfter))
	}
	if e.refusing.Load() {
		return e.refuse(q, "stopping", refusal.Delay{})
	}
	rule, ok := v.book.Find(r.Host, r.Path)
	if !ok {
		e.meters.unknownRequests.Inc(1)
		e.events.Log(event.RequestUnknown, "id", q.id, "host", r.Host, "path", r.Path, "version", v.book.Version())
		return inbound.EmptyAnswer(http.StatusNotFound)
	}
	if a := e.authorize(q, known, v.book, rule); a != nil {
		return a
	}
	e.prepareRequest(q, rule)
	if !time.Now().Before(q.deadline) {
		return e.refuse(q, "its deadline passed before it was read", refusal.Delay{})
	}
	if a, ok := e.takeToken(ctx, q); !ok {
		return a
	}
	defer e.returnToken(q)
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	a := q.held.releaseAfter(e.forward(ctx, q))
	if a != nil && a.BodyRest != nil {
		a.BodyRest = &cancelOnClose{ReadCloser: a.BodyRest, cancel: cancel}
		return a
	}
	cancel()
	return a
}

// startRetryAfter is the retry delay that a caller gets from an entry without a configuration.
const startRetryAfter = 300 * time.Millisecond

// startHoldTime is how long after its start an entry holds requests until
// the first configuration arrives, which takes two round trips to the store.
const startHoldTime = 500 * time.Millisecond

// viewOrWait returns the current view. During startHoldTime it waits for one with a
// configuration, so that an early request is served instead of refused.
func (e *Edge) viewOrWait(ctx context.Context) *view {
	if v := e.view.Load(); v.book != nil {
		return v
	}
	left := startHoldTime - time.Since(e.started)
	if left <= 0 {
		return e.view.Load()
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-e.configured:
	case <-t.C:
	case <-ctx.Done():
	}
	return e.view.Load()
}

func (e *Edge) prepareRequest(q *requestState, rule *book.Rule) {
	q.rule, q.priority = rule, priorityOf(rule, q.account)
	q.service = rule.Service(e.nextSplitDraw())
	wait, ok := e.deps.Headers.Deadline(q.Header)
	if !ok {
		wait = defaultTimeout
	}
	if t := rule.Timeout(); t > 0 {
		wait = min(wait, t)
	}
	q.deadline = q.Arrived.Add(wait - deadlineMargin)
	q.object = e.deps.Headers.Object(q.Header)
	if q.object == "" {
		q.object = q.id
	}
	q.key = placement.NewKey(rule.Host()+rule.Prefix(), q.object)
	e.retryBudget(q.service).RecordRequest(e.deps.Uptime() - time.Since(q.Arrived))
	e.meters.service(q.service).requests.Inc(1)
}

// nextSplitDraw returns the next number of a low-discrepancy sequence in [0, 1), so that a traffic
// split is close to its weights after a few requests already.
func (e *Edge) nextSplitDraw() float64 {
	const golden = 0x9e3779b97f4a7c15
	n := e.splitSequence.Add(golden)
	return float64(n>>11) / (1 << 53)
}

func (e *Edge) retryBudget(service string) *spend.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.retryBudgets[service]
	if b == nil {
		b = spend.NewBudget(e.settings.RetryBudget)
		e.retryBudgets[service] = b
		e.meters.registerGauge("request."+service+".repeats-left", func() int64 { return int64(b.AvailableRetries(e.deps.Uptime())) })
	}
	return b
}

// refuse answers that the request has not run, with a jittered Retry-After; a request that may have run gets a 502.
func (e *Edge) refuse(q *requestState, reason string, delay refusal.Delay) *inbound.Answer {
	after := delay.At(rand.Float64())
	e.events.Log(event.RequestRefused, "id", q.id, "service", q.service, "reason", reason, "tried", len(q.triedTargets), "proofs", q.proofs,
		"version", configurationVersion(e.view.Load()), "after", after)
	if q.mayHaveRun {
		e.meters.countOutcome(q, outcomeFailed)
		return inbound.EmptyAnswer(http.StatusBadGateway)
	}
	e.meters.countOutcome(q, outcomeRefused)
	a := inbound.EmptyAnswer(http.StatusServiceUnavailable)
	a.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return a
}
