package pool

import (
	"errors"
	"io"
	"sync"
	"time"
)

var errBodyAbandoned = errors.New("pool: the body was abandoned")

// upload streams the body of a request; it flushes buffered data before each read that may block.
type upload struct {
	source    io.ReadCloser
	flush     func() error
	sendable  chan struct{} // sendable is closed when the body may be sent.
	abandoned chan struct{} // abandoned is closed when the body must no longer be sent.
	written   chan struct{} // written is closed when the request has been written or writing it has failed.
	err       error

	allowOnce, abandonOnce, finishOnce sync.Once
}

func newUpload(source io.ReadCloser, flush func() error, hold bool) *upload {
	u := &upload{
		source: source, flush: flush,
		sendable: make(chan struct{}), abandoned: make(chan struct{}), written: make(chan struct{}),
	}
	if !hold {
		u.allowSending()
	}
	return u
}

func (u *upload) allowSending() { u.allowOnce.Do(func() { close(u.sendable) }) }
func (u *upload) abandon()      { u.abandonOnce.Do(func() { close(u.abandoned) }) }

// abandonIfHeld abandons a body that is still held back; a body that is already being sent continues.
func (u *upload) abandonIfHeld() { u.allowOnce.Do(u.abandon) }

func (u *upload) finish(err error) {
	u.finishOnce.Do(func() {
		u.err = err
		close(u.written)
	})
}

// done reports whether the whole request has been written, and the error if writing failed.
func (u *upload) done() (bool, error) {
	select {
	case <-u.written:
		return u.err == nil, u.err
	default:
		return false, nil
	}
}

// Read returns the next part of the body.
func (u *upload) Read(p []byte) (int, error) {
	if err := u.flush(); err != nil {
		return 0, err
	}
	select {
	case <-u.abandoned:
		return 0, errBodyAbandoned
	case <-u.sendable:
		return u.source.Read(p)
	default:
	}
	t := time.NewTimer(maxBodyHold)
	defer t.Stop()
	select {
	case <-u.abandoned:
		return 0, errBodyAbandoned
	case <-u.sendable:
	case <-t.C:
		u.allowSending()
	}
	return u.source.Read(p)
}

// Close does not close the caller's body, because another attempt may continue to read it.
func (u *upload) Close() error { return nil }

// download is the body of a response; it returns the connection to the pool at EOF.
type download struct {
	exchange *exchange
	source   io.ReadCloser
	reusable bool
	err      error
}

// Read returns the next part of the body; any error other than io.EOF means that the response is incomplete.
func (d *download) Read(p []byte) (int, error) {
	if d.err != nil {
		return 0, d.err
	}
	n, err := d.source.Read(p)
	if err == nil {
		return n, nil
	}
	d.err = err
	if errors.Is(err, io.EOF) {
		d.exchange.finish(d.reusable)
		return n, d.err
	}
	d.exchange.pool.countInvalid(err)
	c := d.exchange.conn
	kind := c.failureKind(d.exchange.ctx, err)
	d.err = &Failure{kind: kind, written: true, err: err}
	if kind == Silent {
		d.exchange.pool.silentConns.Add(1)
		c.addrPool.closeSilent(c)
	}
	d.exchange.finish(false)
	return n, d.err
}

// Close ends the exchange; if the response is incomplete, the connection is closed.
func (d *download) Close() error {
	d.exchange.finish(false)
	return nil
}
