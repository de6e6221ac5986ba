package inbound

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// requestError is an invalid request; it is answered with the status, and its connection is closed.
type requestError struct {
	status int
	cause  string
}

// Error returns the cause.
func (p *requestError) Error() string { return fmt.Sprintf("inbound: %s (%d)", p.cause, p.status) }

func badRequest(cause string) *requestError { return &requestError{http.StatusBadRequest, cause} }

var headEnd = []byte("\r\n\r\n")

// readHead waits until the reader has buffered a complete request head of at
// most limit bytes and returns it without consuming it.
func readHead(br *bufio.Reader, limit int) ([]byte, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		if n > limit {
			return nil, &requestError{http.StatusRequestHeaderFieldsTooLarge, "header is too large"}
		}
		if _, err := br.Peek(n); err != nil {
			return nil, err
		}
		head, _ := br.Peek(min(br.Buffered(), limit))
		if i := bytes.Index(head, headEnd); i >= 0 {
			return head[:i+len(headEnd)], nil
		}
	}
}

// checkHead rejects headers that two parsers could frame differently, which would allow request smuggling.
func checkHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	var lengths, codings, hosts int
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return badRequest("header has a stray line break or zero byte")
		}
		if i == 0 {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return badRequest("header line is malformed or folded")
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if value == "" || strings.Trim(value, "0123456789") != "" {
				return badRequest("content length is not a number")
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(value, "chunked") {
				return &requestError{http.StatusNotImplemented, "transfer coding is not supported"}
			}
		case "host":
			hosts++
		}
	}
	switch {
	case lengths+codings > 1:
		return badRequest("body has more than one length or transfer coding")
	case hosts != 1:
		return badRequest("request must have exactly one Host header")
	}
	return nil
}

var errUnsupported = errors.New("inbound: unsupported protocol version, method or request target")

// parseRequest parses and consumes the request head that readHead found.
func parseRequest(br *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if r.ProtoMajor != 1 || r.Method == http.MethodConnect || !strings.HasPrefix(r.RequestURI, "/") {
		return nil, badRequest(errUnsupported.Error())
	}
	return r, nil
}
