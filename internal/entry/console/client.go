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
)

const (
	// timeout bounds a call: an entry works on a patch for up to 10 s and pushes it for up to 1 s.
	timeout = 15 * time.Second
	// longest bounds a response in bytes.
	longest = 256 << 20
)

// Client calls the operators' API of the entries at the given URLs and is safe for concurrent use.
type Client struct {
	bases []string
	token string
	http  *http.Client
}

// NewClient returns a client of the entries at the URLs, which are tried in turn; a nil client means http.DefaultClient.
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

// errSent means that a call left and that no complete response came back.
var errSent = errors.New("sent but not answered")

// try asks the entries in turn until one responds other than with 503.
func (c *Client) try(ctx context.Context, method, path string, body []byte) (response, error) {
	var last response
	err := error(failf(CodeInput, "no address of an entry is given"))
	lost := false
	for _, base := range c.bases {
		var r response
		r, err = c.call(ctx, base, method, path, body)
		if err == nil && r.code != http.StatusServiceUnavailable {
			return r, nil
		}
		// A patch may go to the next entry, because its id keeps it from being applied twice.
		lost = lost || errors.Is(err, errSent)
		last = r
	}
	switch {
	case lost && method == http.MethodPost:
		return last, failf(CodeUnknown, "the call was sent and not answered; submit again with the same id")
	case err != nil && len(c.bases) > 0:
		return last, failf(CodeUnavailable, "no entry answers: %v", err)
	}
	return last, err
}

// call asks one entry.
func (c *Client) call(ctx context.Context, base, method, path string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return response{}, failf(CodeInput, "address %q: %v", base, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		if dial, ok := errors.AsType[*net.OpError](err); ok && dial.Op == "dial" {
			return response{}, err
		}
		return response{}, fmt.Errorf("%w: %w", errSent, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, longest))
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", errSent, err)
	}
	return response{resp.StatusCode, data}, nil
}

// check turns a response that is no success into a failure with its exit code.
func (r response) check() error {
	var e struct {
		Error  string `json:"error"`
		Reason string `json:"reason"`
	}
	if r.code == http.StatusOK {
		return nil
	}
	// A response without a JSON body still has its status.
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
