package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"
)

// answerTime is how long a command waits for an entry.
const answerTime = 15 * time.Second

// admin are the flags of the commands that talk to an entry's operators' API.
type admin struct {
	Admin netip.AddrPort `help:"Operators' address of an entry." placeholder:"IP:PORT" required:""`
	Key   string         `name:"operator-key" help:"Token of the operators." required:""`
}

// call sends a request to the operators' API and prints the response.
func (a admin) call(ctx context.Context, s *streams, method, path string, query url.Values, body any) error {
	var content io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: a.Admin.String(), Path: path, RawQuery: query.Encode()}
	return fetch(ctx, s, method, target.String(), a.Key, content)
}

// fetch sends one request, prints the response body and turns its status into an exit status.
func fetch(ctx context.Context, s *streams, method, target, key string, content io.Reader) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, content)
	if err != nil {
		return fail(exitUsage, "%v", err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fail(lostCode(method, err), "%v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fail(lostCode(method, err), "the response ended early: %v", err)
	}
	print(s.out, data)
	return status(resp.StatusCode)
}

// print writes JSON with indentation and anything else as it is.
func print(out io.Writer, data []byte) {
	var pretty bytes.Buffer
	if json.Indent(&pretty, data, "", "  ") == nil {
		data = pretty.Bytes()
	}
	fmt.Fprintln(out, string(bytes.TrimRight(data, "\n")))
}

// lostCode returns the exit status for a request without a response: a change
// that was sent may have taken effect, a connection that was refused proves
// that it has not.
func lostCode(method string, err error) int {
	var op *net.OpError
	refused := errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial")
	if method == http.MethodGet || refused {
		return exitUnavailable
	}
	return exitUnknown
}

// status turns an HTTP status of the operators' API into an error with an exit status.
func status(code int) error {
	switch {
	case code == http.StatusAccepted || code == http.StatusGatewayTimeout:
		return fail(exitUnknown, "the outcome is not known; ask again with the same id")
	case code < 300:
		return nil
	case code == http.StatusConflict:
		return fail(exitRefused, "refused")
	case code == http.StatusServiceUnavailable || code == http.StatusBadGateway:
		return fail(exitUnavailable, "not available")
	case code < 500:
		return fail(exitUsage, "the entry answered %d %s", code, http.StatusText(code))
	default:
		return fail(exitInternal, "the entry answered %d %s", code, http.StatusText(code))
	}
}
