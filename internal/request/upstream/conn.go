package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one connection to a target; it carries one request at a time.
type conn struct {
	address string
	raw     net.Conn
	br      *bufio.Reader
	used    time.Time
	until   time.Time // until is when the connection must no longer be used.
	reused  bool
	sent    atomic.Bool // sent says that bytes of the request in progress may have left.
	left    int         // left is how many more bytes may be read; negative for any number.
}

func newConn(address string, raw net.Conn) *conn {
	c := &conn{address: address, raw: raw, left: -1}
	c.br = bufio.NewReaderSize(headReader{c}, 4<<10)
	return c
}

// headReader reads from a connection up to the limit that is set while a head is awaited.
type headReader struct{ c *conn }

// Read reads from the connection, or fails when the limit is reached.
func (r headReader) Read(b []byte) (int, error) {
	if r.c.left == 0 {
		return 0, errLongHead
	}
	if r.c.left > 0 && len(b) > r.c.left {
		b = b[:r.c.left]
	}
	n, err := r.c.raw.Read(b)
	if r.c.left > 0 {
		r.c.left -= n
	}
	return n, err
}

func (c *conn) close() { _ = c.raw.Close() }

// abort closes the connection and discards what has not arrived, so that no
// part of a request that is given up reaches its target later.
func (c *conn) abort() {
	if t, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // A connection that has ended already has nothing to discard.
	}
	c.close()
}

// interrupt ends reads and writes in progress.
func (c *conn) interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

// rest notes the use of a connection and how long it may stay unused.
func (c *conn) rest(h http.Header, now time.Time) {
	keep := keepTime
	if s, ok := stated(h.Get("Keep-Alive")); ok {
		keep = max(0, s-keepMargin)
	}
	c.used, c.until = now, now.Add(keep)
}

// stated returns the timeout parameter of a Keep-Alive header.
func stated(h string) (time.Duration, bool) {
	for part := range strings.SplitSeq(h, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// quiet reports whether an unused connection is open and holds no bytes, which
// would belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	_, ok, err := c.peek()
	return !ok || errors.Is(err, syscall.EAGAIN)
}

// babbles reports whether an unused connection holds bytes.
func (c *conn) babbles() bool {
	n, _, _ := c.peek()
	return n > 0 || c.br.Buffered() > 0
}

// peek looks for one byte without waiting for it; it is not ok where the connection has no descriptor.
func (c *conn) peek() (n int, ok bool, err error) {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	control, err := s.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	var received error
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, received = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(n, 0), true, errors.Join(err, received)
}
