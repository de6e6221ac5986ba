package pool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"tamarackspool/internal/request/head"
)

// maxBodyHold is how long a held body waits for a 100 Continue response.
const maxBodyHold = time.Second

// exchange is one request and its response on a connection.
type exchange struct {
	pool          *Pool
	conn          *conn
	call          Call
	ctx           context.Context
	stopInterrupt func() bool
	body          *upload // body is nil when the request has none.
	finishOnce    sync.Once
}

// Do sends the request and returns the response once its header has arrived.
// The error is a *Failure. The response's body reports io.EOF only when the
// response is complete by its own framing; the caller must close it.
func (p *Pool) Do(ctx context.Context, call Call) (*http.Response, error) {
	c, err := p.acquire(ctx, call)
	if err != nil {
		kind := ConnectFailed
		if ctx.Err() != nil {
			kind = Cancelled
		}
		return nil, &Failure{kind: kind, err: err}
	}
	c.begin(ctx)
	e := &exchange{pool: p, conn: c, call: call, ctx: ctx}
	c.exchange = e
	e.stopInterrupt = context.AfterFunc(ctx, c.interruptFunc)
	if err := e.send(); err != nil {
		return nil, e.fail(err)
	}
	resp, err := e.receiveHeader()
	if err != nil {
		return nil, e.fail(err)
	}
	return resp, nil
}

func (e *exchange) send() error {
	r := e.call.Request
	if r.Body == nil || r.Body == http.NoBody {
		return e.writeRequest()
	}
	if b, ok := r.Body.(BufferedBody); ok && b.Whole() {
		return e.writeRequest()
	}
	if !e.pool.tryAddGoroutine() {
		return errClosed
	}
	e.body = newUpload(r.Body, e.conn.bw.Flush, e.call.HoldBody)
	r.Body = e.body
	go func() {
		defer e.pool.wg.Done()
		err := e.writeRequest()
		e.body.finish(err)
		if err != nil {
			// The reader must not wait for the response to an incomplete request.
			_ = e.conn.raw.SetReadDeadline(time.Now().Add(responseGrace))
		}
	}()
	return nil
}

// responseGrace is how long a response may still arrive after sending the body has failed.
const responseGrace = 100 * time.Millisecond

// BufferedBody is implemented by bodies that are held in memory and are sent before the response is read.
type BufferedBody interface{ Whole() bool }

func (e *exchange) writeRequest() error {
	if err := e.call.Request.Write(plainWriter{e.conn.bw}); err != nil {
		return err
	}
	return e.conn.bw.Flush()
}

// plainWriter hides bufio.Writer.ReadFrom: the body's Read method flushes the writer,
// which must not happen while ReadFrom fills the same buffer.
type plainWriter struct {
	w interface {
		io.Writer
		io.ByteWriter
		io.StringWriter
	}
}

func (p plainWriter) Write(b []byte) (int, error)       { return p.w.Write(b) }
func (p plainWriter) WriteByte(b byte) error            { return p.w.WriteByte(b) }
func (p plainWriter) WriteString(s string) (int, error) { return p.w.WriteString(s) }

// maxInterim is the largest number of interim responses that are skipped.
const maxInterim = 8

var errInterim = fmt.Errorf("%w: unexpected interim response", head.ErrInvalid)

// receiveHeader reads the header of the final response and skips interim responses.
func (e *exchange) receiveHeader() (*http.Response, error) {
	for interim := 0; ; {
		if err := e.conn.head.Expect(e.conn.br); err != nil {
			return nil, err
		}
		if err := e.awaitResponse(); err != nil {
			return nil, err
		}
		resp, err := e.conn.readHead(e.call.Request, e.pool.settings.Head)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return e.acceptResponse(resp)
		}
		if interim++; interim > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errInterim
		}
		if resp.StatusCode == http.StatusContinue && e.body != nil {
			e.body.allowSending()
		}
	}
}

func (e *exchange) acceptResponse(resp *http.Response) (*http.Response, error) {
	if e.body != nil {
		e.body.abandonIfHeld()
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !framed && resp.Body != http.NoBody {
		// A truncated response that ends with the connection is indistinguishable from a complete one.
		return nil, errors.New("pool: response has neither a length nor a chunked encoding")
	}
	reusable := !resp.Close && !e.call.OwnConn && (e.call.CloseAfter == nil || !e.call.CloseAfter(resp))
	if resp.Body == http.NoBody {
		e.finish(reusable)
		return resp, nil
	}
	resp.Body = &download{exchange: e, source: resp.Body, reusable: reusable}
	return resp, nil
}

// awaitResponse waits for the first byte of a response. While none arrives, it queries
// the state of a completely written request over another connection after every Settings.Ask.
func (e *exchange) awaitResponse() error {
	defer func() { e.conn.firstReadTimeout = 0 }()
	e.conn.firstReadTimeout = e.pool.settings.Ask
	lastProgress := time.Now()
	for {
		_, err := e.conn.br.Peek(1)
		if err == nil {
			return nil
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || e.ctx.Err() != nil || e.conn.silent.Load() {
			return err
		}
		if e.body != nil {
			if done, werr := e.body.done(); werr != nil {
				return werr
			} else if !done {
				lastProgress = time.Now()
				continue
			}
		}
		switch e.queryAttempt() {
		case Running:
			lastProgress = time.Now()
		case Unknown:
			return errSilent
		}
		if time.Since(lastProgress) >= e.pool.settings.Progress {
			return errSilent
		}
	}
}

func (e *exchange) attemptRunning() bool { return e.queryAttempt() == Running }

func (e *exchange) queryAttempt() State {
	if e.call.Attempt == "" {
		return Unreachable
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.pool.settings.Ask)
	defer cancel()
	return e.pool.QueryAttempt(ctx, e.call.Address, e.call.Attempt)
}

// fail ends the exchange without a response.
func (e *exchange) fail(err error) error {
	e.stopInterrupt()
	e.pool.countInvalid(err)
	kind := e.conn.failureKind(e.ctx, err)
	written := e.conn.seal()
	if e.body != nil {
		e.body.abandon()
	}
	switch {
	case kind == Silent:
		e.pool.silentConns.Add(1)
		e.conn.addrPool.closeSilent(e.conn)
	case kind == Cancelled && written && e.pool.awaitLateAnswer(e.conn, e.call.LateCounter):
	default:
		e.conn.addrPool.discardConn(e.conn)
	}
	return &Failure{kind: kind, written: written, err: err}
}

// finish ends the exchange after its response. The connection is reused only if reusable is true, which
// means that the response was read completely, and if the whole request was written.
func (e *exchange) finish(reusable bool) {
	e.finishOnce.Do(func() {
		uncancelled := e.stopInterrupt()
		if e.body != nil {
			if done, err := e.body.done(); !done || err != nil {
				reusable = false
			}
		}
		if reusable && uncancelled && e.conn.br.Buffered() == 0 {
			e.conn.addrPool.returnConn(e.conn)
			return
		}
		e.conn.seal()
		e.conn.addrPool.discardConn(e.conn)
	})
}
