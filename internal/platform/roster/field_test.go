package roster_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"tamarackspool/internal/platform/roster"
	"tamarackspool/internal/standin/raw"
)

// Guards against a list that is believed although the head of its response is invalid: entries would count as leaving.
func TestListWithAnInvalidHeadIsNotBelieved(t *testing.T) {
	const body = "Content-Length: 67\r\n\r\n" + `{"vms":[{"name":"a","leaving":true,"seen":"2026-12-04T02:00:00Z"}]}`
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                                                  true,
		"HTTP/1.1 200 OK\r\nBad Name: x\r\n":                                   false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n":                            false,
		"HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n":                                false,
		"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n":   false,
		"HTTP/1.1 000 Trouble\r\n":                                             false,
		"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n": false,
	} {
		s := raw.NewServer(head + body)
		transport := &http.Transport{}
		c := roster.New(s.URL, &http.Client{Transport: transport})
		list, err := c.List(t.Context())
		if valid != (err == nil && len(list) == 1) || !valid && (!errors.Is(err, roster.ErrUnavailable) || !strings.Contains(err.Error(), "invalid head")) {
			t.Errorf("%q: %v, %v", head, list, err)
		}
		if n := c.InvalidHeadCount(); (n == 0) != valid {
			t.Errorf("%q: %d invalid heads counted", head, n)
		}
		transport.CloseIdleConnections()
		s.Close()
	}
}
