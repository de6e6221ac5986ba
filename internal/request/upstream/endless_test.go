package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/upstream"
)

// writeEndlessly returns a script that reads a request, writes the head and then the repeated bytes until the
// connection is closed, and sends the number of bytes written to the channel. It stops at endlessLimit bytes.
func writeEndlessly(head, repeated string, written chan<- int) script {
	return func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		n, err := io.WriteString(c, head)
		for err == nil && n < endlessLimit {
			var more int
			more, err = io.WriteString(c, repeated)
			n += more
		}
		written <- n
	}
}

const endlessLimit = 8 << 20

// Guards against an endless stream of bytes from a target that is buffered in memory until the request's deadline.
func TestEndlessBytesCloseTheConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ head, repeated, want string }{
		"no protocol":               {"", "%%%%%%%%", "garbled sent=true"},
		"status line":               {"HTTP/1.1 200 ", "OK and more ", "garbled sent=true"},
		"header line":               {head + "X: ", "xxxxxxxxxxxxxxxx", "garbled sent=true"},
		"header lines":              {head, "X: xxxxxxxxxxxx\r\n", "garbled sent=true"},
		"interim answers":           {"", "HTTP/1.1 102 Processing\r\n\r\n", "garbled sent=true"},
		"head of an interim answer": {"HTTP/1.1 103 Early Hints\r\n", "Link: xxxxxxxxxx\r\n", "garbled sent=true"},
		"chunk size":                {chunked, "0000000000000000", "garbled sent=true"},
		"chunk extension":           {chunked + "1;", "xxxxxxxxxxxxxxxx", "garbled sent=true"},
		"extensions of small chunks": {
			chunked, "1;" + strings.Repeat("x", 100) + "\r\na\r\n", "garbled sent=true",
		},
		"trailers":                     {chunked + "0\r\n", "X: xxxxxxxxxxxx\r\n", "garbled sent=true"},
		"answer to another request":    {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 99999999\r\n\r\n", "xxxxxxxxxxxxxxxx", "garbled sent=true"},
		"another's without a length":   {"HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "xxxxxxxxxxxxxxxx", "garbled sent=true"},
		"answers to another request":   {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx", "garbled sent=true"},
		"unusable answer":              {head + "Unusable: 1\r\n\r\n", "xxxxxxxxxxxxxxxx", "garbled sent=true"},
		"empty chunks behind a header": {head + "Transfer-Encoding: chunked\r\nX:", " ", "garbled sent=true"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				written := make(chan int, 1)
				r := newRig(writeEndlessly(c.head, strings.Repeat(c.repeated, 64), written))
				defer r.pool.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				began := time.Now()
				if got := r.call(ctx, "1", nil); got != c.want {
					t.Errorf("%q, want %q", got, c.want)
				}
				if took := time.Since(began); took > 0 {
					t.Errorf("ended after %v", took)
				}
				if n := <-written; n > 1<<20 {
					t.Errorf("%d bytes were read", n)
				}
			})
		})
	}
}

// Guards against an endless body that is buffered in memory, or is still read after the request's deadline or after its caller has disconnected.
func TestEndlessBodiesStopWithTheirRequest(t *testing.T) {
	for _, framing := range []struct{ name, head, repeated string }{
		{"no length", "\r\n", strings.Repeat("x", 1024)},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	} {
		for _, end := range []string{"time", "caller"} {
			t.Run(framing.name+", "+end, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					written := make(chan int, 1)
					r := newRig(writeEndlessly("HTTP/1.1 200 OK\r\nId: 1\r\n"+framing.head, framing.repeated, written))
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					a, err := r.pool.Do(ctx, upstream.Call{
						Address: "t", Method: http.MethodGet, Target: "/", Host: "a",
						Classify: func(int, http.Header) upstream.AnswerClass { return upstream.Matching },
					})
					if err != nil || a.BodyRest == nil {
						t.Fatalf("%v, %v, want the beginning of a body", a, err)
					}
					if len(a.Body) > 300<<10 {
						t.Errorf("%d bytes are buffered", len(a.Body))
					}
					if end == "time" {
						time.Sleep(6 * time.Second)
						if n, err := io.Copy(io.Discard, a.BodyRest); err == nil || n > 64<<10 {
							t.Errorf("%d bytes and %v after the deadline", n, err)
						}
					}
					_ = a.BodyRest.Close()
					if n := <-written; n > 1<<20 {
						t.Errorf("%d bytes were read", n)
					}
				})
			})
		}
	}
}

// Guards against an idle connection on which a target keeps sending, which would fill the kernel's socket buffers.
func TestBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	idle, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		readRequest(bufio.NewReader(c))
		reply(c, "1", "ok")
		<-idle
		_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		for err == nil {
			_, err = c.Write(make([]byte, 1024))
		}
		ended <- err
	}()
	p := upstream.New(new(net.Dialer).DialContext, nil)
	a, err := p.Do(t.Context(), upstream.Call{
		Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a",
		Classify: func(int, http.Header) upstream.AnswerClass { return upstream.Matching },
	})
	if err != nil || string(a.Body) != "ok" {
		close(idle)
		t.Fatalf("%v, %v", a, err)
	}
	answered := time.Now()
	close(idle)
	for {
		p.CloseExpired(answered)
		select {
		case err := <-ended:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stays open")
			}
			return
		case <-time.After(time.Millisecond):
		}
	}
}
