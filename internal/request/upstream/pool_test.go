package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/upstream"
)

// script answers the requests of one connection; the connection is closed when it returns.
type script func(c net.Conn, br *bufio.Reader)

// rig is a pool whose connections are served by scripts, one for each connection.
type rig struct {
	pool        *upstream.Pool
	scripts     []script
	dials       int
	closedEarly []string
}

func newRig(scripts ...script) *rig {
	r := &rig{scripts: scripts}
	r.pool = upstream.New(r.dial, func(a string) { r.closedEarly = append(r.closedEarly, a) })
	return r
}

func (r *rig) dial(context.Context, string, string) (net.Conn, error) {
	if r.dials == len(r.scripts) {
		return nil, errors.New("refused")
	}
	s := r.scripts[r.dials]
	r.dials++
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		s(far, bufio.NewReader(far))
	}()
	return near, nil
}

// call sends a request with the id and returns "status body", or the failure's kind and whether the request was sent.
func (r *rig) call(ctx context.Context, id string, change func(*upstream.Call)) string {
	call := upstream.Call{
		Address: "t", Method: http.MethodGet, Target: "/x?y=%2f", Host: "a", Header: http.Header{"Id": {id}},
		Classify: func(_ int, h http.Header) upstream.AnswerClass {
			switch {
			case h.Get("Id") != id:
				return upstream.OtherRequest
			case h.Get("Unusable") != "":
				return upstream.Unusable
			}
			return upstream.Matching
		},
	}
	if change != nil {
		change(&call)
	}
	a, err := r.pool.Do(ctx, call)
	if err != nil {
		var f *upstream.Failure
		if !errors.As(err, &f) {
			return "untyped: " + err.Error()
		}
		return fmt.Sprintf("%v sent=%v", f.Kind(), f.Sent())
	}
	body := a.Body
	if a.BodyRest != nil {
		rest, err := io.ReadAll(a.BodyRest)
		_ = a.BodyRest.Close()
		body = append(body, rest...)
		if err != nil {
			return "cut rest"
		}
	}
	return fmt.Sprintf("%d %s", a.Status, body)
}

func readRequest(br *bufio.Reader) (*http.Request, string) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(r.Body)
	return r, string(body)
}

func reply(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echo answers every request with its id and its body.
func echo(c net.Conn, br *bufio.Reader) {
	for {
		r, body := readRequest(br)
		if r == nil {
			return
		}
		reply(c, r.Header.Get("Id"), r.RequestURI+" "+body)
	}
}

// Guards against a new connection for each request, and against a request that is altered in transit.
func TestConnectionsAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(echo)
		defer r.pool.Close()
		for i := range 3 {
			id := fmt.Sprint(i)
			got := r.call(t.Context(), id, func(c *upstream.Call) { c.Method, c.Body = http.MethodPost, []byte("body-"+id) })
			if want := "200 /x?y=%2f body-" + id; got != want {
				t.Errorf("answer %q, want %q", got, want)
			}
		}
		if r.dials != 1 {
			t.Errorf("%d connections for 3 requests", r.dials)
		}
	})
}

