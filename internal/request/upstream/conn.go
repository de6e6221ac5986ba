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

	"tamarackspool/internal/request/head"
)

// conn is one connection to a target; it carries one request at a time.
type conn struct {
	address   string
	raw       net.Conn
	br        *bufio.Reader
	lastUsed  time.Time
	expires   time.Time    // expires is the time after which the connection must not be used.
	requests  int          // requests counts the requests that the connection has carried, the one in progress included.
	sent      atomic.Bool  // sent is set when bytes of the request in progress may have been sent.
	held      *heldBytes   // held counts the bytes of the answers.
	readLimit int          // readLimit is how many more bytes may be read; negative means no limit.
	head      head.Checker // head checks the head that is awaited.
}

func newConn(address string, raw net.Conn, held *heldBytes) *conn {
	c := &conn{address: address, raw: raw, held: held, readLimit: -1}
	c.br = bufio.NewReaderSize(headReader{c}, 4<<10)
	return c
}

// headReader reads from a connection, checks heads and enforces readLimit, which is set while a head is awaited.
type headReader struct{ c *conn }

// Read reads from the connection. It returns errHeadTooLong when the limit is reached, and no further byte of an invalid head.
func (r headReader) Read(b []byte) (int, error) {
	if r.c.readLimit == 0 {
		return 0, errHeadTooLong
	}
	if r.c.readLimit > 0 && len(b) > r.c.readLimit {
		b = b[:r.c.readLimit]
	}
	n, err := r.c.raw.Read(b)
	if r.c.readLimit > 0 {
		r.c.readLimit -= n
	}
	if invalid := r.c.head.Check(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// readHead reads the next head. The error matches head.ErrInvalid when it is not one of HTTP/1.1.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	if err := c.head.Expect(c.br); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.br, req)
	if err != nil {
		return nil, err
	}
	head.CheckTrailer(resp)
	return resp, head.CheckStatus(resp.StatusCode)
}

func (c *conn) close() { _ = c.raw.Close() }

// abort resets the connection and discards unsent bytes, so that no part of an
// abandoned request reaches its target later.
func (c *conn) abort() {
	if t, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // A connection that has already ended has nothing to discard.
	}
	c.close()
}

// interrupt makes reads and writes in progress fail.
func (c *conn) interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

// markIdle records when the connection was last used and when it expires, by the answer's Keep-Alive header.
func (c *conn) markIdle(h http.Header, now time.Time) {
	keep := defaultIdleTimeout
	if s, ok := keepAliveTimeout(h.Get("Keep-Alive")); ok {
		keep = max(0, s-idleTimeoutMargin)
	}
	c.lastUsed, c.expires = now, now.Add(keep)
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(h string) (time.Duration, bool) {
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

// isReusable reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	_, ok, err := c.peek()
	return !ok || errors.Is(err, syscall.EAGAIN)
}

// hasUnreadBytes reports whether an idle connection has unread bytes.
func (c *conn) hasUnreadBytes() bool {
	n, _, _ := c.peek()
	return n > 0 || c.br.Buffered() > 0
}

// peek looks for one unread byte without blocking; ok is false when the connection has no file descriptor.
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
