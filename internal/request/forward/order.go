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

// order lets the home of the request's key run it at most once.
func (f *Forwarder) order(j *job) {
	if f.d.Orders == nil {
		f.tell(j, beforeHome(j.r, bad(503, verdict.ReasonIsolated, "orders are not served here")))
		return
	}
	g, err := f.d.Orders.Begin(j.ctx, Key{
		Tenant: j.tenant, Service: j.service.Name(), Text: j.key, Request: xxhash.Sum64String(j.r.Method + " " + j.path),
	})
	switch {
	case err != nil:
		e, ok := errors.AsType[*verdict.Error](err)
		if !ok {
			e = verdict.New(verdict.MayHaveRun, verdict.ReasonRepeat, 502, err)
		}
		f.tell(j, e)
	case g.Answer != nil:
		f.repeat(j, g.Answer)
	case g.Run != nil:
		f.runOrder(j, g.Run)
	default:
		f.sendHome(j, g.Entry)
	}
}

// runOrder dispatches an order and records how it ended, whatever happens on the way.
func (f *Forwarder) runOrder(j *job, run Run) {
	settled := false
	defer func() {
		if !settled {
			run.Fail(verdict.MayHaveRun)
		}
	}()
	a, err := f.attemptAll(j)
	if err != nil {
		settled = true
		run.Fail(err.Verdict())
		f.tell(j, err)
		return
	}
	if !a.more {
		settled = true
		run.Finish(record(a, true))
		f.deliver(j, a)
		return
	}
	// A response that is cut on its way panics in deliver and fails the run above.
	f.deliver(j, a)
	settled = true
	run.Finish(record(a, false))
}

// record copies what a repeat of the order is answered with.
func record(a *answer, complete bool) Answer {
	h := make(http.Header)
	copyHeader(h, a.t.resp.Header, answerDrop)
	h[headerServed] = []string{a.served}
	r := Answer{Status: a.t.resp.StatusCode, Header: h, Whole: complete}
	if complete {
		r.Body = slices.Clone(a.body)
	}
	return r
}

// repeat answers a repeated order with its first outcome.
func (f *Forwarder) repeat(j *job, a *Answer) {
	h := j.w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h[headerVerdict] = ranText
	h[headerReason] = []string{string(verdict.ReasonRepeat)}
	h[headerVia] = []string{f.s.Name}
	status, body := a.Status, a.Body
	if !a.Whole {
		status, body = http.StatusConflict, []byte("forward: the order has run; its response was too long to be kept\n")
		h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	j.w.WriteHeader(status)
	_, _ = j.w.Write(body) // A caller that has gone needs no answer.
}

// sendHome relays an order to the home of its key. Without an answer nothing is
// proven, not even when no connection could be opened: an earlier attempt of
// the key may have run there.
func (f *Forwarder) sendHome(j *job, entry string) {
	t := &attempt{f: f, j: j, start: time.Now(), id: f.prefix + strconv.FormatUint(f.serial.Add(1), 36)}
	err := f.aimEntry(t, entry)
	var a *answer
	answered := false
	if err == nil {
		j.avoid = append(j.avoid, entry)
		a, err = t.run()
		answered = t.resp != nil
	}
	if err == nil {
		f.deliver(j, a)
		return
	}
	f.report(t, err)
	if !answered && err.Verdict() == verdict.NotRun {
		err = verdict.New(verdict.MayHaveRun, err.Reason(), 502, err)
	}
	f.tell(j, err)
}
