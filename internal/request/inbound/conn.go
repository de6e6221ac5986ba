package inbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxPipelined     = 32               // maxPipelined is the largest number of requests in progress on a connection.
	maxInitialBuffer = 256 << 10        // maxInitialBuffer is the largest buffer in bytes that is allocated for a body by its Content-Length alone.
	bodyReadTimeout  = 10 * time.Second // bodyReadTimeout is the longest pause within a request's body.
	writeTimeout     = 10 * time.Second // writeTimeout is how long a write of an answer may block.
	// arrivedTimeout is how long a closing connection is read for a request that has arrived before it is closed.
	arrivedTimeout = 10 * time.Millisecond
	// firstRequestTimeout is the same for a connection without a request yet, from when it was accepted.
	firstRequestTimeout = 300 * time.Millisecond
	lingerTimeout       = 500 * time.Millisecond // lingerTimeout is how long a closing connection is still read: closing with unread bytes sends a reset, which can discard the last answer.
)

// exchange is one request and its answer, queued in the order of the requests.
type exchange struct {
	request *Request // request is nil for an interim answer.
	answer  chan *Answer
}

// conn is one caller's connection.
type conn struct {
	server            *Server
	raw               net.Conn
	br                *bufio.Reader
	bw                *bufio.Writer
	ctx               context.Context
	cancel            context.CancelFunc
	lastRead          time.Time // lastRead is when bytes were last read; only the reading goroutine uses it.
	queue             chan *exchange
	pending           atomic.Int32 // pending is the number of exchanges that are not answered yet.
	pendingFell       sync.Cond    // pendingFell is signalled when pending falls.
	mu                sync.Mutex
	receiving         bool          // receiving is set while a request is being received; guarded by mu.
	lastWritten       atomic.Int64  // lastWritten is when the last answer was written, in Unix nanoseconds.
	noMoreRequests    atomic.Bool   // noMoreRequests is set when no further request is read.
	awaitingAnswers   atomic.Bool   // awaitingAnswers is set while the reader waits for the answers in progress.
	accepted          time.Time     // accepted is when the connection was accepted.
	requests          int           // requests counts the requests read; only the reading goroutine uses it.
	lastAnswerWritten atomic.Bool   // lastAnswerWritten is set when the last answer of the connection has been written.
	expired           chan struct{} // expired is closed when the requests in progress get no more time.
	expireOnce        sync.Once
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, queue: make(chan *exchange, maxPipelined), accepted: time.Now(), expired: make(chan struct{})}
	c.pendingFell.L = &c.mu
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) run() {
	defer c.raw.Close() //nolint:errcheck // the connection is no longer used
	defer c.cancel()
	c.br = bufio.NewReaderSize(timedReader{c}, c.server.handler.Limits().Header+1)
	c.bw = bufio.NewWriterSize(c.raw, 4<<10)
	c.lastWritten.Store(time.Now().UnixNano())
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers()
	}()
	c.readRequests()
	close(c.queue)
	<-written
}

// wakeReader makes a reader that waits for a request check the server's phase
// again. A request that is being received is not interrupted.
func (c *conn) wakeReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receiving {
		c.interruptRead()
	}
}

// interruptRead makes a read in progress fail with a timeout.
func (c *conn) interruptRead() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) }

// setReceiving records whether a request is being received.
func (c *conn) setReceiving(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = on
}

// abort cancels the requests in progress and closes the connection at once.
func (c *conn) abort() {
	c.cancel()
	_ = c.raw.Close()
}

// readRequests reads requests until the caller disconnects or sends an invalid
// request, or the connection is to be closed.
func (c *conn) readRequests() {
	for c.awaitRequest() {
		c.setReceiving(true)
		c.requests++
		r, err := c.readRequest()
		c.setReceiving(false)
		if err != nil {
			c.releaseBody(r)
			c.answerError(err)
			return
		}
		// An earlier answer may close the connection, and the caller then sends this request again. While the server
		// stops, the last pending one does, and the answer to a request behind it could miss the end of the grace period.
		if c.server.phase.Load() != serving || !c.server.handler.Repeatable(r) {
			c.awaitAnswers()
		}
		if !c.startRequest(r) {
			c.awaitClose()
			return
		}
	}
}

