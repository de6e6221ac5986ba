package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	direct  = "GET /a HTTP/1.1\r\nHost: t\r\nTenant: shop\r\n\r\n"
	through = "GET /run/search/a HTTP/1.1\r\nHost: t\r\nTenant: shop\r\n\r\n"
)

// caller is one connection that sends the same request again and again.
type caller struct {
	conn    net.Conn
	br      *bufio.Reader
	request []byte
}

func dial(ctx context.Context, address, request string) (*caller, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("forward: dial: %w", err)
	}
	return &caller{conn: c, br: bufio.NewReaderSize(c, 1<<10), request: []byte(request)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// call makes one request and returns the time until its whole response was read.
func (c *caller) call() (time.Duration, error) {
	start := time.Now()
	if _, err := c.conn.Write(c.request); err != nil {
		return 0, fmt.Errorf("forward: write: %w", err)
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, fmt.Errorf("forward: read: %w", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("forward: body: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("forward: status %d", resp.StatusCode)
	}
	return time.Since(start), nil
}
