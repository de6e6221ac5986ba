package inbound

import "time"

// hearing reads from a connection and notes when.
type hearing struct{ c *conn }

// Read reads from the connection.
func (h hearing) Read(b []byte) (int, error) {
	n, err := h.c.raw.Read(b)
	if n > 0 {
		h.c.heard = time.Now()
	}
	return n, err
}
