package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// invalidFields are field lines whose name contains a byte that is not allowed there. net/http accepts spaces
// in names, so that a field that ends the body or the connection goes unnoticed.
var invalidFields = map[string]string{
	"space in a name":                "Bad Name: x",
	"space before the colon":         "Bad : x",
	"leading space":                  " Bad: x",
	"leading tab":                    "\tBad: x",
	"tab in a name":                  "Bad\tName: x",
	"tab before the colon":           "Bad\t: x",
	"zero byte":                      "Bad\x00Name: x",
	"control byte":                   "Bad\x01Name: x",
	"control byte in front":          "\x1fBad: x",
	"carriage return":                "Bad\rName: x",
	"delete":                         "Bad\x7f: x",
	"byte above ASCII":               "B\xe4d: x",
	"no name":                        ": x",
	"no colon":                       "Bad",
	"length with a space":            "Content-Length : 2",
	"folded length":                  " Content-Length: 2",
	"transfer coding with a space":   "Transfer-Encoding : chunked",
	"folded transfer coding":         " Transfer-Encoding: chunked",
	"content coding with a space":    "Content-Encoding : gzip",
	"connection option with a space": "Connection : close",
	"another request's id, a space":  "Id : 0",
}

// Guards against an answer that reaches a caller although a field name in its head contains whitespace or a control character:
// the line was passed on, or the body ended elsewhere than the target's.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	const rest = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for name, line := range invalidFields {
		for where, text := range map[string]string{
			"final":               "HTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
			"first line":          "HTTP/1.1 200 OK\r\n" + line + "\r\nId: 1\r\nContent-Length: 2\r\n\r\nno",
			"last line":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: 1\r\n" + line + "\r\n\r\nno",
			"without a length":    "HTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\n\r\nno",
			"bare line feeds":     "HTTP/1.1 200 OK\nId: 1\n" + line + "\nContent-Length: 2\n\nno",
			"HTTP/1.0":            "HTTP/1.0 200 OK\r\nId: 1\r\n" + line + "\r\n\r\nno",
			"error":               "HTTP/1.1 500 Failed\r\nId: 1\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
			"without content":     "HTTP/1.1 204 No Content\r\nId: 1\r\n" + line + "\r\n\r\n",
			"interim":             "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + rest,
			"behind an interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
			"skipped":             "HTTP/1.1 200 OK\r\nId: 0\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno" + rest,
			"behind a skipped":    "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
			"behind a long field": "HTTP/1.1 200 OK\r\nId: 1\r\nLong: " + strings.Repeat("x", 8<<10) + "\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
			"long answer":         "HTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("y", 400_000),
		} {
			t.Run(name+", "+where, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ended := false
					r := newRig(func(c net.Conn, br *bufio.Reader) {
						readRequest(br)
						_, _ = io.WriteString(c, text)
						_ = c.SetReadDeadline(time.Now().Add(time.Second))
						_, err := br.ReadByte()
						ended = errors.Is(err, io.EOF)
					})
					defer r.pool.Close()
					got := r.call(t.Context(), "1", nil)
					synctest.Wait()
					if got != "garbled sent=true" || !ended || r.pool.Idle() > 0 {
						t.Errorf("%.40q, want an invalid answer; connection ended: %v", got, ended)
					}
				})
			})
		}
	}
}

// Guards against chunks that reach a caller as the body: net/http ignores a transfer coding of HTTP/1.0, which has none.
func TestTransferCodingOfHTTP10IsNoAnswer(t *testing.T) {
	const chunks = "\r\n2\r\nok\r\n0\r\n\r\n"
	for head, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n":                       "200 ok",
		"HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n":                       "garbled sent=true",
		"HTTP/1.0 200 OK\r\nId: 1\r\ntransfer-ENCODING:chunked\r\n":                        "garbled sent=true",
		"HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n": "garbled sent=true",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n":                       "garbled sent=true",
		"HTTP/1.0 200 OK\r\nId: 1\r\nTransfer: chunked\r\nContent-Length: 2\r\n":           "200 2\r",
	} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(func(c net.Conn, br *bufio.Reader) { readRequest(br); _, _ = io.WriteString(c, head+chunks) })
				defer r.pool.Close()
				if got := r.call(t.Context(), "1", nil); got != want {
					t.Errorf("%q, want %q", got, want)
				}
			})
		})
	}
}

// Guards against an invalid head that is rejected only when the rest of it arrives, or at the request's deadline.
func TestInvalidFieldNameIsNotWaitedOut(t *testing.T) {
	for name, line := range invalidFields {
		if !strings.Contains(line, ":") {
			continue // The line may yet get its colon.
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(func(c net.Conn, br *bufio.Reader) {
					readRequest(br)
					for _, b := range []byte("HTTP/1.1 200 OK\r\nId: 1\r\n" + line) {
						_, _ = c.Write([]byte{b})
					}
					_, _ = br.ReadByte()
				})
				defer r.pool.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if got := r.call(ctx, "1", nil); got != "garbled sent=true" {
					t.Errorf("%q, want an invalid answer", got)
				}
			})
		})
	}
}

// Guards against a trailer section with spaces in its field names: it passed for the regular end of its answer.
func TestInvalidFieldNameInATrailerIsNoEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := "61a80\r\n" + strings.Repeat("y", 0x61a80) + "\r\n0\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"valid":                  {head + "2\r\nok\r\n0\r\nSum: 1\r\n\r\n", "200 ok"},
		"space":                  {head + "2\r\nno\r\n0\r\nBad Sum: 1\r\n\r\n", "garbled sent=true"},
		"space before the colon": {head + "2\r\nno\r\n0\r\nSum : 1\r\n\r\n", "garbled sent=true"},
		"control byte":           {head + "2\r\nno\r\n0\r\nSu\x01m: 1\r\n\r\n", "garbled sent=true"},
		"long answer":            {head + long + "Bad Sum: 1\r\n\r\n", "cut rest"},
		"skipped answer":         {strings.Replace(head, "Id: 1", "Id: 0", 1) + "2\r\nno\r\n0\r\nSum : 1\r\n\r\n" + head + "2\r\nok\r\n0\r\n\r\n", "garbled sent=true"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(func(conn net.Conn, br *bufio.Reader) { readRequest(br); _, _ = io.WriteString(conn, c.text) })
				defer r.pool.Close()
				if got := r.call(t.Context(), "1", nil); got != c.want {
					t.Errorf("%.40q, want %q", got, c.want)
				}
			})
		})
	}
}