func (c *conn) readRequest() (*Request, error) {
	limits, arrived := c.server.handler.Limits(), c.lastRead
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := readHead(c.br, min(limits.Header, c.br.Size()))
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	hr, err := parseRequest(c.br)
	if err != nil {
		return nil, err
	}
	r := &Request{
		Method: hr.Method, Target: hr.RequestURI, Host: hr.Host, Header: hr.Header, Arrived: arrived,
		closeRequested: hr.Close, http10: hr.ProtoMinor == 0,
	}
	r.Path, _, _ = strings.Cut(r.Target, "?")
	return r, c.readBody(r, hr, limits)
}

// readBody reads the complete body, so that it can be sent to more than one target.
func (c *conn) readBody(r *Request, hr *http.Request, limits Limits) error {
	if hr.ContentLength > limits.Body {
		return &requestError{http.StatusRequestEntityTooLarge, "body is too large"}
	}
	if hr.ContentLength == 0 {
		return nil
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") {
		c.awaitAnswers()
		c.queue <- &exchange{}
	}
	// Content-Length is not trusted beyond the first allocation.
	buffer := make([]byte, 0, min(max(hr.ContentLength, 4<<10), maxInitialBuffer))
	for int64(len(buffer)) != hr.ContentLength {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(bodyReadTimeout))
		n, err := hr.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		r.bufferedBytes += int64(n)
		if c.server.bufferedBytes.Add(int64(n)) > limits.BufferedBytes {
			return &requestError{http.StatusServiceUnavailable, "request bodies exceed the memory limit"}
		}
		if int64(len(buffer)) > limits.Body {
			return &requestError{http.StatusRequestEntityTooLarge, "body is too large"}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	r.Body = buffer
	return nil
}

// startRequest passes a request to the handler and reports whether further requests may be read.
func (c *conn) startRequest(r *Request) bool {
	if !c.admitRequest(r) {
		c.releaseBody(r)
		return false
	}
	e := &exchange{request: r, answer: make(chan *Answer, 1)}
	c.queue <- e
	go func() {
		a := c.server.handler.Serve(c.ctx, r)
		// The body is released before the answer is written, because the caller may
		// send its next body as soon as it has the answer.
		c.releaseBody(r)
		e.answer <- a
	}()
	return true
}

// admitRequest counts the request as pending unless the connection is closed or an answer that closes it has been chosen.
func (c *conn) admitRequest(r *Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil || c.noMoreRequests.Load() {
		return false
	}
	if r.closeRequested || r.http10 {
		c.noMoreRequests.Store(true)
	}
	c.pending.Add(1)
	return true
}

// releaseBody subtracts the request's body from the server's buffered bytes.
func (c *conn) releaseBody(r *Request) {
	if r != nil {
		c.server.bufferedBytes.Add(-r.bufferedBytes)
		r.bufferedBytes = 0
	}
}

// answerError answers a request that could not be read, after the earlier answers.
func (c *conn) answerError(err error) {
	var timeout net.Error
	var p *requestError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &timeout) && timeout.Timeout():
		p = &requestError{http.StatusRequestTimeout, "request did not arrive in time"}
	default:
		c.cancel()
		return
	}
	a := EmptyAnswer(p.status)
	a.Close = true
	e := &exchange{request: &Request{closeRequested: true}, answer: make(chan *Answer, 1)}
	e.answer <- a
	c.pending.Add(1)
	c.noMoreRequests.Store(true)
	c.queue <- e
	c.awaitAnswers()
	c.awaitClose()
}
