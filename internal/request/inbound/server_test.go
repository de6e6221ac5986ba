package inbound_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/inbound"
)

// desk is a handler whose requests take the time that their path names.
type desk struct {
	limits inbound.Limits
	mu     sync.Mutex
	served []string
	left   []string
	waited map[string]time.Duration // waited is from a request's arrival to the beginning of its work, by its target.
}

func newDesk() *desk {
	return &desk{waited: make(map[string]time.Duration), limits: inbound.Limits{Header: 1024, Body: 4096, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second, Held: 6000}}
}

func (d *desk) Limits() inbound.Limits             { return d.limits }
func (d *desk) Repeatable(r *inbound.Request) bool { return r.Method == http.MethodGet }
func (d *desk) note(to *[]string, r *inbound.Request) {
	d.mu.Lock()
	*to = append(*to, r.Target)
	d.mu.Unlock()
}

func (d *desk) Serve(ctx context.Context, r *inbound.Request) *inbound.Answer {
	d.note(&d.served, r)
	d.mu.Lock()
	d.waited[r.Target] = time.Since(r.Arrived)
	d.mu.Unlock()
	wait, _ := time.ParseDuration(strings.Trim(r.Path, "/"))
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		d.note(&d.left, r)
		return nil
	}
	body := r.Method + " " + r.Target + " " + string(r.Body)
	return &inbound.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body), Length: int64(len(body))}
}

// line is a listener whose connections are pipes.
type line struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newLine() *line { return &line{conns: make(chan net.Conn), done: make(chan struct{})} }

func (l *line) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *line) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *line) Addr() net.Addr { return nil }

func (l *line) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// play runs the function with a server and its listener in simulated time.
func play(t *testing.T, d *desk, f func(s *inbound.Server, l *line)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, l := inbound.New(d, func(error) {}), newLine()
		go func() { _ = s.Serve(l) }()
		f(s, l)
		_ = l.Close()
		ended, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s.Close(ended)
	})
}

func send(c net.Conn, text string) {
	go func() { _, _ = io.WriteString(c, text) }()
}

// answer reads one answer as "status body", with " close" when the connection is announced to end.
func answer(br *bufio.Reader) string {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut answer: " + err.Error()
	}
	text := fmt.Sprintf("%d %s", resp.StatusCode, body)
	if resp.Close {
		text += " close"
	}
	return text
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Guards against pipelined requests that wait for each other, or are answered out of order.
func TestPipelinedRequestsRunTogetherAndAnswerInOrder(t *testing.T) {
	play(t, newDesk(), func(_ *inbound.Server, l *line) {
		c := l.dial()
		defer c.Close()
		began := time.Now()
		send(c, get("/3s/")+get("/1s/")+get("/2s/"))
		br := bufio.NewReader(c)
		for _, want := range []string{"200 GET /3s/ ", "200 GET /1s/ ", "200 GET /2s/ "} {
			if got := answer(br); got != want {
				t.Errorf("answer %q, want %q", got, want)
			}
		}
		if took := time.Since(began); took != 3*time.Second {
			t.Errorf("three requests took %v of simulated time, want that of the longest", took)
		}
	})
}

// Guards against an order that runs behind a request whose answer closes the
// connection: callers send what stands behind such an answer again.
func TestOrderWaitsForEarlierAnswers(t *testing.T) {
	d := newDesk()
	play(t, d, func(_ *inbound.Server, l *line) {
		c := l.dial()
		send(c, get("/2s/")+"POST /1s/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy")
		time.Sleep(time.Second)
		synctest.Wait()
		if len(d.served) != 1 {
			t.Errorf("served %v before the first answer", d.served)
		}
		_ = c.Close()
	})
	if len(d.served) != 1 {
		t.Errorf("served %v, want only the read", d.served)
	}
}

// Guards against a time of arrival that leaves out how long a request waited to be read.
func TestRequestsArriveWithTheirFirstByte(t *testing.T) {
	const order = "POST /1s/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy"
	for name, c := range map[string]struct {
		parts []string
		pause time.Duration
		want  time.Duration
	}{
		"in one piece with an order": {[]string{get("/3s/") + order + get("/last/")}, 0, 3 * time.Second},
		"behind an order":            {[]string{get("/3s/") + order, get("/last/")}, time.Second, 2 * time.Second},
		"cut in an order's piece":    {[]string{get("/3s/") + order + "GET", " /last/ HTTP/1.1\r\nHost: a\r\n\r\n"}, time.Second, 3 * time.Second},
		"with a slow head":           {[]string{"GET", " /last/ HTTP/1.1\r\nHost: a\r\n\r\n"}, 600 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk()
			play(t, d, func(_ *inbound.Server, l *line) {
				raw := l.dial()
				go func() { _, _ = io.Copy(io.Discard, raw) }()
				for _, p := range c.parts {
					send(raw, p)
					time.Sleep(c.pause)
				}
				time.Sleep(5 * time.Second)
				_ = raw.Close()
			})
			if d.waited["/last/"] != c.want {
				t.Errorf("the request waited %v, want %v", d.waited["/last/"], c.want)
			}
		})
	}
}

// Guards against work that goes on for a caller that has left, also while later requests are buffered.
func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	d := newDesk()
	play(t, d, func(_ *inbound.Server, l *line) {
		c := l.dial()
		send(c, get("/9s/")+get("/8s/"))
		time.Sleep(time.Second)
		_ = c.Close()
		synctest.Wait()
		if len(d.left) != 2 {
			t.Errorf("%d of 2 requests were ended", len(d.left))
		}
	})
}

