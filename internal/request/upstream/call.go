package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tamarackspool/internal/request/head"
)

// Call is one request to a target.
type Call struct {
	Address           string
	Method            string
	Target            string // Target is the request target, path and query, as the caller sent it.
	Host              string
	Header            http.Header
	Body              []byte
	SendContentLength bool // SendContentLength sends Content-Length: 0 for an empty body.
	AtMostOnce        bool // AtMostOnce is set when the request must run at most once; it gets a connection of its own.
	// BeforeSend is called when a connection is available and before the first byte is sent. The request
	// is not sent when it returns false. It may be nil.
	BeforeSend func() bool
	// Classify returns the class of an answer by its status and header.
	Classify func(status int, h http.Header) AnswerClass
}

// AnswerClass says whether an answer belongs to a request.
type AnswerClass uint8

// The classes of answers.
const (
	Unusable     AnswerClass = iota // Unusable is an answer that must not be passed to a caller.
	OtherRequest                    // OtherRequest is an answer to another request; it is skipped.
	Matching                        // Matching is the answer to this request.
	// Unidentified is the answer to this request, but does not name it. Its connection is not used again,
	// because a late second copy of it would pass for the answer to the next request.
	Unidentified
)

// Answer is a target's final answer.
type Answer struct {
	Status      int
	Header      http.Header
	Body        []byte
	BodyRest    io.ReadCloser // BodyRest follows Body for a large answer; nil when Body is whole.
	ConnectTime time.Duration // ConnectTime is the time that it took to obtain a connection, before the first byte was sent.
	Length      int64         // Length is the length of the whole body in bytes; negative when unknown.
	Named       bool          // Named is set when the answer names the request.
	Earlier     int           // Earlier is the number of requests that the connection had carried before this one.
	SentWhole   bool          // SentWhole is set when the whole request had been written when the answer was complete.

	release func() // release ends the count of the bytes held; it may be nil.
}

// Discard ends an answer that nobody reads to its end, with its connection if some of the body has not been read.
func (a *Answer) Discard() {
	a.Release()
	if a.BodyRest != nil {
		_ = a.BodyRest.Close()
	}
}

const (
	// maxBufferedBody is the largest answer body in bytes that is buffered before any of it is passed on,
	// so that the request can be retried when the answer is cut.
	maxBufferedBody = 256 << 10
	// maxInlineBody is the largest request body in bytes that is written before the answer is awaited.
	maxInlineBody = 16 << 10
	// maxOtherAnswers is the largest number of answers to other requests that are skipped.
	maxOtherAnswers = 3
	// maxHead is the largest head of an answer in bytes, interim answers included.
	maxHead = 64 << 10
	// maxInterim is the largest number of interim (1xx) answers that are skipped.
	maxInterim = 8
)

// Do sends the call and returns the answer; the error is a *Failure. The
// context bounds the whole call, including reads of BodyRest.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	began := time.Now()
	c, err := p.acquire(ctx, call.Address, call.AtMostOnce)
	if err != nil {
		kind := ConnectFailed
		if ctx.Err() != nil {
			kind = Cancelled
		}
		return nil, &Failure{kind: kind, connectTime: time.Since(began), err: err}
	}
	connectTime := time.Since(began)
	if call.BeforeSend != nil && !call.BeforeSend() {
		if c.expires.IsZero() { // A new connection has no expiry time yet.
			c.markIdle(nil, time.Now())
		}
		p.putIdle(c, call.maxIdle())
		return nil, &Failure{kind: Withheld, connectTime: connectTime, err: errWithheld}
	}
	if call.AtMostOnce && c.hasUnreadBytes() {
		c.abort()
		p.countInvalid(errUnasked)
		return nil, &Failure{kind: InvalidAnswer, connectTime: connectTime, err: errUnasked}
	}
	c.sent.Store(false)
	c.requests++
	_ = c.raw.SetDeadline(time.Time{})
	stopInterrupt := context.AfterFunc(ctx, c.interrupt)
	endGuard := func() {}
	if len(call.Body) > maxInlineBody {
		endGuard = c.guardBody()
	}
	stop := func() bool {
		endGuard()
		return stopInterrupt()
	}
	request := c.send(call)
	a, keep, err := c.receive(call, request)
	if err != nil {
		stop()
		c.abort()
		return nil, p.newFailure(ctx, c, connectTime, err)
	}
	a.ConnectTime, a.Earlier = connectTime, c.requests-1
	a.SentWhole = request.succeeded()
	if a.BodyRest != nil {
		a.BodyRest = &bodyRest{ReadCloser: a.BodyRest, pool: p, c: c, stop: stop}
		return a, nil
	}
	// If the body is still being written when the answer is complete, the target has
	// not read it, and the connection can't be reused.
	if done := stop(); done && keep && a.SentWhole && c.br.Buffered() == 0 {
		c.markIdle(a.Header, time.Now())
		p.putIdle(c, call.maxIdle())
	} else {
		c.close()
	}
	return a, nil
}

