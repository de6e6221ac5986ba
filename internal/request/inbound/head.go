package inbound

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// problem is a request that is answered with a status and ends its connection.
type problem struct {
	status int
	cause  string
}

// Error returns the cause.
func (p *problem) Error() string { return fmt.Sprintf("inbound: %s (%d)", p.cause, p.status) }

func bad(cause string) *problem { return &problem{http.StatusBadRequest, cause} }

var headEnd = []byte("\r\n\r\n")

// readHead waits until the reader holds a whole header of at most limit bytes
// and returns it without consuming it.
func readHead(br *bufio.Reader, limit int) ([]byte, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		if n > limit {
			return nil, &problem{http.StatusRequestHeaderFieldsTooLarge, "header is too large"}
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

// checkHead refuses headers that two readers could frame differently.
func checkHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	var lengths, codings, hosts int
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return bad("header has a stray line break or zero byte")
		}
		if i == 0 {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return bad("header line is malformed or folded")
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if value == "" || strings.Trim(value, "0123456789") != "" {
				return bad("content length is no number")
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(value, "chunked") {
				return &problem{http.StatusNotImplemented, "transfer coding is not supported"}
			}
		case "host":
			hosts++
		}
	}
	switch {
	case lengths+codings > 1:
		return bad("body has more than one length")
	case hosts != 1:
		return bad("request needs one host")
	}
	return nil
}

var errUpgrade = errors.New("inbound: request uses another protocol")

// parse consumes the header that readHead found.
func parse(br *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, bad(err.Error())
	}
	if r.ProtoMajor != 1 || r.Method == http.MethodConnect || !strings.HasPrefix(r.RequestURI, "/") {
		return nil, bad(errUpgrade.Error())
	}
	return r, nil
}
