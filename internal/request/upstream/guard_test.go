package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/request/upstream"
)

// readPause is how long the target of the test does not read: longer than sent bytes may stay unacknowledged.
const readPause = 2 * time.Second

// Guards against an upload that the system resets while its target is at work, because the target does not read on and
// the system counts that as silence.
func TestUploadOutlastsATargetThatReadsOnLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const size = 4 << 20
	served := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		time.Sleep(readPause)
		n, _ := io.Copy(io.Discard, r.Body)
		served <- n
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_, _ = c.Read(make([]byte, 1))
	}()
	p := upstream.New(upstream.NewDial(), nil)
	defer p.Close()
	a, err := p.Do(t.Context(), upstream.Call{
		Address: l.Addr().String(), Method: http.MethodPost, Target: "/u/", Host: "h", Header: http.Header{},
		Body: []byte(strings.Repeat("x", size)), SendContentLength: true, AtMostOnce: true,
		Classify: func(int, http.Header) upstream.AnswerClass { return upstream.Matching },
	})
	if err != nil || a.Status != http.StatusOK || <-served != size {
		t.Fatalf("%v %v", a, err)
	}
}
