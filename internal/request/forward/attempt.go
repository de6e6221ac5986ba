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
	// hopMargin is subtracted from the deadline at each hop, so that the remote side
	// times out first and its verdict still arrives.
	hopMargin = 2 * time.Millisecond
	// cancelTimeout bounds the request that cancels an attempt and queries whether it has run.
	cancelTimeout = 500 * time.Millisecond
	// maxDiscarded is how many bytes of a refusal's body are read so that its connection can be reused.
	maxDiscarded = 4 << 10
)

// attempt is one transmission of a request to a target or an entry.
type attempt struct {
	forwarder    *Forwarder
	job          *job
	choice       Choice // choice is nil for a relay to the owner of an idempotency key.
	id           string
	name         string
	address      string
	maxConns     int
	pool         *pool.Pool
	relayed      bool
	granted      bool // granted tells the other entry that the key's owner has already allowed the run.
	headerShared bool // headerShared means that an earlier attempt may still use the job's header.
	pacer        Pacer
	start        time.Time
	latency      time.Duration
	outcome      Outcome
	// connectFailed means that no connection could be opened.
	connectFailed bool
	resp          *http.Response
	headerValues

	// These are part of the attempt to save an allocation for each.
	req    http.Request
	url    url.URL
	answer answer
}

func (t *attempt) remaining() time.Duration {
	return t.job.deadline.Sub(t.forwarder.deps.Now()) - hopMargin
}

// complete releases the slot and records the outcome.
func (t *attempt) complete(k Outcome) { t.completeWithBytes(k, 0) }

func (t *attempt) completeWithBytes(k Outcome, in int64) {
	if t.choice == nil {
		return
	}
	out := int64(len(t.job.body.head))
	if t.job.body.rest != nil {
		out = t.job.body.rest.bytesRead.Load()
	}
	r := Result{Outcome: k, Latency: t.latency, BytesOut: out, BytesIn: in, ConnectFailed: t.connectFailed}
	if t.relayed && t.resp != nil {
		n, err := strconv.Atoi(t.resp.Header.Get(headerFree))
		r.FreeSlots, r.FreeKnown = n, err == nil && n >= 0
	}
	t.choice.Done(r)
}

// request returns the HTTP request of the attempt.
func (t *attempt) request() *http.Request {
	j := t.job
	u := &t.url
	*u = url.URL{Scheme: "http", Host: t.address, RawQuery: j.request.URL.RawQuery}
	if t.relayed {
		u.Path, u.RawPath = j.request.URL.Path, j.request.URL.RawPath
	} else {
		u.RawPath = j.path
		if path, err := url.PathUnescape(j.path); err == nil {
			u.Path = path
		}
	}
	t.req = http.Request{
		Method: j.request.Method, URL: u, Host: t.address, Header: t.headers(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: j.body.reader(j.ctx, t.pacer), ContentLength: j.body.length,
	}
	return &t.req
}

// send sends the request and reads the response, or the beginning of a long one.
func (t *attempt) send() (*answer, *verdict.Error) {
	t.headerShared = len(t.job.avoid) > 1
	t.granted = t.choice != nil && t.job.service.AtMostOnce()
	if t.remaining() < time.Millisecond {
		t.outcome = Cancelled
		return nil, notRunError(504, verdict.ReasonDeadline, "deadline has passed before the request was sent")
	}
	if err := t.paceBody(); err != nil {
		return nil, err
	}
	req := t.request()
	hold := t.job.body.rest != nil
	if hold {
		// The body is sent only after 100 Continue, so that none of it is sent to a
		// target that refuses and the request can be sent elsewhere.
		req.Header["Expect"] = []string{"100-continue"}
	}
	resp, err := t.pool.Do(t.job.ctx, pool.Call{
		Address: t.address, MaxConns: t.maxConns, Attempt: t.id, ProbeIdle: t.job.service.AtMostOnce(), OwnConn: !t.relayed && t.job.service.AtMostOnce(),
		Request: req, HoldBody: hold, LateCounter: t.job.counters.late, CloseAfter: t.closeAfter,
	})
	t.latency = time.Since(t.start)
	if err != nil {
		return nil, t.failureVerdict(err)
	}
	t.resp = resp
	if t.relayed {
		return t.relayedAnswer()
	}
	if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get(headerShed) == "1" {
		t.outcome = Shed
		t.discardBody()
		return nil, notRunError(503, verdict.ReasonShed, "target %s shed the request before it started", t.name)
	}
	return t.readAnswer()
}

// closeAfter reports whether a target's response ends its connection. No response names its request, so that a late second
// copy of a refusal would be read as the answer to the next one.
func (t *attempt) closeAfter(r *http.Response) bool {
	return !t.relayed && r.StatusCode >= http.StatusMultipleChoices
}

// paceBody waits until the link's pacer allows a buffered body, which is charged as one piece.
func (t *attempt) paceBody() *verdict.Error {
	b := t.job.body
	if t.pacer == nil || b.rest != nil || len(b.head) == 0 {
		return nil
	}
	if err := t.pacer.WaitOut(t.job.ctx, len(b.head)); err != nil {
		t.outcome = Cancelled
		return verdict.NewError(verdict.NotRun, verdict.ReasonLinkLimit, 503, err)
	}
	return nil
}

// discardBody reads the body of a short refusal to its end, so that its connection can be reused.
func (t *attempt) discardBody() {
	_, _ = io.CopyN(io.Discard, t.resp.Body, maxDiscarded)
	_ = t.resp.Body.Close()
}

// failureVerdict returns the error and verdict of an attempt without a response.
func (t *attempt) failureVerdict(err error) *verdict.Error {
	f, ok := errors.AsType[*pool.Failure](err)
	if !ok {
		t.outcome = Failed
		return verdict.NewError(verdict.MayHaveRun, verdict.ReasonConnect, 502, err)
	}
	reason, status := t.classify(f.Kind())
	t.connectFailed = f.Kind() == pool.ConnectFailed
	if !f.Written() {
		if status == 502 {
			status = 503
		}
		return verdict.NewError(verdict.NotRun, reason, status, err)
	}
	if t.cancelProvesNotRun(f.Kind()) {
		return verdict.NewError(verdict.NotRun, reason, status, err)
	}
	return verdict.NewError(verdict.MayHaveRun, reason, status, err)
}

// classify sets the outcome of the attempt and returns the reason and HTTP status for a kind of failure.
func (t *attempt) classify(k pool.Kind) (verdict.Reason, int) {
	switch k {
	case pool.Cancelled:
		t.outcome = Cancelled
		if errors.Is(t.job.ctx.Err(), context.DeadlineExceeded) {
			return verdict.ReasonDeadline, 504
		}
		return verdict.ReasonCancelled, 504
	case pool.Silent:
		t.outcome = Silent
		return verdict.ReasonSilent, 504
	default:
		t.outcome = Failed
		if src := t.job.body.rest; src != nil && src.failed.Load() {
			t.outcome = Cancelled // Reading the caller's body failed, not the connection.
			return verdict.ReasonBadInput, 502
		}
		return verdict.ReasonConnect, 502
	}
}

// cancelProvesNotRun cancels the attempt at the remote side, which releases a slot there, and
// reports whether that proves that it has not run. It returns false at once for a read whose
// connection was cut, because a read can be retried without proof.
func (t *attempt) cancelProvesNotRun(k pool.Kind) bool {
	if k == pool.ConnectionBroken && t.job.isRead() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.job.ctx), cancelTimeout)
	defer cancel()
	return t.pool.CancelAttempt(ctx, t.address, t.id, t.start) == pool.Dropped
}
