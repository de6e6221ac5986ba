package inbound_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/inbound"
)

// testHandler is a handler whose requests take the time given in their path.
type testHandler struct {
	limits    inbound.Limits
	mu        sync.Mutex
	served    []string
	cancelled []string
	waited    map[string]time.Duration // waited is the time from a request's arrival to the call of Serve, by request target.
}

func newTestHandler() *testHandler {
	return &testHandler{waited: make(map[string]time.Duration), limits: inbound.Limits{Header: 1024, Body: 4096, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second, BufferedBytes: 6000}}
}

func (d *testHandler) Limits() inbound.Limits             { return d.limits }
func (d *testHandler) Repeatable(r *inbound.Request) bool { return r.Method == http.MethodGet }
func (d *testHandler) record(to *[]string, r *inbound.Request) {
	d.mu.Lock()
	*to = append(*to, r.Target)
	d.mu.Unlock()
}

func (d *testHandler) Serve(ctx context.Context, r *inbound.Request) *inbound.Answer {
	d.record(&d.served, r)
	d.mu.Lock()
	d.waited[r.Target] = time.Since(r.Arrived)
	d.mu.Unlock()
	wait, _ := time.ParseDuration(strings.Trim(r.Path, "/"))
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		d.record(&d.cancelled, r)
		return nil
	}
	body := r.Method + " " + r.Target + " " + string(r.Body)
	return &inbound.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body), Length: int64(len(body))}
}

// pipeListener is a listener whose connections are pipes.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// runServer calls the function with a server and its listener in simulated time.
func runServer(t *testing.T, d *testHandler, f func(s *inbound.Server, l *pipeListener)) {
	t.Helper()
	runHandler(t, d, f)
}

