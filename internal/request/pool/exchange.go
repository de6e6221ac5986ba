package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// holdTime is how long a body waits for the other side to ask for it.
const holdTime = time.Second

// exchange is one request and its response on a connection.
type exchange struct {
	p    *Pool
	c    *conn
	call Call
	ctx  context.Context
	stop func() bool
	body *upload // body is nil when the request has none.
	once sync.Once
}

// Do sends the request and returns the response once its header has arrived.
// The error is a *Failure. The response's body reports io.EOF only when the
// response is complete by its own framing; the caller must close it.
func (p *Pool) Do(ctx context.Context, call Call) (*http.Response, error) {
	c, err := p.acquire(ctx, call)
	if err != nil {
		kind := Connect
		if ctx.Err() != nil {
			kind = Cancelled
		}
		return nil, &Failure{kind: kind, err: err}
	}
	c.begin(ctx)
	e := &exchange{p: p, c: c, call: call, ctx: ctx}
	c.exchange = e
	e.stop = context.AfterFunc(ctx, c.cut)
	if err := e.send(); err != nil {
		return nil, e.fail(err)
	}
	resp, err := e.receive()
	if err != nil {
		return nil, e.fail(err)
	}
	return resp, nil
}

func (e *exchange) send() error {
	r := e.call.Request
	if r.Body == nil || r.Body == http.NoBody {
		return e.write()
	}
	if b, ok := r.Body.(Whole); ok && b.Whole() {
		return e.write()
	}
	if !e.p.start() {
		return errClosed
	}
	e.body = newUpload(r.Body, e.c.bw.Flush, e.call.Hold)
	r.Body = e.body
	go func() {
		defer e.p.wg.Done()
		err := e.write()
		e.body.finish(err)
		if err != nil {
			// The reader must not wait for a response to half a request.
			_ = e.c.raw.SetReadDeadline(time.Now().Add(finalWait))
		}
	}()
	return nil
}

// finalWait is how long a response may still arrive after the body could not be sent.
const finalWait = 100 * time.Millisecond

// Whole is implemented by bodies that are held in memory, which are sent before the response is awaited.
type Whole interface{ Whole() bool }

func (e *exchange) write() error {
	if err := e.call.Request.Write(plain{e.c.bw}); err != nil {
		return err
	}
	return e.c.bw.Flush()
}

// plain hides bufio.Writer.ReadFrom: the body's reader flushes the writer,
// which must not happen while ReadFrom fills the same buffer.
type plain struct {
	w interface {
		io.Writer
		io.ByteWriter
		io.StringWriter
	}
}

func (p plain) Write(b []byte) (int, error)       { return p.w.Write(b) }
func (p plain) WriteByte(b byte) error            { return p.w.WriteByte(b) }
func (p plain) WriteString(s string) (int, error) { return p.w.WriteString(s) }

// receive waits for the final response header.
func (e *exchange) receive() (*http.Response, error) {
	for {
		if err := e.await(); err != nil {
			return nil, err
		}
		e.c.left = e.p.s.Head
		resp, err := http.ReadResponse(e.c.br, e.call.Request)
		e.c.left = -1
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return e.accept(resp)
		}
		if resp.StatusCode == http.StatusContinue && e.body != nil {
			e.body.release()
		}
	}
}

func (e *exchange) accept(resp *http.Response) (*http.Response, error) {
	if e.body != nil {
		e.body.unwanted()
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !framed && resp.Body != http.NoBody {
		// Without a length or a terminator a cut response looks complete.
		return nil, errors.New("pool: response has neither length nor terminator")
	}
	if resp.Body == http.NoBody {
		e.finish(!resp.Close)
		return resp, nil
	}
	resp.Body = &download{e: e, from: resp.Body, keep: !resp.Close}
	return resp, nil
}

// await waits for the first byte of a response. A request that was written
// completely is asked about over another connection when it takes long.
func (e *exchange) await() error {
	defer func() { e.c.until = 0 }()
	e.c.until = e.p.s.Ask
	last := time.Now()
	for {
		_, err := e.c.br.Peek(1)
		if err == nil {
			return nil
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || e.ctx.Err() != nil || e.c.silent.Load() {
			return err
		}
		if e.body != nil {
			if done, werr := e.body.done(); werr != nil {
				return werr
			} else if !done {
				last = time.Now()
				continue
			}
		}
		switch e.ask() {
		case Running:
			last = time.Now()
		case Unknown:
			return errSilent
		}
		if time.Since(last) >= e.p.s.Progress {
			return errSilent
		}
	}
}

func (e *exchange) works() bool { return e.ask() == Running }

func (e *exchange) ask() State {
	if e.call.Attempt == "" {
		return Unreachable
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.p.s.Ask)
	defer cancel()
	return e.p.Ask(ctx, e.call.Address, e.call.Attempt)
}

// fail ends the exchange without a response.
func (e *exchange) fail(err error) error {
	e.stop()
	kind := e.c.kindOf(e.ctx, err)
	written := e.c.seal()
	if e.body != nil {
		e.body.abandon()
	}
	switch {
	case kind == Silent:
		e.p.silences.Add(1)
		e.c.path.silence(e.c)
	case kind == Cancelled && written && e.p.linger(e.c, e.call.Late):
	default:
		e.c.path.drop(e.c)
	}
	return &Failure{kind: kind, written: written, err: err}
}

// finish ends the exchange after its response; whole says that the connection is at a request boundary.
func (e *exchange) finish(whole bool) {
	e.once.Do(func() {
		clean := e.stop()
		if e.body != nil {
			if done, err := e.body.done(); !done || err != nil {
				whole = false
			}
		}
		if whole && clean && e.c.br.Buffered() == 0 {
			e.c.path.put(e.c)
			return
		}
		e.c.seal()
		e.c.path.drop(e.c)
	})
}
