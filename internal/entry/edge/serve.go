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
	"tamarackspool/internal/steer/spend"
)

const (
	// defaultWait applies to callers that do not say how long they wait.
	defaultWait = 30 * time.Second
	// answerMargin is kept for the way of an answer that reports a passed deadline.
	answerMargin = 20 * time.Millisecond
	// startLimits apply until a configuration is known.
	startHeader = 16 << 10
	startBody   = 1 << 20
	startWait   = 10 * time.Second
)

// query is one request on its way through the entry.
type query struct {
	*inbound.Request
	id       string
	object   string
	rule     *book.Rule
	service  string
	key      placement.Key
	deadline time.Time // deadline is when the answer is due: the caller's or the rule's, whichever is first.
	tried    []*seat
	sent     time.Time // sent is when the last attempt was made.
	ran      bool      // ran says that a target may have run the request.
	home     int       // home is which of the object's places was chosen, 0 for the first.
	first    int       // first is the load of the first place when the choice was made.
}

// Limits returns the callers' limits of the configuration in force.
func (e *Edge) Limits() inbound.Limits {
	b := e.view.Load().book
	if b == nil {
		return inbound.Limits{Header: startHeader, Body: startBody, HeaderTimeout: startWait, IdleTimeout: startWait, Held: e.held()}
	}
	l := b.Limits()
	return inbound.Limits{Header: l.Header, Body: l.Body, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, Held: e.held()}
}

// bodyPart is the part of the process's memory that bodies may take together;
// the rest is for connections, answers and garbage.
const bodyPart = 4

func (e *Edge) held() int64 { return e.s.Memory / bodyPart }

// Repeatable reports whether the request's rule lets it run more than once.
func (e *Edge) Repeatable(r *inbound.Request) bool {
	b := e.view.Load().book
	if b == nil {
		return r.Method == http.MethodGet
	}
	rule, ok := b.Find(r.Host, r.Path)
	return !ok || rule.Kind() == book.Safe
}

// Serve answers one request.
func (e *Edge) Serve(ctx context.Context, r *inbound.Request) *inbound.Answer {
	q := &query{Request: r, id: e.d.Headers.RequestID(r.Header)}
	v := e.known(ctx)
	if v.book == nil {
		return e.refuse(q, "no configuration", startRetry)
	}
	if e.refusing.Load() {
		return e.refuse(q, "stopping", 0)
	}
	rule, ok := v.book.Find(r.Host, r.Path)
	if !ok {
		e.meters.unknown.Inc(1)
		e.events.Log(event.RequestUnknown, "id", q.id, "host", r.Host, "path", r.Path, "version", v.book.Version())
		return inbound.Refusal(http.StatusNotFound)
	}
	e.prepare(q, rule)
	if !time.Now().Before(q.deadline) {
		return e.refuse(q, "its time passed unread", 0)
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	a := e.attempts(ctx, q)
	if a != nil && a.Rest != nil {
		a.Rest = &cancelling{ReadCloser: a.Rest, cancel: cancel}
		return a
	}
	cancel()
	return a
}

// startRetry is when a caller may return to an entry that has just started.
const startRetry = 300 * time.Millisecond

// startHold is how long after its start an entry keeps requests waiting for
// its first configuration, which takes two round trips to the store.
const startHold = 500 * time.Millisecond

// known returns the view. Just after the start it waits for one with a
// configuration, as the request can be served as soon as that is read.
func (e *Edge) known(ctx context.Context) *view {
	if v := e.view.Load(); v.book != nil {
		return v
	}
	left := startHold - time.Since(e.started)
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

func (e *Edge) prepare(q *query, rule *book.Rule) {
	q.rule = rule
	q.service = rule.Service(e.draw())
	wait, ok := e.d.Headers.Deadline(q.Header)
	if !ok {
		wait = defaultWait
	}
	if t := rule.Timeout(); t > 0 {
		wait = min(wait, t)
	}
	q.deadline = q.Arrived.Add(wait - answerMargin)
	q.object = e.d.Headers.Object(q.Header)
	if q.object == "" {
		q.object = q.id
	}
	q.key = placement.Of(rule.Host()+rule.Prefix(), q.object)
	e.budget(q.service).Request(e.d.Uptime() - time.Since(q.Arrived))
	e.meters.service(q.service).requests.Inc(1)
}

// draw returns the next number of an even sequence in [0, 1): each part of a
// split gets its share also of a few requests.
func (e *Edge) draw() float64 {
	const golden = 0x9e3779b97f4a7c15
	n := e.draws.Add(golden)
	return float64(n>>11) / (1 << 53)
}

func (e *Edge) budget(service string) *spend.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = spend.New(e.s.Repeats)
		e.budgets[service] = b
		e.meters.gauge("request."+service+".repeats-left", func() int64 { return int64(b.Left(e.d.Uptime())) })
	}
	return b
}

// refuse answers that the request has not run and when to come back.
func (e *Edge) refuse(q *query, reason string, after time.Duration) *inbound.Answer {
	e.events.Log(event.RequestRefused, "id", q.id, "service", q.service, "reason", reason, "tried", len(q.tried), "after", after)
	if q.ran {
		e.meters.ended(q, outcomeFailed)
		return inbound.Refusal(http.StatusBadGateway)
	}
	e.meters.ended(q, outcomeRefused)
	a := inbound.Refusal(http.StatusServiceUnavailable)
	jittered := after/2 + rand.N(after+1)
	a.Header.Set("Retry-After", strconv.FormatFloat(jittered.Seconds(), 'f', 3, 64))
	return a
}