// runHandler calls the function with a server for the handler and its listener in simulated time.
func runHandler(t *testing.T, d inbound.Handler, f func(s *inbound.Server, l *pipeListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, l := inbound.New(d, func(error) {}), newPipeListener()
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

// readAnswer reads one answer as "status body", followed by " close" when it announces that the connection closes.
func readAnswer(br *bufio.Reader) string {
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

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Guards against pipelined requests that wait for each other, or are answered out of order.
func TestPipelinedRequestsRunTogetherAndAnswerInOrder(t *testing.T) {
	runServer(t, newTestHandler(), func(_ *inbound.Server, l *pipeListener) {
		c := l.dial()
		defer c.Close()
		began := time.Now()
		send(c, getRequest("/3s/")+getRequest("/1s/")+getRequest("/2s/"))
		br := bufio.NewReader(c)
		for _, want := range []string{"200 GET /3s/ ", "200 GET /1s/ ", "200 GET /2s/ "} {
			if got := readAnswer(br); got != want {
				t.Errorf("answer %q, want %q", got, want)
			}
		}
		if took := time.Since(began); took != 3*time.Second {
			t.Errorf("three requests took %v of simulated time, want that of the longest", took)
		}
	})
}

// Guards against running a non-repeatable request that follows a request whose answer
// closes the connection: callers send the requests after such an answer again.
func TestNonRepeatableRequestsWaitForEarlierAnswers(t *testing.T) {
	d := newTestHandler()
	runServer(t, d, func(_ *inbound.Server, l *pipeListener) {
		c := l.dial()
		send(c, getRequest("/2s/")+"POST /1s/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy")
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

// Guards against an arrival time that omits how long a request waited before it was parsed.
func TestArrivalIsTheTimeOfTheFirstByte(t *testing.T) {
	const post = "POST /1s/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy"
	for name, c := range map[string]struct {
		parts []string
		pause time.Duration
		want  time.Duration
	}{
		"in one segment with a POST":     {[]string{getRequest("/3s/") + post + getRequest("/last/")}, 0, 3 * time.Second},
		"after a POST":                   {[]string{getRequest("/3s/") + post, getRequest("/last/")}, time.Second, 2 * time.Second},
		"split in the segment of a POST": {[]string{getRequest("/3s/") + post + "GET", " /last/ HTTP/1.1\r\nHost: a\r\n\r\n"}, time.Second, 3 * time.Second},
		"with a slow head":               {[]string{"GET", " /last/ HTTP/1.1\r\nHost: a\r\n\r\n"}, 600 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestHandler()
			runServer(t, d, func(_ *inbound.Server, l *pipeListener) {
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

// Guards against work that continues for a caller that has disconnected, also while later requests are buffered.
func TestDisconnectCancelsTheRequestsInProgress(t *testing.T) {
	d := newTestHandler()
	runServer(t, d, func(_ *inbound.Server, l *pipeListener) {
		c := l.dial()
		send(c, getRequest("/9s/")+getRequest("/8s/"))
		time.Sleep(time.Second)
		_ = c.Close()
		synctest.Wait()
		if len(d.cancelled) != 2 {
			t.Errorf("%d of 2 requests were cancelled", len(d.cancelled))
		}
	})
}

// Guards against a shutdown that cuts a request, also one whose caller sent Connection: close.
func TestStopDeliversRequestsInProgress(t *testing.T) {
	for _, head := range []string{"", "Connection: close\r\n"} {
		d := newTestHandler()
		runServer(t, d, func(s *inbound.Server, l *pipeListener) {
			c := l.dial()
			defer c.Close()
			send(c, "POST /3s/ HTTP/1.1\r\nHost: a\r\n"+head+"Content-Length: 2\r\n\r\nxy")
			time.Sleep(time.Second)
			s.Drain()
			_ = l.Close()
			go s.Close(context.Background())
			if got, want := readAnswer(bufio.NewReader(c)), "200 POST /3s/ xy close"; got != want {
				t.Errorf("%q: answer %q, want %q", head, got, want)
			}
		})
	}
}

// Guards against a shutdown that cuts a request whose header or body is still being received.
func TestStopReadsPartlyReceivedRequests(t *testing.T) {
	const text = "POST /1s/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd"
	for _, sent := range []int{10, len(text) - 2} {
		runServer(t, newTestHandler(), func(s *inbound.Server, l *pipeListener) {
			c := l.dial()
			defer c.Close()
			_, _ = io.WriteString(c, text[:sent])
			time.Sleep(100 * time.Millisecond)
			s.Drain()
			_ = l.Close()
			go s.Close(context.Background())
			time.Sleep(500 * time.Millisecond)
			send(c, text[sent:])
			if got, want := readAnswer(bufio.NewReader(c)), "200 POST /1s/ abcd close"; got != want {
				t.Errorf("stopped after %d bytes: answer %q, want %q", sent, got, want)
			}
		})
	}
}

// Guards against a shutdown that waits for idle connections.
func TestStopClosesIdleConnections(t *testing.T) {
	runServer(t, newTestHandler(), func(s *inbound.Server, l *pipeListener) {
		c := l.dial()
		br := bufio.NewReader(c)
		send(c, getRequest("/0s/"))
		readAnswer(br)
		began := time.Now()
		s.Close(context.Background())
		if took := time.Since(began); took > time.Second {
			t.Errorf("the shutdown took %v of simulated time", took)
		}
	})
}

// Guards against accepting requests that two parsers could frame differently, and against limits that are not enforced.
func TestRejectsInvalidRequests(t *testing.T) {
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
		d := newTestHandler()
		runServer(t, d, func(_ *inbound.Server, l *pipeListener) {
			conn := l.dial()
			defer conn.Close()
			send(conn, c.text)
			if got := readAnswer(bufio.NewReader(conn)); got != c.want {
				t.Errorf("%s: answer %q, want %q", name, got, c.want)
			}
		})
		if len(d.served) != 0 {
			t.Errorf("%s: served %v", name, d.served)
		}
	}
}

// Guards against a chunked body whose framing ends up in the body that is passed on.
func TestReadsChunkedBodies(t *testing.T) {
	runServer(t, newTestHandler(), func(_ *inbound.Server, l *pipeListener) {
		c := l.dial()
		defer c.Close()
		send(c, "POST /0s/?q=%2f HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")
		if got, want := readAnswer(bufio.NewReader(c)), "200 POST /0s/?q=%2f abcde"; got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	})
}

// Guards against request bodies that together exceed the memory limit, and
// against released bytes that still count towards it.
func TestTotalBodyMemoryIsLimited(t *testing.T) {
	d := newTestHandler()
	runServer(t, d, func(_ *inbound.Server, l *pipeListener) {
		post := func() *bufio.Reader {
			c := l.dial()
			send(c, "POST /2s/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4000\r\n\r\n"+strings.Repeat("x", 4000))
			return bufio.NewReader(c)
		}
		first := post()
		time.Sleep(time.Second)
		if got := readAnswer(post()); got != "503  close" {
			t.Errorf("second body: %.20q", got)
		}
		if got := readAnswer(first); !strings.HasPrefix(got, "200 ") {
			t.Errorf("first body: %.20q", got)
		}
		if got := readAnswer(post()); !strings.HasPrefix(got, "200 ") {
			t.Errorf("third body: %.20q", got)
		}
	})
}

// Guards against forwarding hop-by-hop headers of one connection to another.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	got := inbound.EndToEndHeaders(http.Header{
		"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Keep-Alive": {"1"}, "Transfer-Encoding": {"chunked"}, "X-Kept": {"1"},
	})
	if len(got) != 1 || got.Get("X-Kept") != "1" {
		t.Errorf("forwarded %v", got)
	}
}

// cutBody is a body that ends with an error after its bytes.
type cutBody struct{ io.Reader }

func (b cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (cutBody) Close() error { return nil }

// cutHandler answers with a body that is cut.
type cutHandler struct{ *testHandler }

func (cutHandler) Serve(context.Context, *inbound.Request) *inbound.Answer {
	return &inbound.Answer{Status: http.StatusOK, Header: http.Header{}, BodyRest: cutBody{strings.NewReader("half")}, Length: -1}
}

// Guards against a cut answer that appears whole to a caller of HTTP/1.0, for whom the end of the connection is its end.
func TestCutAnswerWithoutALengthIsReset(t *testing.T) {
	for version, want := range map[string]error{"1.0": syscall.ECONNRESET, "1.1": io.ErrUnexpectedEOF} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := inbound.New(cutHandler{newTestHandler()}, func(err error) { t.Error(err) })
		served := make(chan struct{})
		go func() { defer close(served); _ = s.Serve(l) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "GET / HTTP/"+version+"\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if !errors.Is(err, want) {
			t.Errorf("HTTP/%s: error %v, want %v", version, err, want)
		}
		_ = c.Close()
		_ = l.Close()
		<-served
		s.Close(t.Context())
	}
}
