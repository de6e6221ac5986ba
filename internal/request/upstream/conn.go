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
}

func newConn(address string, raw net.Conn) *conn {
	return &conn{address: address, raw: raw, br: bufio.NewReaderSize(raw, 4<<10)}
}

func (c *conn) close() { _ = c.raw.Close() }

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
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}