// errUnasked means that the target sent bytes before it was sent the request, so that they cannot be an answer to it.
var errUnasked = &invalidAnswerError{cause: "bytes before the request"}

var errWithheld = errors.New("call withheld before it was sent")

func (p *Pool) newFailure(ctx context.Context, c *conn, connectTime time.Duration, err error) *Failure {
	f := &Failure{kind: ConnectionLost, sent: c.sent.Load(), connectTime: connectTime, err: err}
	var g *invalidAnswerError
	switch {
	case ctx.Err() != nil:
		f.kind = Cancelled
	case errors.As(err, &g):
		f.kind = InvalidAnswer
		p.countInvalid(err)
	}
	return f
}

// invalidAnswerError means that the bytes received are not a valid answer to the request.
type invalidAnswerError struct {
	cause string
	err   error // err is the error behind the cause; it may be nil.
}

// Error returns the cause.
func (g *invalidAnswerError) Error() string { return "upstream: " + g.cause }

// Unwrap returns the error behind the cause.
func (g *invalidAnswerError) Unwrap() error { return g.err }

// send writes the request; a large body is written while the answer is awaited.
func (c *conn) send(call Call) *transfer {
	t := newTransfer()
	head := call.head()
	if len(call.Body) <= maxInlineBody {
		t.end(c.write(append(head, call.Body...)))
		return t
	}
	go func() {
		err := c.write(head)
		if err == nil {
			err = c.write(call.Body)
		}
		t.end(err)
	}()
	return t
}

func (c *conn) write(b []byte) error {
	c.sent.Store(true)
	_, err := c.raw.Write(b)
	return err
}

// maxIdle returns the limit of idle connections to the target up to which the call's connection is kept.
func (c Call) maxIdle() int {
	if c.AtMostOnce {
		return maxIdleAfterOnce
	}
	return maxIdlePerTarget
}

func (c Call) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Target, c.Host)
	for name, values := range c.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(c.Body) > 0 || c.SendContentLength {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive returns the answer to the call and whether the connection may carry another request.
func (c *conn) receive(call Call, request *transfer) (*Answer, bool, error) {
	req := &http.Request{Method: call.Method}
	otherAnswers, interim := 0, 0
	c.readLimit = maxHead
	for {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, false, readError(err)
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, &invalidAnswerError{cause: "unexpected interim answer"}
			}
			continue
		}
		class := call.Classify(resp.StatusCode, resp.Header)
		switch class {
		case OtherRequest:
			c.readLimit = -1
			if otherAnswers++; otherAnswers > maxOtherAnswers {
				return nil, false, &invalidAnswerError{cause: "answer to another request"}
			}
			if err := discardBody(resp); err != nil {
				return nil, false, &invalidAnswerError{"answer to another request: " + err.Error(), err}
			}
			c.readLimit = maxHead
			continue
		case Unusable:
			return nil, false, &invalidAnswerError{cause: "answer was not produced by the target"}
		}
		c.readLimit = -1
		if endsWithConnection(resp) {
			resp.Body = &uploadBoundBody{resp.Body, request}
		}
		a, err := readAnswer(resp, c.held)
		if err != nil {
			return nil, false, readError(err)
		}
		a.Named = class == Matching
		return a, !resp.Close && otherAnswers == 0 && class != Unidentified, nil
	}
}

// lengthUnknown is the length of a body that is delimited by the end of its connection.
const lengthUnknown = -1

var errBodyTooLong = errors.New("body is too long to be skipped")

// discardBody reads a body of up to maxBufferedBody to its end, so that the next byte is that of another answer.
func discardBody(resp *http.Response) error {
	if endsWithConnection(resp) {
		return io.ErrUnexpectedEOF
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBody+1))
	if err == nil && n > maxBufferedBody {
		return errBodyTooLong
	}
	return err
}

// errHeadTooLong is returned by reads beyond maxHead.
var errHeadTooLong = errors.New("answer head is too long")

// readError returns a connection's error unchanged and any other error as an invalidAnswerError.
func readError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || isNetworkError(err) {
		return err
	}
	return &invalidAnswerError{err.Error(), err}
}

func isNetworkError(err error) bool {
	var n interface{ Timeout() bool }
	return errors.As(err, &n)
}

// bodyRest is the unbuffered part of a large body, which is streamed.
type bodyRest struct {
	io.ReadCloser
	pool *Pool
	c    *conn
	stop func() bool
}

// Read returns the next part of the body; io.EOF means that it is complete.
func (r *bodyRest) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if errors.Is(err, head.ErrInvalid) {
		r.pool.countInvalid(err)
	}
	return n, err
}

// Close closes the connection; connections are not reused after a large answer.
func (r *bodyRest) Close() error {
	r.stop()
	r.c.close()
	return nil
}
