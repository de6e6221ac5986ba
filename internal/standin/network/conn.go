package network

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// size is the most bytes that one chunk holds.
const size = 32 << 10

// linger is how long a closed connection goes on to send what was written before.
const linger = 2 * time.Second

// conn is a connection whose bytes arrive later in both directions.
type conn struct {
	net.Conn
	n        *Network
	from, to Place
	out, in  *queue
	up, down *link
	silent   atomic.Bool
	once     sync.Once
	done     atomic.Int32
}

func newConn(n *Network, inner net.Conn, from, to Place, up, down *link) *conn {
	return &conn{Conn: inner, n: n, from: from, to: to, out: newQueue(), in: newQueue(), up: up, down: down}
}

// Write queues p for the other end.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		part := p[:min(size, len(p))]
		if !c.silent.Load() {
			if err := c.out.put(append([]byte(nil), part...), c.due(c.up, c.from, c.to, len(part))); err != nil {
				return written, err
			}
		}
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

// due returns when size bytes sent now arrive.
func (c *conn) due(l *link, from, to Place, size int) time.Time {
	now := time.Now()
	if l != nil {
		now = l.reserve(now, size)
	}
	return now.Add(c.n.jittered(from, to))
}

// Read returns bytes that have arrived.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.in.take(p, c.in.current)
}

// send moves written bytes to the other end when they are due.
func (c *conn) send() {
	defer c.ended()
	buf := make([]byte, size)
	for {
		n, err := c.out.take(buf, func() time.Time { return time.Time{} })
		if err != nil {
			break
		}
		if c.silent.Load() {
			continue
		}
		if _, err := c.Conn.Write(buf[:n]); err != nil {
			c.out.finish(err, true)
			break
		}
	}
	_ = c.Conn.Close()
}

// receive takes bytes from the other end and queues them with their arrival time.
func (c *conn) receive() {
	defer c.ended()
	buf := make([]byte, size)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 && !c.silent.Load() {
			if c.in.put(append([]byte(nil), buf[:n]...), c.due(c.down, c.to, c.from, n)) != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		// The end of a silent connection does not arrive either.
		if !c.silent.Load() {
			if err != io.EOF {
				err = net.ErrClosed
			}
			c.in.finish(err, false)
		}
		return
	}
}

// ended forgets the connection when both transfers have stopped.
func (c *conn) ended() {
	if c.done.Add(1) == 2 {
		c.n.forget(c)
	}
	c.n.wg.Done()
}

// Close ends the connection after what was written has been sent.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.finish(net.ErrClosed, c.silent.Load())
		c.in.finish(net.ErrClosed, true)
		_ = c.Conn.SetDeadline(time.Now().Add(linger))
	})
	return nil
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.out.finish(net.ErrClosed, true)
	c.in.finish(net.ErrClosed, true)
	_ = c.Conn.Close()
}

// silence drops what is under way and everything that follows.
func (c *conn) silence() { c.silent.Store(true) }

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.limit(t)
	c.out.limit(t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.limit(t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.limit(t)
	return nil
}
