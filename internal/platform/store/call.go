package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"tamarackspool/internal/request/head"
)

// maxResponseBytes limits a response; the largest one lists the segments of claimed idempotency keys.
const maxResponseBytes = 256 << 20

// read sends a call without side effects. Every failure to get a response matches ErrUnavailable.
func (c *Client) read(ctx context.Context, timeout time.Duration, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := c.call(ctx, http.MethodGet, path, nil, out)
	return err
}

// write sends a call with side effects. A missing or unusable response matches ErrOutcomeUnknown once the request
// may have been sent.
func (c *Client) write(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("store: encode %s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Once there is a connection the request may be sent, even after the call has timed out.
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	known, err := c.call(traced, http.MethodPost, path, body, out)
	if err != nil && !known && sent.Load() {
		return fmt.Errorf("%w: %s", ErrOutcomeUnknown, err)
	}
	return err
}

// call sends one request and reports whether its outcome is known. It is unknown after a transport error, an
// unreadable response, and status 500 or above except 501 and 503.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return true, fmt.Errorf("%w: %w", ErrInvalidCall, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := head.Do(c.http, req)
	if errors.Is(err, head.ErrInvalid) {
		c.invalidHeads.Add(1)
	}
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := errorFromStatus(resp.StatusCode, path); err != nil {
		// After a 500, or a 502 or 504 of a gateway, the write may have taken effect.
		return resp.StatusCode != http.StatusInternalServerError && resp.StatusCode < http.StatusBadGateway ||
			resp.StatusCode == http.StatusServiceUnavailable, err
	}
	if out == nil || resp.StatusCode == http.StatusNoContent {
		return true, nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return false, fmt.Errorf("%w: decode %s: %w", ErrUnavailable, path, err)
	}
	return true, nil
}

// errorFromStatus maps the service's status codes to the client's errors.
func errorFromStatus(code int, path string) error {
	switch code {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrLeaseExpired
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrUnavailable, ErrRateLimited)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnauthorized:
		return fmt.Errorf("%w: %s: status %d", ErrInvalidCall, path, code)
	default:
		return fmt.Errorf("%w: %s: status %d", ErrUnavailable, path, code)
	}
}
