package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/upstream"
)

// Guards against the second copy of an answer that reaches the next request on its connection, at each moment at
// which it can arrive. The first request gets the answer text, then again after the given moment.
func TestSecondCopiesReachNobody(t *testing.T) {
	const named = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
	answers := map[string]struct{ text, want string }{
		"named":             {named, "200 one"},
		"named, chunked":    {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n3\r\none\r\n0\r\nT: 1\r\n\r\n", "200 one"},
		"named, no content": {"HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", "204 "},
		"with interim":      {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + named, "200 one"},
		"not run, no name":  {"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "503 "},
		"other target":      {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 2\r\n\r\nno", "421 no"},
	}
	// afterRequest reads the next request and then writes the text; nothing if the connection is closed instead.
	afterRequest := func(text func(again string) string, wait time.Duration) resend {
		return func(c net.Conn, br *bufio.Reader, again string) {
			if r, _ := readRequest(br); r != nil {
				time.Sleep(wait)
				_, _ = io.WriteString(c, text(again))
			}
		}
	}
	moments := map[string]resend{
		"with the answer": nil,
		"while idle":      func(c net.Conn, _ *bufio.Reader, again string) { _, _ = io.WriteString(c, again) },
		"during the next head": func(c net.Conn, br *bufio.Reader, again string) {
			_, _ = br.Peek(1)
			_, _ = io.WriteString(c, again)
		},
		"after the next request":  afterRequest(func(again string) string { return again + second }, 0),
		"just before the next's":  afterRequest(func(again string) string { return again + second }, time.Second),
		"in place of the next's":  afterRequest(func(again string) string { return again }, 0),
		"twice before the next's": afterRequest(func(again string) string { return again + again + second }, 0),
	}
	for kind, a := range answers {
		for moment, again := range moments {
			t.Run(kind+" "+moment, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					doubling := func(c net.Conn, br *bufio.Reader) {
						readRequest(br)
						if again == nil {
							_, _ = io.WriteString(c, a.text+a.text)
							return
						}
						_, _ = io.WriteString(c, a.text)
						time.Sleep(time.Millisecond)
						again(c, br, a.text)
						_, _ = br.ReadByte()
					}
					next := func(c net.Conn, br *bufio.Reader) { readRequest(br); _, _ = io.WriteString(c, second) }
					r := newRig(doubling, next)
					defer r.pool.Close()
					if got := r.call(t.Context(), "1", classifyByName("1")); got != a.want {
						t.Fatalf("the first request got %q, want %q", got, a.want)
					}
					time.Sleep(10 * time.Millisecond)
					limit, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					switch got := r.call(limit, "2", classifyByName("2")); got {
					case "200 two", "broken sent=true", "garbled sent=true", "cancelled sent=true":
					default:
						t.Errorf("the next request got %q", got)
					}
				})
			})
		}
	}
}

// resend sends the text of an answer again at some moment.
type resend func(c net.Conn, br *bufio.Reader, again string)

// second is the answer to request 2.
const second = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo"

// classifyByName classifies answers as an entry does: by the id that they carry, if any.
func classifyByName(id string) func(*upstream.Call) {
	return func(c *upstream.Call) {
		c.Classify = func(status int, h http.Header) upstream.AnswerClass {
			switch got := h.Get("Id"); {
			case got != id && (got != "" || status < http.StatusMultipleChoices):
				return upstream.OtherRequest
			case got == "":
				return upstream.Unidentified
			}
			return upstream.Matching
		}
	}
}

// Fuzzes the reader of answers: whatever a target sends after the answer to one request, the next one gets the answer
// that names it or none.
func FuzzBytesAfterAnAnswer(f *testing.F) {
	for _, extra := range []string{
		"", "\r\n", "x", second, "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 60\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	} {
		f.Add(extra, "three")
	}
	f.Fuzz(func(t *testing.T, extra, body string) {
		synctest.Test(t, func(t *testing.T) {
			first := func(c net.Conn, br *bufio.Reader) {
				readRequest(br)
				reply(c, "1", "one")
				readRequest(br)
				_, _ = io.WriteString(c, extra)
				reply(c, "3", body)
			}
			r := newRig(first)
			defer r.pool.Close()
			if got := r.call(t.Context(), "1", classifyByName("1")); got != "200 one" {
				t.Fatalf("the first request got %q", got)
			}
			answer := r.call(t.Context(), "3", func(c *upstream.Call) {
				classifyByName("3")(c)
				named := c.Classify
				c.Classify = func(status int, h http.Header) upstream.AnswerClass {
					if status == http.StatusOK && named(status, h) == upstream.Matching && h.Get("Id") != "3" {
						t.Errorf("an answer to %q is taken", h.Get("Id"))
					}
					return named(status, h)
				}
			})
			if want := fmt.Sprintf("200 %s", body); len(extra) == 0 && answer != want {
				t.Errorf("answer %q, want %q", answer, want)
			}
		})
	})
}

// Guards against the rest of a long answer to another request that is taken for the answer to this one.
func TestLongAnswerOfAnotherRequestIsSkippedWhole(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	const inside = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	for name, length := range map[string]int{"below the limit": 256<<10 - 1, "at the limit": 256 << 10, "beyond the limit": 256<<10 + len(inside)} {
		body := (strings.Repeat("y", 256<<10) + inside)[:length]
		for framing, text := range map[string]string{
			"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: %d\r\n\r\n%s", length, body),
			"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, body),
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRig(func(c net.Conn, br *bufio.Reader) { readRequest(br); _, _ = io.WriteString(c, text+own) })
					defer r.pool.Close()
					want := "garbled sent=true"
					if length <= 256<<10 {
						want = "200 ok"
					}
					if got := r.call(t.Context(), "1", nil); got != want {
						t.Errorf("%q, want %q", got, want)
					}
				})
			})
		}
	}
}
