package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/verdict"
)

// relayed checks what another entry answered: its verdict is taken over.
func (t *attempt) relayed() (*answer, *verdict.Error) {
	h := t.resp.Header
	v, err := verdict.Parse(h.Get(headerVerdict))
	if err != nil {
		t.kind = Failed
		_ = t.resp.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnect, 502, err)
	}
	if v == verdict.Ran {
		return t.takeIn()
	}
	t.kind = refusal(v, verdict.Reason(h.Get(headerReason)))
	t.discard()
	e := verdict.New(v, verdict.Reason(h.Get(headerReason)), t.resp.StatusCode,
		errors.New("forward: told by entry "+t.name))
	if s, err := strconv.Atoi(h.Get(headerAfter)); err == nil && s > 0 {
		e = e.WithRetryAfter(time.Duration(s) * time.Second)
	}
	return nil, e
}

// refusal returns what another entry's refusal says about its room.
func refusal(v verdict.Verdict, r verdict.Reason) Kind {
	switch {
	case v == verdict.MayHaveRun:
		return Failed
	case r == verdict.ReasonDeadline, r == verdict.ReasonCancelled, r == verdict.ReasonInput, r == verdict.ReasonTenant:
		return Cancelled
	default:
		return Shed
	}
}

// takeIn reads a response of up to 64 KB completely, before anything goes to the caller.
func (t *attempt) takeIn() (*answer, *verdict.Error) {
	a := &t.answer
	*a = answer{t: t, served: t.name, via: t.f.s.Name}
	if t.relay {
		a.served, a.reason = t.resp.Header.Get(headerServed), t.resp.Header.Get(headerReason)
		a.via = t.resp.Header.Get(headerVia) + ", " + t.f.s.Name
	}
	if t.resp.Body == nil || t.resp.ContentLength == 0 {
		_ = t.resp.Body.Close()
		return a, nil
	}
	a.buf = buffers.Get().(*[whole]byte)
	n, err := io.ReadFull(t.resp.Body, a.buf[:])
	a.body, a.in = a.buf[:n], int64(n)
	if t.pacer != nil && n > 0 && err != nil && ended(err) {
		if perr := t.pacer.WaitIn(t.j.ctx, n); perr != nil {
			err = perr
		}
	}
	switch {
	case err == nil:
		a.more = t.resp.ContentLength != whole || !atEnd(t.resp.Body)
	case ended(err):
	default:
		a.free()
		return nil, t.cut(err)
	}
	return a, nil
}

// atEnd reports whether a body that has filled the buffer exactly is complete.
func atEnd(body io.Reader) bool {
	n, err := body.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

// ended reports whether a read that filled no whole buffer reached the proper
// end of a response; a cut one is a *pool.Failure.
func ended(err error) bool {
	_, failed := errors.AsType[*pool.Failure](err)
	return !failed && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
}

func (t *attempt) cut(err error) *verdict.Error {
	_ = t.resp.Body.Close()
	t.kind = Failed
	reason, status := verdict.ReasonShort, 502
	if f, ok := errors.AsType[*pool.Failure](err); ok && f.Kind() != pool.Cut {
		reason, status = t.classify(f.Kind())
	}
	return verdict.New(verdict.MayHaveRun, reason, status, err)
}

func (a *answer) free() {
	if a.buf != nil {
		buffers.Put(a.buf)
		a.buf, a.body = nil, nil
	}
}

// deliver passes an answer on; a response that ends short aborts the caller's connection.
func (f *Forwarder) deliver(j *job, a *answer) {
	defer a.free()
	if !a.more {
		f.settle(a, Answered)
	}
	f.writeHead(j, a)
	if a.more {
		_ = http.NewResponseController(j.w).SetWriteDeadline(time.Now().Add(f.s.Slow))
	}
	_, err := j.w.Write(a.body)
	if a.more && err == nil {
		err = f.copyRest(j, a)
	}
	if !a.more {
		return
	}
	if err == nil {
		f.settle(a, Answered)
		return
	}
	_ = a.t.resp.Body.Close()
	kind := Failed
	if j.ctx.Err() != nil {
		kind = Cancelled
	}
	f.settle(a, kind)
	j.counts.cut.Inc(1)
	panic(http.ErrAbortHandler)
}

func (f *Forwarder) settle(a *answer, k Kind) {
	if !a.settled {
		a.settled = true
		a.t.doneIn(k, a.in)
	}
}

func (f *Forwarder) writeHead(j *job, a *answer) {
	h := j.w.Header()
	copyHeader(h, a.t.resp.Header, answerDrop)
	h[headerVerdict] = ranText
	a.values.set(h, headerServed, a.served)
	a.values.set(h, headerVia, a.via)
	if a.reason != "" {
		a.values.set(h, headerReason, a.reason)
	}
	switch {
	case a.t.resp.ContentLength >= 0:
		a.values.set(h, "Content-Length", strconv.FormatInt(a.t.resp.ContentLength, 10))
	case !a.more && j.r.Method != http.MethodHead:
		a.values.set(h, "Content-Length", strconv.Itoa(len(a.body)))
	}
	if a.t.resp.StatusCode == http.StatusNoContent || a.t.resp.StatusCode == http.StatusNotModified {
		delete(h, "Content-Length")
	}
	j.w.WriteHeader(a.t.resp.StatusCode)
}

var ranText = []string{verdict.Ran.String()}

// copyRest streams the rest of a long response in pieces of one buffer. Each
// piece is flushed, so that the caller's speed sets the target's.
func (f *Forwarder) copyRest(j *job, a *answer) error {
	control := http.NewResponseController(j.w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if a.t.pacer != nil {
		if err := a.t.pacer.WaitIn(j.ctx, len(a.body)); err != nil {
			return err
		}
	}
	piece := a.buf[:whole/2]
	for {
		n, err := a.t.resp.Body.Read(piece)
		a.in += int64(n)
		if n > 0 && a.t.pacer != nil {
			if perr := a.t.pacer.WaitIn(j.ctx, n); perr != nil {
				return perr
			}
		}
		if n > 0 {
			// A caller that stops reading must not hold the slot. A recorder in a test knows no deadlines.
			_ = control.SetWriteDeadline(time.Now().Add(f.s.Slow))
			if _, werr := j.w.Write(piece[:n]); werr != nil {
				return werr
			}
			if ferr := control.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
