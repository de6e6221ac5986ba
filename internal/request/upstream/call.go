package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Call is one request to a target.
type Call struct {
	Address string
	Method  string
	Target  string // Target is the request target as the caller wrote it.
	Host    string
	Header  http.Header
	Body    []byte
	Framed  bool // Framed has a body of length 0 announced.
	Once    bool // Once says that the request must run at most once.
	// Begin is asked once a connection is there and before the first byte leaves; the call is not
	// made when it returns false. It may be nil.
	Begin func() bool
	// Claim says what an answer is to the request.
	Claim func(status int, h http.Header) Claim
}

// Claim is what an answer is to a request.
type Claim uint8

// The claims.
const (
	Spoiled Claim = iota // Spoiled answers cannot be handed to a caller.
	Foreign              // Foreign answers belong to another request and are skipped.
	Ours                 // Ours is the answer to the request.
)

// Answer is a target's final answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser // Rest follows Body for a large answer; nil when Body is whole.
	Opened time.Duration // Opened is the time from the call to its first byte, spent on a connection.
	Length int64         // Length is that of the whole body; negative when unknown.
}

const (
	// wholeBody is the largest body in bytes that is read before the caller gets any of it,
	// so that a request can be repeated when the answer breaks off.
	wholeBody = 256 << 10
	// inlineBody is the largest request body in bytes that is written before the answer is awaited.
	inlineBody = 16 << 10
	// maxForeign is the most answers to other requests that are skipped.
	maxForeign = 3
	// maxHead is the most bytes of an answer's head, with interim answers, before which it is given up.
	maxHead = 64 << 10
	// maxInterim is the most interim answers that are skipped.
	maxInterim = 8
)

// Do sends the call and returns the answer; the error is a *Failure. The
// context bounds the whole call, the reading of Rest included.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	began := time.Now()
	c, err := p.take(ctx, call.Address, call.Once)
	if err != nil {
		kind := Refused
		if ctx.Err() != nil {
			kind = Cancelled
		}
		return nil, &Failure{kind: kind, opened: time.Since(began), err: err}
	}
	opened := time.Since(began)
	if call.Begin != nil && !call.Begin() {
		if c.until.IsZero() {
			c.rest(nil, time.Now())
		}
		p.put(c)
		return nil, &Failure{kind: Withheld, opened: opened, err: errWithheld}
	}
	c.sent.Store(false)
	_ = c.raw.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, c.interrupt)
	written := c.send(call)
	a, keep, err := c.receive(call)
	if err != nil {
		stop()
		c.abort()
		return nil, failure(ctx, c, opened, err)
	}
	a.Opened = opened
	if a.Rest != nil {
		a.Rest = &rest{ReadCloser: a.Rest, c: c, stop: stop}
		return a, nil
	}
	// A body that is still being written when the answer is complete is not wanted.
	if done := stop(); done && keep && finished(written) && c.br.Buffered() == 0 {
		c.rest(a.Header, time.Now())
		p.put(c)
	} else {
		c.close()
	}
	return a, nil
}

var errWithheld = errors.New("the caller may not make the call")

func finished(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

func failure(ctx context.Context, c *conn, opened time.Duration, err error) *Failure {
	f := &Failure{kind: Broken, sent: c.sent.Load(), opened: opened, err: err}
	var g *garbled
	switch {
	case ctx.Err() != nil:
		f.kind = Cancelled
	case errors.As(err, &g):
		f.kind = Garbled
	}
	return f
}

// garbled is an answer that cannot be taken for the one that was awaited.
type garbled struct{ cause string }

// Error returns the cause.
func (g *garbled) Error() string { return "upstream: " + g.cause }

// send writes the request; a large body is written while the answer is awaited.
func (c *conn) send(call Call) <-chan error {
	written := make(chan error, 1)
	head := call.head()
	if len(call.Body) <= inlineBody {
		written <- c.write(append(head, call.Body...))
		return written
	}
	go func() {
		err := c.write(head)
		if err == nil {
			err = c.write(call.Body)
		}
		written <- err
	}()
	return written
}

func (c *conn) write(b []byte) error {
	c.sent.Store(true)
	_, err := c.raw.Write(b)
	return err
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
	if len(c.Body) > 0 || c.Framed {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive returns the answer to the call and whether the connection may carry another request.
func (c *conn) receive(call Call) (*Answer, bool, error) {
	asked := &http.Request{Method: call.Method}
	foreign, interim := 0, 0
	c.left = maxHead
	for {
		resp, err := http.ReadResponse(c.br, asked)
		if err != nil {
			return nil, false, classify(err)
		}
		if resp.StatusCode < 200 {
			if interim++; interim > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, &garbled{"unexpected interim answer"}
			}
			continue
		}
		switch call.Claim(resp.StatusCode, resp.Header) {
		case Foreign:
			c.left = -1
			if foreign++; foreign > maxForeign || skip(resp) != nil {
				return nil, false, &garbled{"answer to another request"}
			}
			c.left = maxHead
			continue
		case Spoiled:
			return nil, false, &garbled{"answer that is not the target's"}
		}
		c.left = -1
		a, err := read(resp)
		if err != nil {
			return nil, false, classify(err)
		}
		return a, !resp.Close && foreign == 0, nil
	}
}

// unknown is the length of a body that ends with its connection.
const unknown = -1

func skip(resp *http.Response) error {
	if resp.ContentLength == unknown && len(resp.TransferEncoding) == 0 {
		return io.ErrUnexpectedEOF
	}
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, wholeBody))
	return err
}

func read(resp *http.Response) (*Answer, error) {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	var b bytes.Buffer
	if resp.ContentLength > 0 {
		b.Grow(int(min(resp.ContentLength, wholeBody)) + bytes.MinRead)
	}
	n, err := io.Copy(&b, io.LimitReader(resp.Body, wholeBody))
	a.Body = b.Bytes()
	if err != nil {
		return nil, err
	}
	if n == wholeBody {
		a.Rest = resp.Body
		return a, nil
	}
	if a.Length < 0 {
		a.Length = n
	}
	return a, nil
}

// errLongHead ends the reading of a head that is longer than any answer's.
var errLongHead = errors.New("the head of the answer does not end")

func classify(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || isNetwork(err) {
		return err
	}
	return &garbled{err.Error()}
}

func isNetwork(err error) bool {
	var n interface{ Timeout() bool }
	return errors.As(err, &n)
}

// rest is the part of a large body that is passed on as it arrives.
type rest struct {
	io.ReadCloser
	c    *conn
	stop func() bool
}

// Close closes the connection, which is not kept after a large answer.
func (r *rest) Close() error {
	r.stop()
	r.c.close()
	return nil
}
