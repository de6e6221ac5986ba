package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// endlessTarget answers every request with a head and then with bytes until the connection is closed.
type endlessTarget struct {
	head string

	mu      sync.Mutex
	conns   []net.Conn
	writing int // writing counts the answers whose connection is open.
	most    int // most is the most bytes that were taken of one answer.
}

func (e *endlessTarget) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, c)
		e.mu.Unlock()
		go e.serveConn(c)
	}
}

func (e *endlessTarget) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
}

func (e *endlessTarget) serveConn(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.add(1, 0)
	n, err := io.WriteString(c, strings.ReplaceAll(e.head, "ID", r.Header.Get("X-Request-Id")))
	for piece := strings.Repeat("x", 1024); err == nil; {
		var more int
		more, err = io.WriteString(c, piece)
		n += more
		time.Sleep(time.Millisecond) // Simulated time would stand still otherwise.
	}
	e.add(-1, n)
}

func (e *endlessTarget) add(writing, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writing += writing
	e.most = max(e.most, bytes)
}

func (e *endlessTarget) state() (writing, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.writing, e.most
}

// Guards against connections that stay open after their requests because a target sends bytes without end.
func TestEndlessAnswersEndWithTheirRequests(t *testing.T) {
	const named = "X-Request-Id: ID\r\nX-Server-Stamp: t\r\n"
	for name, c := range map[string]struct {
		head     string
		streamed bool // streamed is set when callers get the answer as far as it goes.
	}{
		"no answer":           {"", false},
		"head":                {"HTTP/1.1 200 OK\r\n" + named + "X: ", false},
		"refusal":             {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\r\n", false},
		"refusal with an id":  {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + named + "\r\n", false},
		"refusal of a length": {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 999999999\r\n\r\n", false},
		"another instance":    {"HTTP/1.1 421 Misdirected Request\r\n" + named + "\r\n", false},
		"error":               {"HTTP/1.1 500 Internal Server Error\r\n" + named + "\r\n", true},
		"unproved refusal":    {"HTTP/1.1 503 Service Unavailable\r\n" + named + "\r\n", true},
		"body":                {"HTTP/1.1 200 OK\r\n" + named + "\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"a1"}, func(f *fleet) {
				f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`), rule("book", "/b/", "unsafe", `,"service":"s1"`))
				l := f.listenAsTarget("t1", "s1", "a1")
				defer l.Close()
				e := &endlessTarget{head: c.head}
				defer e.close()
				go e.serve(l)
				settle()
				var slow atomic.Int32
				for i := range 20 {
					method, path := "GET", "/r/"
					if i%2 == 0 {
						method, path = "POST", "/b/"
					}
					go func() {
						began := time.Now()
						f.callAs(fmt.Sprint("id-", i), "e0", method, path, object(fmt.Sprint(i)))
						if time.Since(began) > 6*time.Second {
							slow.Add(1)
						}
					}()
				}
				time.Sleep(7 * time.Second)
				if writing, most := e.state(); writing > 0 || !c.streamed && most > 300<<10 {
					t.Errorf("%d connections are open, up to %d bytes of an answer were taken", writing, most)
				}
				if n := slow.Load(); n > 0 {
					t.Errorf("%d requests outlast their deadline", n)
				}
			})
		})
	}
}

// Guards against health checks whose endless answers keep their connections open.
func TestEndlessAnswersToHealthChecksEnd(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		l := f.listenAsTarget("t1", "s1", "a1")
		defer l.Close()
		e := &endlessTarget{head: "HTTP/1.1 200 OK\r\nX-Instance-Id: another\r\n\r\n"}
		defer e.close()
		go e.serve(l)
		settle()
		f.store.SetFault(platformtest.Silent)
		time.Sleep(6 * time.Second)
		f.store.SetFault(platformtest.None)
		time.Sleep(6 * time.Second)
		if writing, most := e.state(); writing > 0 || most == 0 {
			t.Errorf("%d connections are open, up to %d bytes of an answer were taken", writing, most)
		}
	})
}