// Guards against accepting an answer that belongs to another request, is incomplete, or is not HTTP.
func TestInvalidAnswersAreRejected(t *testing.T) {
	respond := func(text string) script {
		return func(c net.Conn, br *bufio.Reader) { readRequest(br); _, _ = io.WriteString(c, text) }
	}
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct {
		text, want string
	}{
		"late answer of another request": {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew", "200 new"},
		"only another request's answer":  {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold", "broken sent=true"},
		"another's without length":       {"HTTP/1.1 200 OK\r\nId: 0\r\n\r\nold", "garbled sent=true"},
		"cut body":                       {head + "Content-Length: 5\r\n\r\nabc", "broken sent=true"},
		"cut chunks":                     {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "broken sent=true"},
		"cut header":                     {"HTTP/1.1 200 OK\r\nId: 1\r\n", "broken sent=true"},
		"no answer":                      {"", "broken sent=true"},
		"no protocol":                    {"%%%% nonsense\r\n\r\n", "garbled sent=true"},
		"unusable answer":                {head + "Unusable: 1\r\nContent-Length: 2\r\n\r\nno", "garbled sent=true"},
		"chunks":                         {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "200 abc"},
		"no length":                      {head + "\r\nabc", "200 abc"},
		"interim answer":                 {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", "200 ok"},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(respond(c.text))
			defer r.pool.Close()
			if got := r.call(t.Context(), "1", nil); got != c.want {
				t.Errorf("%s: %q, want %q", name, got, c.want)
			}
		})
	}
}

// Guards against reuse of a connection that has unread bytes of an earlier answer.
func TestConnectionsWithExtraBytesAreNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answerTwice := func(c net.Conn, br *bufio.Reader) {
			r, _ := readRequest(br)
			id := r.Header.Get("Id")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", id, id)
		}
		r := newRig(answerTwice, echo)
		defer r.pool.Close()
		if got := r.call(t.Context(), "1", nil); got != "200 ok" {
			t.Errorf("answer %q", got)
		}
		if got := r.call(t.Context(), "2", nil); got != "200 /x?y=%2f " || r.dials != 2 {
			t.Errorf("answer %q over %d connections", got, r.dials)
		}
	})
}

// Guards against a failure that is reported as sent although no byte was sent, so that an at-most-once request could not be retried.
func TestRefusedConnectionsCountAsUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		if got := r.call(t.Context(), "1", nil); got != "refused sent=false" {
			t.Errorf("failure %q", got)
		}
	})
}

// Guards against a target that continues to work for a caller that has disconnected.
func TestCancelledCallsCloseTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended time.Time
		began := time.Now()
		r := newRig(func(_ net.Conn, br *bufio.Reader) {
			readRequest(br)
			_, _ = br.ReadByte()
			ended = time.Now()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if got := r.call(ctx, "1", nil); got != "cancelled sent=true" {
			t.Errorf("failure %q", got)
		}
		synctest.Wait()
		if ended.Sub(began) != 2*time.Second {
			t.Errorf("the target saw the end after %v", ended.Sub(began))
		}
	})
}

// Guards against reuse of a connection on which the target answered before a large body was completely
// sent: the next request would be read as the rest of that body.
func TestEarlyAnswersCloseTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answered := make(chan struct{})
		early := func(c net.Conn, br *bufio.Reader) {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, req.Body, 1000)
			reply(c, req.Header.Get("Id"), "early")
			<-answered // Otherwise the body may be sent whole before the answer is complete, and the connection is sound.
			_, _ = io.Copy(io.Discard, br)
		}
		r := newRig(early, echo)
		defer r.pool.Close()
		big := func(c *upstream.Call) { c.Method, c.Body = http.MethodPost, []byte(strings.Repeat("x", 300_000)) }
		if got := r.call(t.Context(), "1", big); got != "200 early" {
			t.Errorf("answer %q", got)
		}
		close(answered)
		if got := r.call(t.Context(), "2", nil); got != "200 /x?y=%2f " || r.dials != 2 {
			t.Errorf("answer %q over %d connections", got, r.dials)
		}
	})
}

// Guards against large answers that are buffered in memory, and against a truncated one that appears complete.
func TestLargeAnswersAreStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("y", 600_000)
		whole := func(c net.Conn, br *bufio.Reader) { readRequest(br); reply(c, "1", body) }
		cut := func(c net.Conn, br *bufio.Reader) {
			readRequest(br)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body)
		}
		r := newRig(whole, cut)
		if got := r.call(t.Context(), "1", nil); got != "200 "+body {
			t.Errorf("answer of %d bytes", len(got))
		}
		if got := r.call(t.Context(), "1", nil); got != "cut rest" {
			t.Errorf("a truncated answer is accepted: %d bytes", len(got))
		}
	})
}

