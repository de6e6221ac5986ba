package inbound

import "time"

// timedReader reads from a connection and records the time of the last read.
type timedReader struct{ c *conn }

// Read reads from the connection.
func (h timedReader) Read(b []byte) (int, error) {
	n, err := h.c.raw.Read(b)
	if n > 0 {
		h.c.lastRead = time.Now()
	}
	return n, err
}
