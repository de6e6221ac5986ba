package forward

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackspool/internal/request/verdict"
)

// serveOnce has the request run at most once: it queries the owner of the idempotency key
// and then answers with the recorded outcome, dispatches the request, or relays it to the owner.
func (f *Forwarder) serveOnce(j *job) {
	if f.deps.Deduplicator == nil {
		f.refuseAndCount(j, withoutKeyProof(j.request, notRunError(503, verdict.ReasonIsolated, "requests with at-most-once execution are not served here")))
		return
	}
	g, err := f.deps.Deduplicator.Begin(j.ctx, IdempotencyKey{
		Tenant: j.tenant, Service: j.service.Name(), Value: j.key, RequestHash: xxhash.Sum64String(j.request.Method + " " + j.path),
	})
	switch {
	case err != nil:
		e, ok := errors.AsType[*verdict.Error](err)
		if !ok {
			e = verdict.NewError(verdict.MayHaveRun, verdict.ReasonRepeat, 502, err)
		}
		f.refuseAndCount(j, e)
	case g.Answer != nil:
		f.answerRepeat(j, g.Answer)
	case g.Permit != nil:
		f.runOnce(j, g.Permit)
	default:
		f.relayToKeyOwner(j, g.KeyOwner)
	}
}

// runOnce dispatches a request that must run at most once and records its outcome, also when it panics.
func (f *Forwarder) runOnce(j *job, permit RunPermit) {
	settled := false
	defer func() {
		if !settled {
			permit.Fail(verdict.MayHaveRun)
		}
	}()
	a, err := f.makeAttempts(j)
	if err != nil {
		settled = true
		permit.Fail(err.Verdict())
		f.refuseAndCount(j, err)
		return
	}
	if !a.hasMore {
		settled = true
		permit.Finish(recordAnswer(a, true))
		f.deliver(j, a)
		return
	}
	// When the response is cut, deliver panics and the deferred function records the failure.
	f.deliver(j, a)
	settled = true
	permit.Finish(recordAnswer(a, false))
}

// recordAnswer copies the parts of an answer with which a repeat of the request is answered.
func recordAnswer(a *answer, complete bool) RecordedAnswer {
	h := make(http.Header)
	copyHeader(h, a.attempt.resp.Header, dropFromAnswer)
	h[headerServedBy] = []string{a.servedBy}
	r := RecordedAnswer{Status: a.attempt.resp.StatusCode, Header: h, Complete: complete}
	if complete {
		r.Body = slices.Clone(a.body)
	}
	return r
}

// answerRepeat answers a repeated request with the recorded outcome of the first one.
func (f *Forwarder) answerRepeat(j *job, a *RecordedAnswer) {
	h := j.writer.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h[headerVerdict] = ranHeader
	h[headerReason] = []string{string(verdict.ReasonRepeat)}
	h[headerVia] = []string{f.settings.Name}
	status, body := a.Status, a.Body
	if !a.Complete {
		status, body = http.StatusConflict, []byte("forward: the request has run; its response was too large to be recorded\n")
		h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	j.writer.WriteHeader(status)
	_, _ = j.writer.Write(body) // The error is ignored: the caller has disconnected.
}

// relayToKeyOwner relays a request to the owner of its idempotency key. Without an answer
// nothing is proven, not even when no connection could be opened: an earlier attempt with
// the key may have run there.
func (f *Forwarder) relayToKeyOwner(j *job, entry string) {
	t := &attempt{forwarder: f, job: j, start: time.Now(), id: f.attemptPrefix + strconv.FormatUint(f.serial.Add(1), 36)}
	err := f.setRelayEntry(t, entry)
	var a *answer
	answered := false
	if err == nil {
		j.avoid = append(j.avoid, entry)
		a, err = t.send()
		answered = t.resp != nil
	}
	if err == nil {
		f.deliver(j, a)
		return
	}
	f.logFailure(t, err)
	if !answered && err.Verdict() == verdict.NotRun {
		err = verdict.NewError(verdict.MayHaveRun, err.Reason(), 502, err)
	}
	f.refuseAndCount(j, err)
}
