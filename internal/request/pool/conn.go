package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// The states of a connection with respect to the request that it carries.
const (
	fresh  int32 = iota // fresh: no byte of the request was written
	dirty               // dirty: a byte may have been written
	sealed              // sealed: no further byte is written
)

const bufferSize = 4 << 10

var (
	errSealed = errors.New("pool: connection is given up")
	errHeader = errors.New("pool: response header is too large")
	errSilent = errors.New("pool: connection is silent")
)

// conn is one connection; it carries one request at a time.
type conn struct {
	raw      net.Conn
	path     *path
	born     uint64 // born orders the connections of a path by the time they were opened.
	used     time.Time
	br       *bufio.Reader
	bw       *bufio.Writer
	progress time.Duration

	ctx   context.Context // ctx is that of the request in progress.
	until time.Duration   // until is the wait for the next read; 0 means progress.
	// exchange is asked after a pause within a body whether the other side still works on it; nil for probes.
	exchange *exchange
	left     int64 // left counts down the bytes of a response header; negative means no limit.
	state    atomic.Int32
	silent   atomic.Bool // silent is set when another connection of the path proved silent.

	// cut is interrupt, kept as a value that is made once per connection.
	cut     func()
	control syscall.RawConn // control is nil for connections that are not sockets.
	look    func(fd uintptr)
	quiet   bool // quiet is what look found: open and without bytes.
}

func newConn(raw net.Conn, p *path, born uint64, progress time.Duration) *conn {
	c := &conn{raw: raw, path: p, born: born, progress: progress, left: -1}
	c.cut = c.interrupt
	c.br = bufio.NewReaderSize(reader{c}, bufferSize)
	c.bw = bufio.NewWriterSize(writer{c}, bufferSize)
	if s, ok := raw.(syscall.Conn); ok {
		if control, err := s.SyscallConn(); err == nil {
			c.control, c.look = control, c.peek
		}
	}
	return c
}

func (c *conn) begin(ctx context.Context) {
	c.ctx, c.until, c.left, c.exchange = ctx, 0, -1, nil
	c.state.Store(fresh)
}

// seal forbids further writes and reports whether a byte of the request may have been written.
func (c *conn) seal() bool {
	if c.state.CompareAndSwap(fresh, sealed) {
		return false
	}
	return c.state.Swap(sealed) == dirty
}

// interrupt ends reads and writes in progress.
func (c *conn) interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() { _ = c.raw.Close() }

// reader and writer keep the deadlines, so that bufio can be used on top.
type reader struct{ c *conn }

func (r reader) Read(p []byte) (int, error) {
	c := r.c
	if c.left == 0 {
		return 0, errHeader
	}
	wait := c.until
	if wait == 0 {
		wait = c.progress
	}
	for pauses := 0; ; pauses++ {
		if err := c.raw.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return 0, err
		}
		// A cancellation sets a passed deadline; the one set above must not undo it.
		if err := c.ctx.Err(); err != nil {
			return 0, err
		}
		n, err := c.raw.Read(p)
		if n == 0 && c.until == 0 && c.patient(err, pauses) {
			continue
		}
		if c.left > 0 {
			c.left = max(0, c.left-int64(n))
		}
		return n, err
	}
}

// maxPauses bounds the pauses within a body. The other side works on the body
// also when its own writes are lost on a silent connection, so that its word
// alone must not keep the connection for ever.
const maxPauses = 6

// patient reports whether a read or write that made no progress may go on.
func (c *conn) patient(err error, pauses int) bool {
	var timeout net.Error
	return err != nil && c.exchange != nil && pauses < maxPauses &&
		errors.As(err, &timeout) && timeout.Timeout() &&
		c.ctx.Err() == nil && !c.silent.Load() && c.exchange.works()
}

type writer struct{ c *conn }

func (w writer) Write(p []byte) (int, error) {
	c := w.c
	for sent, pauses := 0, 0; ; pauses++ {
		if err := c.raw.SetWriteDeadline(time.Now().Add(c.progress)); err != nil {
			return sent, err
		}
		if err := c.ctx.Err(); err != nil {
			return sent, err
		}
		if !c.state.CompareAndSwap(fresh, dirty) && c.state.Load() != dirty {
			return sent, errSealed
		}
		n, err := c.raw.Write(p[sent:])
		sent += n
		if n > 0 {
			pauses = 0
		}
		if err == nil || !c.patient(err, pauses) {
			return sent, err
		}
	}
}

// alive reports whether an unused connection is still open and has no unexpected bytes.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 || c.silent.Load() {
		return false
	}
	if c.control != nil {
		c.quiet = false
		return c.control.Control(c.look) == nil && c.quiet
	}
	// Other kinds of connections offer only a read, which must end by a deadline.
	if err := c.raw.SetReadDeadline(time.Now().Add(50 * time.Microsecond)); err != nil {
		return false
	}
	var b [1]byte
	n, err := c.raw.Read(b[:])
	var timeout net.Error
	return n == 0 && errors.As(err, &timeout) && timeout.Timeout()
}

// peek looks at the socket without taking a byte from it.
func (c *conn) peek(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.quiet = errors.Is(err, syscall.EAGAIN)
}

// kindOf tells the ways apart in which a read or write can fail.
func (c *conn) kindOf(ctx context.Context, err error) Kind {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case c.silent.Load() || errors.Is(err, errSilent):
		return Silent
	case errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, io.ErrUnexpectedEOF):
		return Silent
	default:
		return Cut
	}
}
