package console

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"tamarackspool/internal/request/head"
)

const (
	// callTimeout bounds a call: an entry takes up to 10 s to submit a patch and up to 1 s to push it to its peers.
	callTimeout = 15 * time.Second
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 256 << 20
)

// Client calls the operators' API of the entries at the given URLs and is safe for concurrent use.
type Client struct {
	bases []string
	token string
	http  *http.Client
}

// NewClient returns a client that tries the entries at the given URLs in order; a nil client means http.DefaultClient.
func NewClient(bases []string, token string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{bases, token, client}
}

// response is a complete response of an entry.
type response struct {
	code int
	data []byte
}

// errNoResponse means that a request was sent and no complete response was received.
var errNoResponse = errors.New("request sent, no complete response")

// callAny calls the entries in order until one responds with a status other than 503.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte) (response, error) {
	var last response
	err := error(failf(CodeInput, "no entry address is given"))
	var unanswered error // unanswered is the latest error of a request that was sent and got no complete response.
	for _, base := range c.bases {
		var r response
		r, err = c.call(ctx, base, method, path, body)
		if err == nil && r.code != http.StatusServiceUnavailable {
			return r, nil
		}
		// A patch may be sent to the next entry, because its id prevents a second application.
		if errors.Is(err, errNoResponse) {
			unanswered = err
		}
		last = r
	}
	switch {
	case unanswered != nil && method == http.MethodPost:
		return last, failf(CodeUnknown, "outcome unknown, submit again with the same id: %v", unanswered)
	case err != nil && len(c.bases) > 0:
		return last, failf(CodeUnavailable, "no entry responds: %v", err)
	}
	return last, err
}

// call sends a request to one entry. The error wraps errNoResponse unless nothing was sent.
func (c *Client) call(ctx context.Context, base, method, path string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return response{}, failf(CodeInput, "address %q: %v", base, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := head.Do(c.http, req)
	if err != nil {
		if dial, ok := errors.AsType[*net.OpError](err); ok && dial.Op == "dial" {
			return response{}, err
		}
		return response{}, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	return response{resp.StatusCode, data}, nil
}

// failure returns nil for status 200 and otherwise a Failure with the exit code for the status.
func (r response) failure() error {
	var e struct {
		Error  string `json:"error"`
		Reason string `json:"reason"`
	}
	if r.code == http.StatusOK {
		return nil
	}
	// If the body is not JSON, the status alone determines the failure.
	_ = json.Unmarshal(r.data, &e)
	text := strings.TrimSpace(e.Error + e.Reason)
	switch r.code {
	case http.StatusConflict:
		return failf(CodeRefused, "refused: %s", text)
	case http.StatusUnauthorized, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return failf(CodeInput, "%s", text)
	case http.StatusServiceUnavailable:
		return failf(CodeUnavailable, "unavailable: %s", text)
	case http.StatusGatewayTimeout:
		return failf(CodeUnknown, "outcome unknown, submit again with the same id: %s", text)
	default:
		return failf(CodeInternal, "status %d: %s", r.code, text)
	}
}
