package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Dial opens a connection.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Meter counts the bytes of the connections that it wraps; it is safe for concurrent use.
type Meter struct{ received, sent atomic.Int64 }

// Received returns how many bytes were read.
func (m *Meter) Received() int64 { return m.received.Load() }

// Sent returns how many bytes were written.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Dial returns a function that opens connections by dial and counts their bytes.
func (m *Meter) Dial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(c), nil
	}
}

// Conn returns the connection with its bytes counted.
func (m *Meter) Conn(c net.Conn) net.Conn { return &conn{c, m} }

type conn struct {
	net.Conn
	m *Meter
}

// Read reads and counts.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(int64(n))
	return n, err
}
