package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/verdict"
)

// relayedAnswer reads the response of another entry and adopts its verdict, unless the response names another attempt.
func (t *attempt) relayedAnswer() (*answer, *verdict.Error) {
	h := t.resp.Header
	if id := h.Get(headerAttempt); id != "" && id != t.id {
		t.outcome = Failed
		_ = t.resp.Body.Close()
		return nil, verdict.NewError(verdict.MayHaveRun, verdict.ReasonConnect, 502, fmt.Errorf("forward: entry %s answers attempt %q in place of %q", t.name, id, t.id))
	}
	v, err := verdict.Parse(h.Get(headerVerdict))
	if err != nil {
		t.outcome = Failed
		_ = t.resp.Body.Close()
		return nil, verdict.NewError(verdict.MayHaveRun, verdict.ReasonConnect, 502, err)
	}
	if v == verdict.Ran {
		return t.readAnswer()
	}
	t.outcome = refusalOutcome(v, verdict.Reason(h.Get(headerReason)))
	t.discardBody()
	e := verdict.NewError(v, verdict.Reason(h.Get(headerReason)), t.resp.StatusCode,
		errors.New("forward: reported by entry "+t.name))
	if s, err := strconv.Atoi(h.Get(headerRetryAfter)); err == nil && s > 0 {
		e = e.WithRetryAfter(time.Duration(s) * time.Second)
	}
	return nil, e
}

// refusalOutcome returns the outcome that another entry's refusal stands for: Shed means that the entry has no capacity.
func refusalOutcome(v verdict.Verdict, r verdict.Reason) Outcome {
	switch {
	case v == verdict.MayHaveRun:
		return Failed
	case r == verdict.ReasonDeadline, r == verdict.ReasonCancelled, r == verdict.ReasonBadInput, r == verdict.ReasonTenant:
		return Cancelled
	default:
		return Shed
	}
}

// readAnswer reads a response of up to maxBuffered bytes completely, before any of it is sent to the caller.
func (t *attempt) readAnswer() (*answer, *verdict.Error) {
	a := &t.answer
	*a = answer{attempt: t, servedBy: t.name, via: t.forwarder.settings.Name}
	if t.relayed {
		a.servedBy, a.reason = t.resp.Header.Get(headerServedBy), t.resp.Header.Get(headerReason)
		a.via = t.resp.Header.Get(headerVia) + ", " + t.forwarder.settings.Name
	}
	if t.resp.Body == nil || t.resp.ContentLength == 0 {
		_ = t.resp.Body.Close()
		return a, nil
	}
	a.buf = buffers.Get().(*[maxBuffered]byte)
	n, err := io.ReadFull(t.resp.Body, a.buf[:])
	a.body, a.bytesIn = a.buf[:n], int64(n)
	if t.pacer != nil && n > 0 && err != nil && reachedEnd(err) {
		if perr := t.pacer.WaitIn(t.job.ctx, n); perr != nil {
			err = perr
		}
	}
	switch {
	case err == nil:
		a.hasMore = t.resp.ContentLength != maxBuffered || !atEnd(t.resp.Body)
	case reachedEnd(err):
	default:
		a.releaseBuffer()
		return nil, t.cutAnswer(err)
	}
	return a, nil
}

// atEnd reports whether a body that has filled the buffer exactly is complete.
func atEnd(body io.Reader) bool {
	n, err := body.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

// reachedEnd reports whether a read that did not fill the buffer reached the regular
// end of the response; the error of a cut one is a *pool.Failure.
func reachedEnd(err error) bool {
	_, failed := errors.AsType[*pool.Failure](err)
	return !failed && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
}

// cutAnswer closes a response that was cut and returns the error and verdict.
func (t *attempt) cutAnswer(err error) *verdict.Error {
	_ = t.resp.Body.Close()
	t.outcome = Failed
	reason, status := verdict.ReasonTruncatedAnswer, 502
	if f, ok := errors.AsType[*pool.Failure](err); ok && f.Kind() != pool.ConnectionBroken {
		reason, status = t.classify(f.Kind())
	}
	return verdict.NewError(verdict.MayHaveRun, reason, status, err)
}

func (a *answer) releaseBuffer() {
	if a.buf != nil {
		buffers.Put(a.buf)
		a.buf, a.body = nil, nil
	}
}

// deliver sends an answer to the caller. When a streamed response is cut, it panics with
// http.ErrAbortHandler, which closes the caller's connection.
func (f *Forwarder) deliver(j *job, a *answer) {
	defer a.releaseBuffer()
	if !a.hasMore {
		f.reportResult(a, Answered)
	}
	f.writeHead(j, a)
	if a.hasMore {
		_ = http.NewResponseController(j.writer).SetWriteDeadline(time.Now().Add(f.settings.Slow))
	}
	_, err := j.writer.Write(a.body)
	if a.hasMore && err == nil {
		err = f.copyRest(j, a)
	}
	if !a.hasMore {
		return
	}
	if err == nil {
		f.reportResult(a, Answered)
		return
	}
	_ = a.attempt.resp.Body.Close()
	outcome := Failed
	if j.ctx.Err() != nil {
		outcome = Cancelled
	}
	f.reportResult(a, outcome)
	j.counters.cut.Inc(1)
	panic(http.ErrAbortHandler)
}

func (f *Forwarder) reportResult(a *answer, k Outcome) {
	if !a.resultReported {
		a.resultReported = true
		a.attempt.completeWithBytes(k, a.bytesIn)
	}
}

func (f *Forwarder) writeHead(j *job, a *answer) {
	h := j.writer.Header()
	copyHeader(h, a.attempt.resp.Header, dropFromAnswer)
	h[headerVerdict] = ranHeader
	a.values.set(h, headerServedBy, a.servedBy)
	a.values.set(h, headerVia, a.via)
	if a.reason != "" {
		a.values.set(h, headerReason, a.reason)
	}
	switch {
	case a.attempt.resp.ContentLength >= 0:
		a.values.set(h, "Content-Length", strconv.FormatInt(a.attempt.resp.ContentLength, 10))
	case !a.hasMore && j.request.Method != http.MethodHead:
		a.values.set(h, "Content-Length", strconv.Itoa(len(a.body)))
	}
	if a.attempt.resp.StatusCode == http.StatusNoContent || a.attempt.resp.StatusCode == http.StatusNotModified {
		delete(h, "Content-Length")
	}
	j.writer.WriteHeader(a.attempt.resp.StatusCode)
}

var ranHeader = []string{verdict.Ran.String()}

// copyRest streams the rest of a long response through one buffer. Each piece is
// flushed, so that a slow caller applies back-pressure to the target.
func (f *Forwarder) copyRest(j *job, a *answer) error {
	control := http.NewResponseController(j.writer)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if a.attempt.pacer != nil {
		if err := a.attempt.pacer.WaitIn(j.ctx, len(a.body)); err != nil {
			return err
		}
	}
	piece := a.buf[:maxBuffered/2]
	for {
		n, err := a.attempt.resp.Body.Read(piece)
		a.bytesIn += int64(n)
		if n > 0 && a.attempt.pacer != nil {
			if perr := a.attempt.pacer.WaitIn(j.ctx, n); perr != nil {
				return perr
			}
		}
		if n > 0 {
			// A caller that stops reading must not hold the slot. A test's response recorder supports no deadlines.
			_ = control.SetWriteDeadline(time.Now().Add(f.settings.Slow))
			if _, werr := j.writer.Write(piece[:n]); werr != nil {
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
