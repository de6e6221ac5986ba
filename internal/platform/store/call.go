package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// longest bounds a response: a list of segments is the largest one.
const longest = 256 << 20

// read sends a call without effects; every failure to get a response is ErrUnavailable.
func (c *Client) read(ctx context.Context, limit time.Duration, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err := c.call(ctx, http.MethodGet, path, nil, out)
	return err
}

// write sends a call with effects; once the request may have left, a missing response is ErrUnknown.
func (c *Client) write(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("store: encode %s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Once there is a connection the request may leave, even after the call has given up.
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	answered, err := c.call(traced, http.MethodPost, path, body, out)
	if err != nil && !answered && sent.Load() {
		return fmt.Errorf("%w: %s", ErrUnknown, err)
	}
	return err
}

// call sends one request and reports whether a complete response came back.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return true, fmt.Errorf("%w: %w", ErrInput, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, longest))
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := status(resp.StatusCode, path); err != nil {
		// A gateway's 500 or 504 says nothing about the write behind it.
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

// status maps the service's status codes to the client's errors.
func status(code int, path string) error {
	switch code {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrLease
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrUnavailable, ErrLimited)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnauthorized:
		return fmt.Errorf("%w: %s: status %d", ErrInput, path, code)
	default:
		return fmt.Errorf("%w: %s: status %d", ErrUnavailable, path, code)
	}
}
