package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/upstream"
)

const uploadSize = 300_000

// Guards against a part of an answer that passes for the whole one. An answer without a length ends with its connection.
// When the target resets the connection while the upload is still being written, the write gets the error of the reset
// and the read only the end of the bytes.
func TestEarlyAnswerWithoutLengthIsCutByAReset(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct {
		read   int64 // read is how much of the upload the target reads before it closes the connection.
		answer string
		pause  time.Duration // pause is the time between the answer and the end of the connection.
		want   string
	}{
		"part at once":           {0, head + "\r\npart", 0, "broken sent=true"},
		"part in the upload":     {1000, head + "\r\npart", 0, "broken sent=true"},
		"part, then a pause":     {1000, head + "\r\npart", time.Second, "broken sent=true"},
		"large part":             {1000, head + "\r\n" + strings.Repeat("y", 400_000), 0, "cut rest"},
		"HTTP/1.0":               {1000, "HTTP/1.0 200 OK\r\nId: 1\r\n\r\npart", 0, "broken sent=true"},
		"error":                  {1000, "HTTP/1.1 500 Failed\r\nId: 1\r\n\r\npart", 0, "broken sent=true"},
		"connection: close":      {1000, head + "Connection: close\r\n\r\npart", 0, "broken sent=true"},
		"whole by its length":    {1000, head + "Content-Length: 4\r\n\r\nfull", 0, "200 full"},
		"whole by its chunks":    {1000, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", 0, "200 full"},
		"without content":        {1000, "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", 0, "204 "},
		"after the whole upload": {uploadSize, head + "\r\nfull", 0, "200 full"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(func(conn net.Conn, br *bufio.Reader) {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, req.Body, c.read)
					_, _ = io.WriteString(conn, c.answer)
					time.Sleep(c.pause)
				})
				defer r.pool.Close()
				got := r.call(t.Context(), "1", func(call *upstream.Call) {
					call.Method, call.Body = http.MethodPost, []byte(strings.Repeat("x", uploadSize))
				})
				if got != c.want {
					t.Errorf("%.60q, want %q", got, c.want)
				}
			})
		})
	}
}

// Guards against a target that half-closes its connection behind an answer without a length and reads the upload to its
// end: that answer is complete and must not be taken for a cut one because the upload was still being written.
func TestEarlyAnswerOfATargetThatReadsOnIsComplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nfull")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, req.Body)
	}()
	var d net.Dialer
	r := &rig{pool: upstream.New(d.DialContext, func(string) {})}
	defer r.pool.Close()
	got := r.call(t.Context(), "1", func(call *upstream.Call) {
		call.Address, call.Method, call.Body = l.Addr().String(), http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	})
	<-ended
	if got != "200 full" {
		t.Errorf("%q, want the whole answer", got)
	}
}

// Guards against the same on sockets, where the reset discards what the kernel holds: the target resets the connection at
// different moments after a part of its answer.
func TestEarlyAnswerIsCutByAResetOnSockets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const attempts = 40
	go func() {
		for i := range attempts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.CopyN(io.Discard, req.Body, int64(i%4)*10_000)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				time.Sleep(time.Duration(i%5) * time.Millisecond)
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	var d net.Dialer
	r := &rig{pool: upstream.New(d.DialContext, func(string) {})}
	defer r.pool.Close()
	for i := range attempts {
		got := r.call(t.Context(), "1", func(call *upstream.Call) {
			call.Address, call.Method, call.Body = l.Addr().String(), http.MethodPost, []byte(strings.Repeat("x", 16<<20))
		})
		if got != "broken sent=true" {
			t.Errorf("attempt %d: %q, want a cut answer", i, got)
		}
	}
}

// Guards against bytes with a status that HTTP does not define as an answer that reaches a caller, as the answer itself or
// as an interim answer whose successor is taken for the answer.
func TestUndefinedStatusIsNoAnswer(t *testing.T) {
	const rest = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "042", "099", "600", "700", "999", "101", "1000", "20", "-10", "abc"} {
		for name, text := range map[string]string{
			"alone":            "HTTP/1.1 " + status + " Trouble\r\nId: 1\r\nContent-Length: 2\r\n\r\nno",
			"without a length": "HTTP/1.1 " + status + " Trouble\r\nId: 1\r\n\r\n",
			"as an interim":    "HTTP/1.1 " + status + " Trouble\r\n\r\n" + rest,
			"behind one":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " Trouble\r\nId: 1\r\nContent-Length: 0\r\n\r\n" + rest,
		} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(func(c net.Conn, br *bufio.Reader) { readRequest(br); _, _ = io.WriteString(c, text) })
				defer r.pool.Close()
				if got := r.call(t.Context(), "1", nil); got != "garbled sent=true" {
					t.Errorf("status %s %s: %q, want an invalid answer", status, name, got)
				}
			})
		}
	}
}
