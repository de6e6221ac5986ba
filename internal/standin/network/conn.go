package network

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxChunk is the largest size of a chunk in bytes.
const maxChunk = 32 << 10

// linger is how long a closed connection continues to send what was written before.
const linger = 2 * time.Second

// conn is a connection that delays bytes in both directions.
type conn struct {
	net.Conn
	n        *Network
	from, to Place
	out, in  *queue
	up, down *link // up is the link to the dialed place and down the link back; both are nil within a region and for clients.
	silent   atomic.Bool
	once     sync.Once
	done     atomic.Int32 // done counts how many of send and receive have ended.
}

func newConn(n *Network, inner net.Conn, from, to Place, up, down *link) *conn {
	return &conn{Conn: inner, n: n, from: from, to: to, out: newQueue(), in: newQueue(), up: up, down: down}
}

// Write queues p for the remote end.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		part := p[:min(maxChunk, len(p))]
		if !c.silent.Load() {
			if err := c.out.put(append([]byte(nil), part...), c.arrivalTime(c.up, c.from, c.to, len(part))); err != nil {
				return written, err
			}
		}
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

// arrivalTime returns when size bytes sent now arrive.
func (c *conn) arrivalTime(l *link, from, to Place, size int) time.Time {
	departure := time.Now()
	if l != nil {
		departure = l.reserve(departure, size)
	}
	return departure.Add(c.n.randomDelay(from, to))
}

// Read returns bytes whose arrival time has passed.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.in.take(p, c.in.currentDeadline)
}

// send forwards written bytes to the remote end at their arrival time.
func (c *conn) send() {
	defer c.transferEnded()
	buf := make([]byte, maxChunk)
	for {
		n, err := c.out.take(buf, func() time.Time { return time.Time{} })
		if err != nil {
			break
		}
		if c.silent.Load() {
			continue
		}
		if _, err := c.Conn.Write(buf[:n]); err != nil {
			c.out.end(err, true)
			break
		}
	}
	_ = c.Conn.Close()
}

// receive reads bytes from the remote end and queues them with their arrival time.
func (c *conn) receive() {
	defer c.transferEnded()
	buf := make([]byte, maxChunk)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 && !c.silent.Load() {
			if c.in.put(append([]byte(nil), buf[:n]...), c.arrivalTime(c.down, c.to, c.from, n)) != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		// A silent connection doesn't report its end either.
		if !c.silent.Load() {
			if err != io.EOF {
				err = net.ErrClosed
			}
			c.in.end(err, false)
		}
		return
	}
}

// transferEnded records the end of send or receive and removes the connection from the network when both have ended.
func (c *conn) transferEnded() {
	if c.done.Add(1) == 2 {
		c.n.remove(c)
	}
	c.n.wg.Done()
}

// Close closes the connection once what was written has been sent, after linger at the latest.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.end(net.ErrClosed, c.silent.Load())
		c.in.end(net.ErrClosed, true)
		_ = c.Conn.SetDeadline(time.Now().Add(linger))
	})
	return nil
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.out.end(net.ErrClosed, true)
	c.in.end(net.ErrClosed, true)
	_ = c.Conn.Close()
}

// silence makes the connection drop the bytes in flight and all further ones.
func (c *conn) silence() { c.silent.Store(true) }

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(t)
	c.out.setDeadline(t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(t)
	return nil
}
