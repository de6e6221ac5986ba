package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tamarackspool/internal/request/upstream"
)

// Guards against an order that is refused and runs: an attempt that failed counts as unsent although its target has bytes of it.
func TestUnsentFailuresLeftNoBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var received atomic.Int64
	ended := make(chan struct{})
	// Connections are closed at once, reset at once, or closed behind the first bytes.
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			switch n % 3 {
			case 0:
				_ = c.(*net.TCPConn).SetLinger(0)
			case 1:
				_ = c.(*net.TCPConn).CloseWrite()
			}
			if n%3 > 0 {
				_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
				got, _ := io.Copy(io.Discard, io.LimitReader(c, 1<<20))
				received.Add(got)
			}
			_ = c.Close()
			ended <- struct{}{}
		}
	}()
	p := upstream.New(upstream.NewDial(), nil)
	defer p.Close()
	bodies := []string{"", strings.Repeat("x", 1000), strings.Repeat("x", 64<<10)}
	for i := range 120 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%4+1)*10*time.Millisecond)
		before := received.Load()
		_, err := p.Do(ctx, upstream.Call{
			Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", AtMostOnce: true, Body: []byte(bodies[i/3%len(bodies)]),
			Classify: func(int, http.Header) upstream.AnswerClass { return upstream.Matching },
		})
		cancel()
		<-ended
		var f *upstream.Failure
		if !errors.As(err, &f) || !f.Sent() && received.Load() > before {
			t.Errorf("call %d: %v, %d bytes arrived", i, err, received.Load()-before)
		}
	}
}
