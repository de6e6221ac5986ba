package store_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"tamarackspool/internal/platform/store"
	"tamarackspool/internal/standin/raw"
)

// Guards against a response with an invalid head that is believed: a write that may have taken effect passes for done, or for
// one without effect.
func TestInvalidHeadLeavesTheOutcomeOfAWriteUnknown(t *testing.T) {
	const body = "Content-Length: 34\r\n\r\n" + `{"key":"a","revision":7,"lease":3}`
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nBad Name: x\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
		"HTTP/1.1 409 Conflict\r\nBad : x\r\n",
		"HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n",
		"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 000 Trouble\r\n",
		"HTTP/1.1 042 Trouble\r\n",
		"HTTP/1.1 600 Trouble\r\n",
	} {
		s := raw.NewServer(head + body)
		transport := &http.Transport{}
		c := store.New(s.URL, "k", &http.Client{Transport: transport})
		if _, err := c.Put(t.Context(), "a", nil, 1, 0); !errors.Is(err, store.ErrOutcomeUnknown) || !strings.Contains(err.Error(), "invalid head") {
			t.Errorf("%q, write: %v", head, err)
		}
		if v, err := c.Get(t.Context(), "a"); !errors.Is(err, store.ErrUnavailable) || !strings.Contains(err.Error(), "invalid head") {
			t.Errorf("%q, read: revision %d, %v", head, v.Revision(), err)
		}
		if n := c.InvalidHeadCount(); n != 2 {
			t.Errorf("%q: %d invalid heads counted", head, n)
		}
		transport.CloseIdleConnections()
		s.Close()
	}
}
