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

// maxBuffered is the largest body in bytes, of a request or a response, that is buffered in memory.
const maxBuffered = 64 << 10

var buffers = sync.Pool{New: func() any { return new([maxBuffered]byte) }}

var (
	errBodyTooLong    = errors.New("forward: request body is longer than accepted")
	errBodyIncomplete = errors.New("forward: request body ended early or paused too long")
)

// body is the body of a request: buffered in memory when it is small, otherwise streamed once.
type body struct {
	head   []byte
	buf    *[maxBuffered]byte
	rest   *callerBody // rest is nil when head is the complete body.
	length int64       // length is in bytes; -1 when it is not known beforehand.
}

// noBody is the shared, immutable body of all requests without one.
var noBody = &body{}

// readBody buffers a small body before a slot is acquired, so that a slow caller occupies no slot.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, slow time.Duration, until time.Time) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return noBody, nil
	}
	src := &callerBody{reader: r.Body, control: http.NewResponseController(w), maxPause: slow, deadline: until, remaining: limit}
	b := &body{rest: src, length: r.ContentLength}
	if r.ContentLength > maxBuffered {
		return b, nil
	}
	b.buf = buffers.Get().(*[maxBuffered]byte)
	n, err := io.ReadFull(src, b.buf[:])
	b.head = b.buf[:n]
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		if !src.reachedEOF.Load() {
			b.releaseBuffer()
			return nil, errBodyIncomplete
		}
		b.rest, b.length = nil, int64(n)
		return b, nil
	case err != nil:
		b.releaseBuffer()
		return nil, err
	case r.ContentLength == maxBuffered:
		b.rest = nil
	}
	// The buffered beginning can be sent again; the body is replayable until more than that is read.
	src.started.Store(false)
	return b, nil
}

// releaseBuffer returns the buffer to the pool. That of a streamed body is left to the
// garbage collector, because the attempt that sends it may still read it.
func (b *body) releaseBuffer() {
	if b.buf != nil && b.rest == nil {
		buffers.Put(b.buf)
		b.buf, b.head = nil, nil
	}
}

func (b *body) empty() bool { return len(b.head) == 0 && b.rest == nil }

// replayable reports whether another attempt can send the same body.
func (b *body) replayable() bool { return b.rest == nil || !b.rest.started.Load() }

// reader returns the body for one attempt.
func (b *body) reader(ctx context.Context, p Pacer) io.ReadCloser {
	if b.empty() {
		return http.NoBody
	}
	if b.rest == nil {
		return bufferedBody{bytes.NewReader(b.head)}
	}
	return &streamedBody{ctx: ctx, head: b.head, rest: b.rest, pacer: p}
}

// bufferedBody is a body in memory.
type bufferedBody struct{ *bytes.Reader }

// Close does nothing.
func (bufferedBody) Close() error { return nil }

// Whole tells the connection pool that reads of the body never block on the caller.
func (bufferedBody) Whole() bool { return true }

// streamedBody is a body that is passed on as it arrives; only one piece of it is in memory.
type streamedBody struct {
	ctx   context.Context
	head  []byte
	rest  *callerBody
	pacer Pacer
}

// Read returns the next piece once the link's pacer allows it.
func (s *streamedBody) Read(p []byte) (n int, err error) {
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

// Close does nothing, because the HTTP server closes the caller's body.
func (s *streamedBody) Close() error { return nil }

// callerBody reads a caller's body and enforces the limits on its size and pauses.
type callerBody struct {
	reader     io.Reader
	control    *http.ResponseController
	maxPause   time.Duration
	deadline   time.Time // deadline is the request's deadline.
	remaining  int64     // remaining is how many more bytes the size limit allows.
	bytesRead  atomic.Int64
	started    atomic.Bool // started is set when a read beyond the buffered beginning has started.
	reachedEOF atomic.Bool
	failed     atomic.Bool
	stopped    atomic.Bool
}

// Read returns the next bytes; it fails when the caller pauses too long or sends too much.
func (s *callerBody) Read(p []byte) (int, error) {
	s.started.Store(true)
	// A test's response recorder supports no deadlines; the request's own deadline applies in any case.
	end := time.Now().Add(s.maxPause)
	if s.deadline.Before(end) {
		end = s.deadline
	}
	_ = s.control.SetReadDeadline(end)
	if s.stopped.Load() {
		s.interruptRead()
	}
	n, err := s.reader.Read(p)
	// A remaining deadline would stop the server's detection of a disconnected caller.
	_ = s.control.SetReadDeadline(time.Time{})
	s.bytesRead.Add(int64(n))
	if s.remaining -= int64(n); s.remaining < 0 {
		s.failed.Store(true)
		return 0, errBodyTooLong
	}
	switch {
	case errors.Is(err, io.EOF):
		s.reachedEOF.Store(true)
	case err != nil:
		s.failed.Store(true)
		err = errors.Join(errBodyIncomplete, err)
	}
	return n, err
}

// stop interrupts a read in progress, so that nothing reads the caller's body after its handler has returned.
func (s *callerBody) stop() {
	if s.reachedEOF.Load() {
		return
	}
	s.stopped.Store(true)
	s.interruptRead()
}

func (s *callerBody) interruptRead() { _ = s.control.SetReadDeadline(time.Unix(1, 0)) }
