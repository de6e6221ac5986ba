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
	directRequest = "GET /a HTTP/1.1\r\nHost: t\r\nTenant: shop\r\n\r\n"
	entryRequest  = "GET /run/search/a HTTP/1.1\r\nHost: t\r\nTenant: shop\r\n\r\n"
)

// caller is a connection that sends the same request repeatedly.
type caller struct {
	conn    net.Conn
	reader  *bufio.Reader
	request []byte
}

func dial(ctx context.Context, address, request string) (*caller, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("forward: dial: %w", err)
	}
	return &caller{conn: c, reader: bufio.NewReaderSize(c, 1<<10), request: []byte(request)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// call sends the request and returns the time until its whole response has been read.
func (c *caller) call() (time.Duration, error) {
	start := time.Now()
	if _, err := c.conn.Write(c.request); err != nil {
		return 0, fmt.Errorf("forward: write: %w", err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
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