// Guards against an at-most-once request on a connection that has carried another one: a late copy of that one's answer
// could say that it has not run, and when the target has dropped the connection, the outcome is unknown.
func TestOnceCallsUseFreshConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(echo, echo, echo, echo)
		defer r.pool.Close()
		once := func(c *upstream.Call) { c.AtMostOnce = true }
		for i, step := range []struct {
			pause time.Duration
			with  func(*upstream.Call)
			dials int
		}{
			{0, once, 1},
			{0, once, 2},
			{180 * time.Millisecond, once, 3},
			{time.Second, nil, 3},
			{time.Millisecond, once, 4},
			{50 * time.Millisecond, nil, 4},
		} {
			time.Sleep(step.pause)
			r.call(t.Context(), fmt.Sprint(i), step.with)
			if r.dials != step.dials || r.pool.Idle() != 1 {
				t.Errorf("step %d: %d connections, want %d; %d are idle, want 1", i, r.dials, step.dials, r.pool.Idle())
			}
		}
	})
}

// Guards against an at-most-once request that is lost on a connection which its target dropped without closing it.
func TestOnceCallsSurviveDroppedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dropsIdle := func(c net.Conn, br *bufio.Reader) {
			for used := time.Now(); ; used = time.Now() {
				req, _ := readRequest(br)
				if req == nil || time.Since(used) > 190*time.Millisecond {
					_ = c.Close()
					return
				}
				reply(c, req.Header.Get("Id"), "")
			}
		}
		r := newRig(slices.Repeat([]script{dropsIdle}, 20)...)
		defer r.pool.Close()
		for i := range 20 {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			if got := r.call(t.Context(), fmt.Sprint(i), func(c *upstream.Call) { c.AtMostOnce = true }); got != "200 " {
				t.Errorf("call after %d ms: %q", i*50, got)
			}
		}
	})
}

// Guards against a connection that is used after the keep-alive timeout which the target stated.
func TestKeepAliveTimeIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stated := func(c net.Conn, br *bufio.Reader) {
			for {
				req, _ := readRequest(br)
				if req == nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
			}
		}
		r := newRig(stated, stated)
		defer r.pool.Close()
		r.call(t.Context(), "1", nil)
		time.Sleep(2500 * time.Millisecond)
		r.call(t.Context(), "2", nil)
		if r.dials != 2 {
			t.Errorf("%d connections, want a new one within a second of the stated timeout", r.dials)
		}
	})
}

// Guards against a call that is sent although BeforeSend returned false, and against losing its connection.
func TestWithheldCallsSendNothing(t *testing.T) {
	seen := make(chan string, 4)
	r := newRig(func(c net.Conn, br *bufio.Reader) {
		for {
			q, _ := readRequest(br)
			if q == nil {
				return
			}
			seen <- q.Header.Get("Id")
			reply(c, q.Header.Get("Id"), "")
		}
	})
	withhold := func(c *upstream.Call) { c.BeforeSend = func() bool { return false } }
	for _, c := range []struct {
		id, want string
		change   func(*upstream.Call)
	}{{"1", "withheld sent=false", withhold}, {"2", "200 ", nil}, {"3", "withheld sent=false", withhold}, {"4", "200 ", nil}} {
		if got := r.call(t.Context(), c.id, c.change); got != c.want {
			t.Errorf("call %s: %s, want %s", c.id, got, c.want)
		}
	}
	r.pool.Close()
	if a, b := <-seen, <-seen; a != "2" || b != "4" || r.dials != 1 {
		t.Errorf("requests %s and %s over %d connections, want 2 and 4 over one", a, b, r.dials)
	}
}

// Guards against a cancelled request whose bytes are still queued and reach the target later.
func TestCancelledCallsDiscardTheirBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	received, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			close(received)
			ended <- err
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		readRequest(br)
		close(received)
		_, err = br.ReadByte()
		ended <- err
	}()
	p := upstream.New(new(net.Dialer).DialContext, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	if _, err := p.Do(ctx, upstream.Call{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a"}); err == nil {
		t.Error("a cancelled call has an answer")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target saw %v, want a reset, which discards bytes in transit", err)
	}
}
