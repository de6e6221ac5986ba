package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackspool/internal/request/head"
)

// The write states of a connection for its current request.
const (
	stateUnwritten int32 = iota // no byte of the request was written
	stateWritten                // a byte of the request may have been written
	stateSealed                 // every further write is refused
)

const bufferSize = 4 << 10

var (
	errSealed    = errors.New("pool: connection accepts no further writes")
	errHeader    = errors.New("pool: response header is too large")
	errShortBody = errors.New("pool: response to a probe or query is an interim one, has no length, is too long or closes the connection")
	errSilent    = errors.New("pool: connection is silent")
)

// conn is a connection to a remote address; it carries one request at a time.
type conn struct {
	raw             net.Conn
	addrPool        *addrPool
	sequence        uint64 // sequence orders the connections to an address by the start of their dial.
	lastUsed        time.Time
	br              *bufio.Reader
	bw              *bufio.Writer
	progressTimeout time.Duration

	ctx              context.Context // ctx is the context of the current request.
	firstReadTimeout time.Duration   // firstReadTimeout is the timeout of reads before the response begins; 0 means progressTimeout.
	// exchange queries, after a pause within a body, whether the attempt is still running; it is nil for probes.
	exchange        *exchange
	headerBytesLeft int64        // headerBytesLeft is how many bytes of a response header may still be read; negative means no limit.
	head            head.Checker // head checks the head of the response that is awaited.
	writeState      atomic.Int32
	silent          atomic.Bool // silent is set when this connection or one that was opened later to the same address was found silent.

	// interruptFunc is the method value of interrupt, allocated once per connection.
	interruptFunc func()
	control       syscall.RawConn // control is nil for connections that are not sockets.
	peekFunc      func(fd uintptr)
	peekedIdle    bool // peekedIdle is the result of peekFunc: the socket is open and has no unread bytes.
}

func newConn(raw net.Conn, p *addrPool, sequence uint64, progress time.Duration) *conn {
	c := &conn{raw: raw, addrPool: p, sequence: sequence, progressTimeout: progress, headerBytesLeft: -1}
	c.interruptFunc = c.interrupt
	c.br = bufio.NewReaderSize(reader{c}, bufferSize)
	c.bw = bufio.NewWriterSize(writer{c}, bufferSize)
	if s, ok := raw.(syscall.Conn); ok {
		if control, err := s.SyscallConn(); err == nil {
			c.control, c.peekFunc = control, c.peek
		}
	}
	return c
}

func (c *conn) begin(ctx context.Context) {
	c.ctx, c.firstReadTimeout, c.headerBytesLeft, c.exchange = ctx, 0, -1, nil
	c.writeState.Store(stateUnwritten)
}

// seal refuses all further writes and reports whether a byte of the request may have been written.
func (c *conn) seal() bool {
	if c.writeState.CompareAndSwap(stateUnwritten, stateSealed) {
		return false
	}
	return c.writeState.Swap(stateSealed) == stateWritten
}

// interrupt aborts pending reads and writes with a deadline in the past.
func (c *conn) interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() { _ = c.raw.Close() }

// reader and writer set a new deadline for each read and write; bufio, which wraps them, sets none.
type reader struct{ c *conn }

func (r reader) Read(p []byte) (int, error) {
	c := r.c
	if c.headerBytesLeft == 0 {
		return 0, errHeader
	}
	wait := c.firstReadTimeout
	if wait == 0 {
		wait = c.progressTimeout
	}
	for pauses := 0; ; pauses++ {
		if err := c.raw.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return 0, err
		}
		// A cancellation sets a deadline in the past, which the call above may have overwritten.
		if err := c.ctx.Err(); err != nil {
			return 0, err
		}
		n, err := c.raw.Read(p)
		if n == 0 && c.firstReadTimeout == 0 && c.mayContinue(err, pauses) {
			continue
		}
		if c.headerBytesLeft > 0 {
			c.headerBytesLeft = max(0, c.headerBytesLeft-int64(n))
		}
		if invalid := c.head.Check(p[:n]); invalid != nil {
			return 0, invalid
		}
		return n, err
	}
}

// readHead reads the head whose check has begun, of at most the given number of bytes. The error matches
// head.ErrInvalid when it is not one of HTTP/1.1.
func (c *conn) readHead(r *http.Request, limit int64) (*http.Response, error) {
	c.headerBytesLeft = limit
	resp, err := http.ReadResponse(c.br, r)
	c.headerBytesLeft = -1
	if err != nil {
		return nil, err
	}
	head.CheckTrailer(resp)
	return resp, head.CheckStatus(resp.StatusCode)
}

// maxBodyPauses is the maximum number of consecutive progress timeouts within a body.
// The remote side reports a running attempt even if its writes are lost on a silent
// connection, so its reports alone must not keep the connection open indefinitely.
const maxBodyPauses = 6

// mayContinue reports whether a read or write that made no progress may be retried.
func (c *conn) mayContinue(err error, pauses int) bool {
	var timeout net.Error
	return err != nil && c.exchange != nil && pauses < maxBodyPauses &&
		errors.As(err, &timeout) && timeout.Timeout() &&
		c.ctx.Err() == nil && !c.silent.Load() && c.exchange.attemptRunning()
}

type writer struct{ c *conn }

func (w writer) Write(p []byte) (int, error) {
	c := w.c
	for sent, pauses := 0, 0; ; pauses++ {
		if err := c.raw.SetWriteDeadline(time.Now().Add(c.progressTimeout)); err != nil {
			return sent, err
		}
		if err := c.ctx.Err(); err != nil {
			return sent, err
		}
		if !c.writeState.CompareAndSwap(stateUnwritten, stateWritten) && c.writeState.Load() != stateWritten {
			return sent, errSealed
		}
		n, err := c.raw.Write(p[sent:])
		sent += n
		if n > 0 {
			pauses = 0
		}
		if err == nil || !c.mayContinue(err, pauses) {
			return sent, err
		}
	}
}

// alive reports whether an idle connection is still open and has no unread bytes.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 || c.silent.Load() {
		return false
	}
	if c.control != nil {
		c.peekedIdle = false
		return c.control.Control(c.peekFunc) == nil && c.peekedIdle
	}
	// Connections that are not sockets support only a read, which needs a deadline.
	if err := c.raw.SetReadDeadline(time.Now().Add(50 * time.Microsecond)); err != nil {
		return false
	}
	var b [1]byte
	n, err := c.raw.Read(b[:])
	var timeout net.Error
	return n == 0 && errors.As(err, &timeout) && timeout.Timeout()
}

// peek checks the socket for unread bytes without consuming them.
func (c *conn) peek(fd uintptr) {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.peekedIdle = errors.Is(err, syscall.EAGAIN)
}

// failureKind classifies the error of a read or write.
func (c *conn) failureKind(ctx context.Context, err error) Kind {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case c.silent.Load() || errors.Is(err, errSilent):
		return Silent
	case errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, io.ErrUnexpectedEOF):
		return Silent
	default:
		return ConnectionBroken
	}
}
