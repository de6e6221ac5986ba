package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/verdict"
)

const (
	// hopMargin is taken off the deadline at each hop, so that the far side
	// gives up first and its verdict still arrives.
	hopMargin = 2 * time.Millisecond
	// cancelTime bounds the question whether a cancelled attempt has run.
	cancelTime = 500 * time.Millisecond
	// maxShed is how much of a refusal's body is read to keep its connection.
	maxShed = 4 << 10
)

// attempt is one sending of a request to a target or an entry.
type attempt struct {
	f       *Forwarder
	j       *job
	c       Choice // c is nil for a relay to the home of a key.
	id      string
	name    string
	address string
	conns   int
	pool    *pool.Pool
	relay   bool
	granted bool // granted tells the other entry that the key is granted already.
	later   bool // later means that an earlier attempt may still use the job's header.
	pacer   Pacer
	start   time.Time
	latency time.Duration
	kind    Kind
	// unopened means that no connection could be opened.
	unopened bool
	resp     *http.Response
	values

	// What an attempt needs once lies here and not in allocations of its own.
	req    http.Request
	url    url.URL
	answer answer
}

func (t *attempt) remaining() time.Duration {
	return t.j.deadline.Sub(t.f.d.Now()) - hopMargin
}

// done gives the slot back and records the outcome.
func (t *attempt) done(k Kind) { t.doneIn(k, 0) }

func (t *attempt) doneIn(k Kind, in int64) {
	if t.c == nil {
		return
	}
	out := int64(len(t.j.body.head))
	if t.j.body.rest != nil {
		out = t.j.body.rest.count.Load()
	}
	r := Result{Kind: k, Latency: t.latency, Out: out, In: in, Unopened: t.unopened}
	if t.relay && t.resp != nil {
		n, err := strconv.Atoi(t.resp.Header.Get(headerFree))
		r.Free, r.Counted = n, err == nil && n >= 0
	}
	t.c.Done(r)
}

// request returns the HTTP request of the attempt.
func (t *attempt) request() *http.Request {
	j := t.j
	u := &t.url
	*u = url.URL{Scheme: "http", Host: t.address, RawQuery: j.r.URL.RawQuery}
	if t.relay {
		u.Path, u.RawPath = j.r.URL.Path, j.r.URL.RawPath
	} else {
		u.RawPath = j.path
		if path, err := url.PathUnescape(j.path); err == nil {
			u.Path = path
		}
	}
	t.req = http.Request{
		Method: j.r.Method, URL: u, Host: t.address, Header: t.headers(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: j.body.reader(j.ctx, t.pacer), ContentLength: j.body.length,
	}
	return &t.req
}

// run sends the request and takes in the response, or the beginning of a long one.
func (t *attempt) run() (*answer, *verdict.Error) {
	t.later = len(t.j.avoid) > 1
	t.granted = t.c != nil && t.j.service.Once()
	if t.remaining() < time.Millisecond {
		t.kind = Cancelled
		return nil, bad(504, verdict.ReasonDeadline, "deadline has passed before the request was sent")
	}
	if err := t.paceOut(); err != nil {
		return nil, err
	}
	req := t.request()
	hold := t.j.body.rest != nil
	if hold {
		// The body stays here until the other side asks for it, so that a
		// refusal costs no body and the request can be sent elsewhere.
		req.Header["Expect"] = []string{"100-continue"}
	}
	resp, err := t.pool.Do(t.j.ctx, pool.Call{
		Address: t.address, Conns: t.conns, Attempt: t.id, Once: t.j.service.Once(),
		Request: req, Hold: hold, Late: t.j.counts.late,
	})
	t.latency = time.Since(t.start)
	if err != nil {
		return nil, t.failed(err)
	}
	t.resp = resp
	if t.relay {
		return t.relayed()
	}
	if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get(headerShed) == "1" {
		t.kind = Shed
		t.discard()
		return nil, bad(503, verdict.ReasonShed, "target %s refused before it started", t.name)
	}
	return t.takeIn()
}

// paceOut waits for the link; a body in memory is charged at once.
func (t *attempt) paceOut() *verdict.Error {
	b := t.j.body
	if t.pacer == nil || b.rest != nil || len(b.head) == 0 {
		return nil
	}
	if err := t.pacer.WaitOut(t.j.ctx, len(b.head)); err != nil {
		t.kind = Cancelled
		return verdict.New(verdict.NotRun, verdict.ReasonLink, 503, err)
	}
	return nil
}

// discard reads a short refusal to its end, so that its connection can be used again.
func (t *attempt) discard() {
	_, _ = io.CopyN(io.Discard, t.resp.Body, maxShed)
	_ = t.resp.Body.Close()
}

// failed gives the verdict on an attempt without a response.
func (t *attempt) failed(err error) *verdict.Error {
	f, ok := errors.AsType[*pool.Failure](err)
	if !ok {
		t.kind = Failed
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnect, 502, err)
	}
	reason, status := t.classify(f.Kind())
	t.unopened = f.Kind() == pool.Connect
	if !f.Written() {
		if status == 502 {
			status = 503
		}
		return verdict.New(verdict.NotRun, reason, status, err)
	}
	if t.dropped(f.Kind()) {
		return verdict.New(verdict.NotRun, reason, status, err)
	}
	return verdict.New(verdict.MayHaveRun, reason, status, err)
}

func (t *attempt) classify(k pool.Kind) (verdict.Reason, int) {
	switch k {
	case pool.Cancelled:
		t.kind = Cancelled
		if errors.Is(t.j.ctx.Err(), context.DeadlineExceeded) {
			return verdict.ReasonDeadline, 504
		}
		return verdict.ReasonCancelled, 504
	case pool.Silent:
		t.kind = Silent
		return verdict.ReasonSilent, 504
	default:
		t.kind = Failed
		if src := t.j.body.rest; src != nil && src.failed.Load() {
			t.kind = Cancelled // The caller's body ended badly, not the connection.
			return verdict.ReasonInput, 502
		}
		return verdict.ReasonConnect, 502
	}
}

// dropped cancels the attempt at the other side, which frees a slot there and
// may prove that it has not run. A read whose connection was cut is not worth the wait.
func (t *attempt) dropped(k pool.Kind) bool {
	if k == pool.Cut && t.j.read() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.j.ctx), cancelTime)
	defer cancel()
	return t.pool.Cancel(ctx, t.address, t.id) == pool.Dropped
}
