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
	maxPipelined = 32                     // maxPipelined is the most requests of a connection in progress.
	firstBody    = 256 << 10              // firstBody is the memory that a stated length is given at once, in bytes.
	bodyPause    = 10 * time.Second       // bodyPause is the longest pause within a request's body.
	writePause   = 10 * time.Second       // writePause is how long a caller may take none of an answer.
	lingerTime   = 500 * time.Millisecond // lingerTime is how long a closing connection reads on, because unread bytes would reset the last answer.
)

// exchange is one request and its place in the order of answers.
type exchange struct {
	request *Request // request is nil for an interim answer.
	answer  chan *Answer
}

// conn is one caller's connection.
type conn struct {
	s        *Server
	raw      net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	ctx      context.Context
	cancel   context.CancelFunc
	heard    time.Time // heard is when bytes were last read; it belongs to the reader.
	queue    chan *exchange
	pending  atomic.Int32 // pending counts the exchanges that are not answered.
	idle     sync.Cond    // idle is signalled when pending falls.
	mu       sync.Mutex
	reading  bool         // reading is set while a request arrives; mu guards it.
	used     atomic.Int64 // used is when the last answer was written, in Unix nanoseconds.
	ended    atomic.Bool  // ended is set when no further request is read.
	settling atomic.Bool  // settling is set while the reader waits for the answers in progress.
	finished atomic.Bool  // finished is set when the last answer has been written.
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{s: s, raw: raw, queue: make(chan *exchange, maxPipelined)}
	c.idle.L = &c.mu
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) run() {
	defer c.raw.Close() //nolint:errcheck // the connection has ended
	defer c.cancel()
	c.br = bufio.NewReaderSize(hearing{c}, c.s.handler.Limits().Header+1)
	c.bw = bufio.NewWriterSize(c.raw, 4<<10)
	c.used.Store(time.Now().UnixNano())
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.queue)
	<-written
}

// wake has a reader that waits for a request look at the server's phase. A
// request that has begun to arrive is not disturbed.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		c.interrupt()
	}
}

// interrupt ends a read in progress.
func (c *conn) interrupt() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) }

// arriving notes whether a request has begun to arrive.
func (c *conn) arriving(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = on
}

// cut ends the connection at once.
func (c *conn) cut() {
	c.cancel()
	_ = c.raw.Close()
}

// read reads requests until the caller leaves, sends one that cannot be
// answered, or the connection is to end.
func (c *conn) read() {
	for c.await() {
		c.arriving(true)
		r, err := c.next()
		c.arriving(false)
		if err != nil {
			c.release(r)
			c.reject(err)
			return
		}
		if !c.s.handler.Repeatable(r) {
			c.settle()
		}
		if !c.admit(r) {
			return
		}
	}
}

// await waits for the first byte of a request. It returns false when the
// connection is to end; a caller that has left ends the work for it.
func (c *conn) await() bool {
	for {
		if c.ended.Load() {
			c.listen()
			return false
		}
		if c.s.phase.Load() == closing && c.br.Buffered() == 0 && c.pending.Load() == 0 {
			return false
		}
		limit := c.s.handler.Limits().IdleTimeout
		_ = c.raw.SetReadDeadline(time.Now().Add(limit))
		if c.s.phase.Load() == closing && c.pending.Load() == 0 {
			c.interrupt()
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.cancel()
			return false
		}
		if c.s.phase.Load() == closing {
			if c.pending.Load() == 0 {
				return false
			}
			c.settle()
			continue
		}
		if c.pending.Load() == 0 && time.Since(time.Unix(0, c.used.Load())) >= limit {
			return false
		}
	}
}

// listen reads on behind the last request, to notice that the caller has
// left, until the last answer has been written and the caller has closed.
func (c *conn) listen() {
	var scratch [512]byte
	for {
		if c.finished.Load() {
			_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		} else {
			_ = c.raw.SetReadDeadline(time.Now().Add(c.s.handler.Limits().IdleTimeout))
		}
		_, err := c.br.Read(scratch[:])
		var timeout net.Error
		switch {
		case err == nil:
		case !c.finished.Load() && errors.As(err, &timeout) && timeout.Timeout():
			// Another goroutine only asked to look at the state of the server.
		default:
			c.cancel()
			return
		}
	}
}

// settle waits until every exchange is answered. It reads on meanwhile, so
// that a caller that leaves is noticed as long as it has sent nothing more.
func (c *conn) settle() {
	c.settling.Store(true)
	defer c.settling.Store(false)
	for c.pending.Load() > 0 && c.ctx.Err() == nil {
		if c.br.Buffered() > 0 {
			c.awaitAnswer()
			continue
		}
		_ = c.raw.SetReadDeadline(time.Time{})
		if c.pending.Load() == 0 {
			return
		}
		_, err := c.br.Peek(1)
		var timeout net.Error
		if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
			c.cancel()
			return
		}
	}
}

