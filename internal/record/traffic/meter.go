package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc is a function that opens a connection, such as net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Meter counts the bytes of the connections that it wraps. It is safe for concurrent use. A process has one
// Meter for each purpose, such as its connections to the store and those to peers.
type Meter struct{ received, sent atomic.Int64 }

// Received returns the number of bytes read.
func (m *Meter) Received() int64 { return m.received.Load() }

// Sent returns the number of bytes written.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// WrapDial returns a function that opens connections with dial and counts their bytes.
func (m *Meter) WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.WrapConn(c), nil
	}
}

// WrapConn returns a connection that counts the bytes of c.
func (m *Meter) WrapConn(c net.Conn) net.Conn { return &countedConn{c, m} }

type countedConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	return n, err
}
