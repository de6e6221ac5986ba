package pool_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/pool"
)

// invalidFields are field lines whose name contains a byte that is not allowed there. net/http accepts spaces
// in names, so that a field that ends the body or the connection goes unnoticed.
var invalidFields = []string{
	"Bad Name: x", "Bad : x", " Bad: x", "\tBad: x", "Bad\tName: x", "Bad\x00Name: x", "Bad\x01: x", "Bad\x7f: x", ": x",
	"Content-Length : 2", " Content-Length: 2", "Transfer-Encoding : chunked", "Connection : close",
}

// Guards against a response that reaches a caller although a field name in its head, or in its trailer section,
// contains whitespace or a control character.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const rest = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range invalidFields {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\nno",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + line + "\r\n\r\n2\r\nno\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n" + line + "\r\n\r\n",
			"HTTP/1.1 204 No Content\r\n" + line + "\r\n\r\n",
			"HTTP/1.1 429 Too Many Requests\r\nShed: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + rest,
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
			"HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 8<<10) + "\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
		} {
			if got := answerTo(t, text); got != "failed" {
				t.Errorf("%.120q: the caller gets %q", text, got)
			}
		}
	}
}

// Guards against the answer to a query about an attempt that is believed although its head is invalid: an order that was
// sent would be called not run.
func TestInvalidHeadProvesNothingAboutAnAttempt(t *testing.T) {
	const proof = "Content-Length: 32\r\n\r\n" + `{"state":"dropped","up":1000000}`
	heads := map[string]pool.State{"HTTP/1.1 200 OK\r\n": pool.Dropped}
	for _, line := range invalidFields {
		heads["HTTP/1.1 200 OK\r\n"+line+"\r\n"] = pool.Unreachable
	}
	for head, want := range heads {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, err := pool.New(pool.Settings{Conns: 4}, answering(head+proof, 0))
				if err != nil {
					t.Fatal(err)
				}
				defer p.Close()
				if got := p.CancelAttempt(t.Context(), "a", "1", time.Now()); got != want {
					t.Errorf("state %d, want %d", got, want)
				}
				if n := p.InvalidHeadCount(); (n > 0) != (want == pool.Unreachable) {
					t.Errorf("%d invalid heads counted", n)
				}
			})
		})
	}
}

// Guards against chunks that reach a caller as the body: net/http ignores a transfer coding of HTTP/1.0, which has none.
func TestTransferCodingOfHTTP10IsNoResponse(t *testing.T) {
	const chunks = "\r\n2\r\nno\r\n0\r\n\r\n"
	if got := answerTo(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n"+chunks); got != "failed" {
		t.Errorf("the caller gets %q", got)
	}
}
