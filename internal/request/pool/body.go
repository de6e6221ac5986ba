package pool

import (
	"errors"
	"io"
	"sync"
	"time"
)

var errUnwanted = errors.New("pool: body is not wanted")

// upload streams a request's body; it flushes what was written before it waits for more.
type upload struct {
	from   io.ReadCloser
	flush  func() error
	wanted chan struct{} // wanted is closed when the body may be sent.
	ended  chan struct{} // ended is closed when the body is not wanted any more.
	over   chan struct{} // over is closed when the request has been written or has failed.
	err    error

	open, shut, end sync.Once
}

func newUpload(from io.ReadCloser, flush func() error, hold bool) *upload {
	u := &upload{
		from: from, flush: flush,
		wanted: make(chan struct{}), ended: make(chan struct{}), over: make(chan struct{}),
	}
	if !hold {
		u.release()
	}
	return u
}

func (u *upload) release() { u.open.Do(func() { close(u.wanted) }) }
func (u *upload) abandon() { u.shut.Do(func() { close(u.ended) }) }

// unwanted ends a body that is still held back; one that is on its way goes on.
func (u *upload) unwanted() { u.open.Do(u.abandon) }

func (u *upload) finish(err error) {
	u.end.Do(func() {
		u.err = err
		close(u.over)
	})
}

// done reports whether the whole request was written, or why it was not.
func (u *upload) done() (bool, error) {
	select {
	case <-u.over:
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
	case <-u.ended:
		return 0, errUnwanted
	case <-u.wanted:
		return u.from.Read(p)
	default:
	}
	t := time.NewTimer(holdTime)
	defer t.Stop()
	select {
	case <-u.ended:
		return 0, errUnwanted
	case <-u.wanted:
	case <-t.C:
		u.release()
	}
	return u.from.Read(p)
}

// Close leaves the caller's body open, because another attempt may read on.
func (u *upload) Close() error { return nil }

// download is a response's body; it returns the connection to the pool at its end.
type download struct {
	e    *exchange
	from io.ReadCloser
	keep bool
	err  error
}

// Read returns the next part; any error but io.EOF means that the response is incomplete.
func (d *download) Read(p []byte) (int, error) {
	if d.err != nil {
		return 0, d.err
	}
	n, err := d.from.Read(p)
	if err == nil {
		return n, nil
	}
	d.err = err
	if errors.Is(err, io.EOF) {
		d.e.finish(d.keep)
		return n, d.err
	}
	c := d.e.c
	kind := c.kindOf(d.e.ctx, err)
	d.err = &Failure{kind: kind, written: true, err: err}
	if kind == Silent {
		d.e.p.silences.Add(1)
		c.path.silence(c)
	}
	d.e.finish(false)
	return n, d.err
}

// Close ends the exchange; an incomplete response costs the connection.
func (d *download) Close() error {
	d.e.finish(false)
	return nil
}