// Guards against a stop that cuts a request whose caller has announced to close the connection.
func TestStopDeliversRequestsInProgress(t *testing.T) {
	for _, head := range []string{"", "Connection: close\r\n"} {
		d := newDesk()
		play(t, d, func(s *inbound.Server, l *line) {
			c := l.dial()
			defer c.Close()
			send(c, "POST /3s/ HTTP/1.1\r\nHost: a\r\n"+head+"Content-Length: 2\r\n\r\nxy")
			time.Sleep(time.Second)
			s.Drain()
			_ = l.Close()
			go s.Close(context.Background())
			if got, want := answer(bufio.NewReader(c)), "200 POST /3s/ xy close"; got != want {
				t.Errorf("%q: answer %q, want %q", head, got, want)
			}
		})
	}
}

// Guards against a stop that cuts an upload whose body is still arriving, or a header.
func TestStopReadsRequestsThatHaveBegun(t *testing.T) {
	const text = "POST /1s/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd"
	for _, sent := range []int{10, len(text) - 2} {
		play(t, newDesk(), func(s *inbound.Server, l *line) {
			c := l.dial()
			defer c.Close()
			_, _ = io.WriteString(c, text[:sent])
			time.Sleep(100 * time.Millisecond)
			s.Drain()
			_ = l.Close()
			go s.Close(context.Background())
			time.Sleep(500 * time.Millisecond)
			send(c, text[sent:])
			if got, want := answer(bufio.NewReader(c)), "200 POST /1s/ abcd close"; got != want {
				t.Errorf("stopped after %d bytes: answer %q, want %q", sent, got, want)
			}
		})
	}
}

// Guards against a stop that waits for connections without a request.
func TestStopClosesUnusedConnections(t *testing.T) {
	play(t, newDesk(), func(s *inbound.Server, l *line) {
		c := l.dial()
		br := bufio.NewReader(c)
		send(c, get("/0s/"))
		answer(br)
		began := time.Now()
		s.Close(context.Background())
		if took := time.Since(began); took > time.Second {
			t.Errorf("the stop took %v of simulated time", took)
		}
	})
}

// Guards against requests that two readers could frame differently, and against limits that are not kept.
func TestRefusesWhatCannotBePassedOn(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"two lengths":       {post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400  close"},
		"length and chunks": {post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400  close"},
		"signed length":     {post + "Content-Length: +2\r\n\r\nab", "400  close"},
		"other coding":      {post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501  close"},
		"folded line":       {post + "X-A: b\r\n c\r\n\r\n", "400  close"},
		"space before ':'":  {post + "Content-Length : 2\r\n\r\nab", "400  close"},
		"bare line break":   {post + "X-A: b\nContent-Length: 2\r\n\r\nab", "400  close"},
		"no host":           {"GET / HTTP/1.1\r\n\r\n", "400  close"},
		"two hosts":         {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400  close"},
		"absolute target":   {"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", "400  close"},
		"large header":      {post + "X-A: " + strings.Repeat("a", 2000) + "\r\n\r\n", "431  close"},
		"large body":        {post + "Content-Length: 5000\r\n\r\n", "413  close"},
		"slow header":       {"GET / HT", "408  close"},
	} {
		d := newDesk()
		play(t, d, func(_ *inbound.Server, l *line) {
			conn := l.dial()
			defer conn.Close()
			send(conn, c.text)
			if got := answer(bufio.NewReader(conn)); got != c.want {
				t.Errorf("%s: answer %q, want %q", name, got, c.want)
			}
		})
		if len(d.served) != 0 {
			t.Errorf("%s: served %v", name, d.served)
		}
	}
}

// Guards against a body in chunks that is passed on as anything but its bytes.
func TestReadsChunkedBodies(t *testing.T) {
	play(t, newDesk(), func(_ *inbound.Server, l *line) {
		c := l.dial()
		defer c.Close()
		send(c, "POST /0s/?q=%2f HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")
		if got, want := answer(bufio.NewReader(c)), "200 POST /0s/?q=%2f abcde"; got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	})
}

// Guards against bodies that together take more memory than there is, and
// against room that is not given back.
func TestBodiesAreBoundedTogether(t *testing.T) {
	d := newDesk()
	play(t, d, func(_ *inbound.Server, l *line) {
		post := func() *bufio.Reader {
			c := l.dial()
			send(c, "POST /2s/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4000\r\n\r\n"+strings.Repeat("x", 4000))
			return bufio.NewReader(c)
		}
		first := post()
		time.Sleep(time.Second)
		if got := answer(post()); got != "503  close" {
			t.Errorf("second body: %.20q", got)
		}
		if got := answer(first); !strings.HasPrefix(got, "200 ") {
			t.Errorf("first body: %.20q", got)
		}
		if got := answer(post()); !strings.HasPrefix(got, "200 ") {
			t.Errorf("third body: %.20q", got)
		}
	})
}

// Guards against headers of one connection that reach another.
func TestHeadersOfTheConnectionAreNotForwarded(t *testing.T) {
	got := inbound.Forwarded(http.Header{
		"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Keep-Alive": {"1"}, "Transfer-Encoding": {"chunked"}, "X-Kept": {"1"},
	})
	if len(got) != 1 || got.Get("X-Kept") != "1" {
		t.Errorf("forwarded %v", got)
	}
}
