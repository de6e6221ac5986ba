package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// whole is the largest body that is held in memory, of a request or a response.
const whole = 64 << 10

var buffers = sync.Pool{New: func() any { return new([whole]byte) }}

var (
	errBody = errors.New("forward: request body is longer than accepted")
	errSlow = errors.New("forward: request body ended early or paused too long")
)

// body is the body of a request: held in memory when it is small, else streamed once.
type body struct {
	head   []byte
	buf    *[whole]byte
	rest   *source // rest is nil when head is everything.
	length int64   // length is -1 when it is not known beforehand.
}

// noBody is the body of all requests without one; nothing changes it.
var noBody = &body{}

// readBody takes in a small body before a slot is used for it, so that a slow caller holds no slot.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, slow time.Duration, until time.Time) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return noBody, nil
	}
	src := &source{from: r.Body, control: http.NewResponseController(w), slow: slow, until: until, left: limit}
	b := &body{rest: src, length: r.ContentLength}
	if r.ContentLength > whole {
		return b, nil
	}
	b.buf = buffers.Get().(*[whole]byte)
	n, err := io.ReadFull(src, b.buf[:])
	b.head = b.buf[:n]
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		if !src.ended.Load() {
			b.free()
			return nil, errSlow
		}
		b.rest, b.length = nil, int64(n)
		return b, nil
	case err != nil:
		b.free()
		return nil, err
	case r.ContentLength == whole:
		b.rest = nil
	}
	src.touched.Store(false)
	return b, nil
}

// free gives the buffer back; a streamed body's is left to the collector,
// because the attempt that sends it may still read it.
func (b *body) free() {
	if b.buf != nil && b.rest == nil {
		buffers.Put(b.buf)
		b.buf, b.head = nil, nil
	}
}

func (b *body) empty() bool { return len(b.head) == 0 && b.rest == nil }

// replayable reports whether another attempt can send the same body.
func (b *body) replayable() bool { return b.rest == nil || !b.rest.touched.Load() }

// reader returns the body for one attempt.
func (b *body) reader(ctx context.Context, p Pacer) io.ReadCloser {
	if b.empty() {
		return http.NoBody
	}
	if b.rest == nil {
		return held{bytes.NewReader(b.head)}
	}
	return &stream{ctx: ctx, head: b.head, rest: b.rest, pacer: p}
}

// held is a body in memory.
type held struct{ *bytes.Reader }

// Close does nothing.
func (held) Close() error { return nil }

// Whole tells the pool that no read of the body waits for the caller.
func (held) Whole() bool { return true }

// stream is a body that is passed on as it arrives; memory holds one piece of it.
type stream struct {
	ctx   context.Context
	head  []byte
	rest  *source
	pacer Pacer
}

// Read returns the next piece once the link has room for it.
func (s *stream) Read(p []byte) (n int, err error) {
	if len(s.head) > 0 {
		n = copy(p, s.head)
		s.head = s.head[n:]
	} else {
		n, err = s.rest.Read(p)
	}
	if s.pacer != nil && n > 0 {
		if perr := s.pacer.WaitOut(s.ctx, n); perr != nil {
			return 0, perr
		}
	}
	return n, err
}

// Close does nothing; the server owns the caller's body.
func (s *stream) Close() error { return nil }

// source reads a caller's body within its limits.
type source struct {
	from    io.Reader
	control *http.ResponseController
	slow    time.Duration
	until   time.Time // until is the request's deadline.
	left    int64
	count   atomic.Int64
	touched atomic.Bool
	ended   atomic.Bool
	failed  atomic.Bool
	stopped atomic.Bool
}

// Read returns the next bytes; it fails when the caller pauses too long or sends too much.
func (s *source) Read(p []byte) (int, error) {
	s.touched.Store(true)
	// A recorder in a test knows no deadlines; the request's own deadline holds in any case.
	end := time.Now().Add(s.slow)
	if s.until.Before(end) {
		end = s.until
	}
	_ = s.control.SetReadDeadline(end)
	if s.stopped.Load() {
		s.interrupt()
	}
	n, err := s.from.Read(p)
	// A deadline that stays behind would end the server's watch for a caller that leaves.
	_ = s.control.SetReadDeadline(time.Time{})
	s.count.Add(int64(n))
	if s.left -= int64(n); s.left < 0 {
		s.failed.Store(true)
		return 0, errBody
	}
	switch {
	case errors.Is(err, io.EOF):
		s.ended.Store(true)
	case err != nil:
		s.failed.Store(true)
		err = errors.Join(errSlow, err)
	}
	return n, err
}

// stop ends a read in progress, so that nothing reads the caller's body after its handler has returned.
func (s *source) stop() {
	if s.ended.Load() {
		return
	}
	s.stopped.Store(true)
	s.interrupt()
}

func (s *source) interrupt() { _ = s.control.SetReadDeadline(time.Unix(1, 0)) }