// awaitAnswer waits for the next answer.
func (c *conn) awaitAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := c.pending.Load(); n > 0 && c.pending.Load() == n && c.ctx.Err() == nil; {
		c.idle.Wait()
	}
}

func (c *conn) next() (*Request, error) {
	limits, arrived := c.s.handler.Limits(), c.heard
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := readHead(c.br, min(limits.Header, c.br.Size()))
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	hr, err := parse(c.br)
	if err != nil {
		return nil, err
	}
	r := &Request{
		Method: hr.Method, Target: hr.RequestURI, Host: hr.Host, Header: hr.Header, Arrived: arrived,
		close: hr.Close, old: hr.ProtoMinor == 0,
	}
	r.Path, _, _ = strings.Cut(r.Target, "?")
	return r, c.body(r, hr, limits)
}

// body reads the whole body, so that it can be sent to more than one target.
func (c *conn) body(r *Request, hr *http.Request, limits Limits) error {
	if hr.ContentLength > limits.Body {
		return &problem{http.StatusRequestEntityTooLarge, "body is too large"}
	}
	if hr.ContentLength == 0 {
		return nil
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") {
		c.settle()
		c.queue <- &exchange{}
	}
	// A stated length is not believed beyond the first allocation.
	buffer := make([]byte, 0, min(max(hr.ContentLength, 4<<10), firstBody))
	for int64(len(buffer)) != hr.ContentLength {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(bodyPause))
		n, err := hr.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		r.held += int64(n)
		if c.s.held.Add(int64(n)) > limits.Held {
			return &problem{http.StatusServiceUnavailable, "too many bytes of bodies are held"}
		}
		if int64(len(buffer)) > limits.Body {
			return &problem{http.StatusRequestEntityTooLarge, "body is too large"}
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

// admit starts the work on a request and reports whether to read on.
func (c *conn) admit(r *Request) bool {
	if c.ctx.Err() != nil {
		c.release(r)
		return false
	}
	last := r.close || r.old
	if last {
		c.ended.Store(true)
	}
	e := &exchange{request: r, answer: make(chan *Answer, 1)}
	c.pending.Add(1)
	c.queue <- e
	go func() {
		a := c.s.handler.Serve(c.ctx, r)
		// The caller may send the next body as soon as it has the answer.
		c.release(r)
		e.answer <- a
	}()
	return true
}

// release gives the room of the request's body back.
func (c *conn) release(r *Request) {
	if r != nil {
		c.s.held.Add(-r.held)
		r.held = 0
	}
}

// reject answers a request that could not be read, behind the earlier answers.
func (c *conn) reject(err error) {
	var timeout net.Error
	var p *problem
	switch {
	case errors.As(err, &p):
	case errors.As(err, &timeout) && timeout.Timeout():
		p = &problem{http.StatusRequestTimeout, "request did not arrive in time"}
	default:
		c.cancel()
		return
	}
	a := Refusal(p.status)
	a.Close = true
	e := &exchange{request: &Request{close: true}, answer: make(chan *Answer, 1)}
	e.answer <- a
	c.pending.Add(1)
	c.ended.Store(true)
	c.queue <- e
	c.settle()
	c.listen()
}

// write writes the answers in the order of the requests.
func (c *conn) write() {
	open := true
	for e := range c.queue {
		if !open {
			c.done(e)
			continue
		}
		open = c.answer(e)
		c.used.Store(time.Now().UnixNano())
		if !open {
			// Nothing that was read behind this answer may begin once it counts as answered.
			c.end()
		}
		c.done(e)
	}
}

func (c *conn) done(e *exchange) {
	if e.request == nil {
		return
	}
	c.mu.Lock()
	c.pending.Add(-1)
	c.idle.Broadcast()
	c.mu.Unlock()
	if c.settling.Load() {
		c.interrupt()
	}
}

// answer writes one answer and reports whether the connection stays open.
func (c *conn) answer(e *exchange) bool {
	if e.request == nil {
		_, _ = c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		return c.bw.Flush() == nil
	}
	a := <-e.answer
	if a == nil || c.ctx.Err() != nil {
		if a != nil && a.Rest != nil {
			_ = a.Rest.Close()
		}
		return false
	}
	// Requests that were read behind this one are answered first, so that none of them is lost.
	last := c.s.phase.Load() != serving && c.pending.Load() == 1
	shut := a.Close || e.request.close || e.request.old || last
	if shut {
		c.ended.Store(true)
	}
	w := writer{bw: c.bw, raw: c.raw}
	if err := w.write(e.request, a, shut); err != nil {
		if a.Cut != nil {
			a.Cut(err)
		}
		return false
	}
	return !shut
}

// end closes the connection behind its last answer.
func (c *conn) end() {
	c.ended.Store(true)
	c.finished.Store(true)
	if t, ok := c.raw.(*net.TCPConn); ok && c.ctx.Err() == nil {
		_ = t.CloseWrite()
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		c.cancel()
		return
	}
	c.cancel()
	_ = c.raw.Close()
}
