package inbound_test

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

	"tamarackspool/internal/request/backlog"
	"tamarackspool/internal/request/inbound"
)

// Guards against a planned stop that resets connections which the kernel has established and the
// server has not accepted yet, although their callers have already sent a request.
func TestStopAcceptsTheKernelsBacklog(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closing := backlog.New(l)
	s := inbound.New(newTestHandler(), func(err error) { t.Error(err) })
	var callers []net.Conn
	for i := range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "GET /0s/%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		callers = append(callers, c)
	}
	s.Drain()
	closing.Stop()
	if err := s.Serve(closing); err != nil {
		t.Error(err)
	}
	_ = closing.Close()
	for i, c := range callers {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("caller %d: %v %v", i, resp, err)
		}
	}
	s.Close(t.Context())
}

// Guards against a closing server that cuts a connection whose request has been sent but not read yet: the wake-up of
// an idle reader used to win over bytes that wait in its socket.
func TestCloseAnswersRequestsThatHaveArrived(t *testing.T) {
	for name, c := range map[string]struct {
		first bool          // first is set when the connection has carried no request before.
		late  time.Duration // late is how long after the begin of the close the request is sent.
		want  int
	}{
		"first request at once":          {first: true, want: 200},
		"first request on its way":       {first: true, late: 200 * time.Millisecond, want: 200},
		"first request that never comes": {first: true, late: time.Second},
		"idle connection, at once":       {late: 5 * time.Millisecond, want: 200},
		"idle connection, later":         {late: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPipeListener()
				s := inbound.New(newTestHandler(), func(err error) { t.Error(err) })
				go func() { _ = s.Serve(l) }()
				caller := l.dial()
				defer caller.Close()
				br := bufio.NewReader(caller)
				send := func() int {
					if _, err := io.WriteString(caller, "GET /0s HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						return 0
					}
					resp, err := http.ReadResponse(br, nil)
					if err != nil {
						return 0
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					return resp.StatusCode
				}
				if !c.first && send() != http.StatusOK {
					t.Fatal("the connection cannot be used")
				}
				synctest.Wait()
				closed := make(chan struct{})
				go func() { s.Close(context.Background()); close(closed) }()
				time.Sleep(c.late)
				if got := send(); got != c.want {
					t.Errorf("status %d, want %d", got, c.want)
				}
				<-closed
				_ = l.Close()
			})
		})
	}
}

// Guards against a planned stop that loses answers: requests sent behind a long one were passed on, and their answers
// were dropped at the end of the grace period, although callers send requests again that were not read.
func TestDrainingConnectionStartsNothingBehindAnUnansweredRequest(t *testing.T) {
	d := newTestHandler()
	runServer(t, d, func(s *inbound.Server, l *pipeListener) {
		c := l.dial()
		defer c.Close()
		s.Drain()
		send(c, getRequest("/3s/")+getRequest("/1s/"))
		br := bufio.NewReader(c)
		if got, want := readAnswer(br), "200 GET /3s/  close"; got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
		if got := readAnswer(br); !strings.HasPrefix(got, "no answer") {
			t.Errorf("answer %q behind the one that closes the connection", got)
		}
	})
	if len(d.served) != 1 {
		t.Errorf("served %v, want only the first request", d.served)
	}
}

// Guards against answers that are ready and dropped at the end of the grace period, because a request that was sent
// before them on the connection is still at work.
func TestStopLimitDeliversAnswersBehindALongRequest(t *testing.T) {
	d := newTestHandler()
	runServer(t, d, func(s *inbound.Server, l *pipeListener) {
		c := l.dial()
		defer c.Close()
		send(c, getRequest("/9s/")+getRequest("/1s/")+getRequest("/8s/")+getRequest("/2s/"))
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		s.Drain()
		limit, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		closed := make(chan struct{})
		go func() { s.Close(limit); close(closed) }()
		br := bufio.NewReader(c)
		for _, want := range []string{"504 ", "200 GET /1s/ ", "504 ", "200 GET /2s/  close"} {
			if got := readAnswer(br); got != want {
				t.Errorf("answer %q, want %q", got, want)
			}
		}
		<-closed
		if took := time.Since(began); took > 4100*time.Millisecond {
			t.Errorf("the stop took %v of simulated time, with a limit of 4 s", took)
		}
	})
	if len(d.cancelled) != 2 {
		t.Errorf("%d of 2 requests were cancelled", len(d.cancelled))
	}
}

// Guards against a stop that waits for a caller who reads no answers.
func TestStopLimitEndsConnectionsWhoseCallersDoNotRead(t *testing.T) {
	runServer(t, newTestHandler(), func(s *inbound.Server, l *pipeListener) {
		c := l.dial()
		defer c.Close()
		send(c, getRequest("/9s/")+getRequest("/1s/"))
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		limit, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s.Close(limit)
		if took := time.Since(began); took > 3200*time.Millisecond {
			t.Errorf("the stop took %v of simulated time, with a limit of 3 s", took)
		}
	})
}
