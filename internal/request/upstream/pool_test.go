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

// script answers the requests of one connection; it ends the connection by returning.
type script func(c net.Conn, br *bufio.Reader)

// rig is a pool whose connections are played by scripts, one for each connection.
type rig struct {
	pool    *upstream.Pool
	scripts []script
	dials   int
	lost    []string
}

func newRig(scripts ...script) *rig {
	r := &rig{scripts: scripts}
	r.pool = upstream.New(r.dial, func(a string) { r.lost = append(r.lost, a) })
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

// do sends a request with the id and returns "status body", or the failure's kind and whether it was sent.
func (r *rig) do(ctx context.Context, id string, change func(*upstream.Call)) string {
	call := upstream.Call{
		Address: "t", Method: http.MethodGet, Target: "/x?y=%2f", Host: "a", Header: http.Header{"Id": {id}},
		Claim: func(_ int, h http.Header) upstream.Claim {
			switch {
			case h.Get("Id") != id:
				return upstream.Foreign
			case h.Get("Spoiled") != "":
				return upstream.Spoiled
			}
			return upstream.Ours
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
	if a.Rest != nil {
		rest, err := io.ReadAll(a.Rest)
		_ = a.Rest.Close()
		body = append(body, rest...)
		if err != nil {
			return "cut rest"
		}
	}
	return fmt.Sprintf("%d %s", a.Status, body)
}

func take(br *bufio.Reader) (*http.Request, string) {
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
		r, body := take(br)
		if r == nil {
			return
		}
		reply(c, r.Header.Get("Id"), r.RequestURI+" "+body)
	}
}

// Guards against a new connection for each request, and against a request that changes on its way.
func TestConnectionsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(echo)
		defer r.pool.Close()
		for i := range 3 {
			id := fmt.Sprint(i)
			got := r.do(t.Context(), id, func(c *upstream.Call) { c.Method, c.Body = http.MethodPost, []byte("body-"+id) })
			if want := "200 /x?y=%2f body-" + id; got != want {
				t.Errorf("answer %q, want %q", got, want)
			}
		}
		if r.dials != 1 {
			t.Errorf("%d connections for 3 requests", r.dials)
		}
	})
}

// Guards against answers that belong to another request, are incomplete, or are none, and are taken for the answer.
func TestSpoiledAnswersAreNotTaken(t *testing.T) {
	say := func(text string) script {
		return func(c net.Conn, br *bufio.Reader) { take(br); _, _ = io.WriteString(c, text) }
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
		"spoiled answer":                 {head + "Spoiled: 1\r\nContent-Length: 2\r\n\r\nno", "garbled sent=true"},
		"chunks":                         {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "200 abc"},
		"no length":                      {head + "\r\nabc", "200 abc"},
		"interim answer":                 {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", "200 ok"},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(say(c.text))
			defer r.pool.Close()
			if got := r.do(t.Context(), "1", nil); got != c.want {
				t.Errorf("%s: %q, want %q", name, got, c.want)
			}
		})
	}
}

// Guards against a connection with bytes of an earlier answer that carries another request.
func TestConnectionsWithExtraBytesAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		twice := func(c net.Conn, br *bufio.Reader) {
			r, _ := take(br)
			id := r.Header.Get("Id")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", id, id)
		}
		r := newRig(twice, echo)
		defer r.pool.Close()
		if got := r.do(t.Context(), "1", nil); got != "200 ok" {
			t.Errorf("answer %q", got)
		}
		if got := r.do(t.Context(), "2", nil); got != "200 /x?y=%2f " || r.dials != 2 {
			t.Errorf("answer %q over %d connections", got, r.dials)
		}
	})
}

// Guards against a failure before a byte was sent that counts as sent, so that an order could not be sent again.
func TestRefusedConnectionsCarryNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		if got := r.do(t.Context(), "1", nil); got != "refused sent=false" {
			t.Errorf("failure %q", got)
		}
	})
}

// Guards against a target that works on for a caller that has left.
func TestCancelledCallsCloseTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended time.Time
		began := time.Now()
		r := newRig(func(_ net.Conn, br *bufio.Reader) {
			take(br)
			_, _ = br.ReadByte()
			ended = time.Now()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if got := r.do(ctx, "1", nil); got != "cancelled sent=true" {
			t.Errorf("failure %q", got)
		}
		synctest.Wait()
		if ended.Sub(began) != 2*time.Second {
			t.Errorf("the target saw the end after %v", ended.Sub(began))
		}
	})
}

// Guards against a connection whose large body was answered early and not
// wholly sent: other bytes would stand where the rest is due.
func TestEarlyAnswersEndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := func(c net.Conn, br *bufio.Reader) {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, req.Body, 1000)
			reply(c, req.Header.Get("Id"), "early")
			_, _ = io.Copy(io.Discard, br)
		}
		r := newRig(early, echo)
		defer r.pool.Close()
		big := func(c *upstream.Call) { c.Method, c.Body = http.MethodPost, []byte(strings.Repeat("x", 300_000)) }
		if got := r.do(t.Context(), "1", big); got != "200 early" {
			t.Errorf("answer %q", got)
		}
		if got := r.do(t.Context(), "2", nil); got != "200 /x?y=%2f " || r.dials != 2 {
			t.Errorf("answer %q over %d connections", got, r.dials)
		}
	})
}

// Guards against large answers that are held in memory, and against a cut one that looks complete.
func TestLargeAnswersArePassedOnAsTheyArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("y", 600_000)
		whole := func(c net.Conn, br *bufio.Reader) { take(br); reply(c, "1", body) }
		cut := func(c net.Conn, br *bufio.Reader) {
			take(br)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body)
		}
		r := newRig(whole, cut)
		if got := r.do(t.Context(), "1", nil); got != "200 "+body {
			t.Errorf("answer of %d bytes", len(got))
		}
		if got := r.do(t.Context(), "1", nil); got != "cut rest" {
			t.Errorf("a cut answer is taken: %d bytes", len(got))
		}
	})
}

// Guards against an order on a connection that was unused for a while: when its
// target has forgotten it, nobody knows whether the order has run. Reads go on using it.
func TestOrdersUseFreshConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(echo, echo)
		defer r.pool.Close()
		once := func(c *upstream.Call) { c.Once = true }
		for i, step := range []struct {
			pause time.Duration
			with  func(*upstream.Call)
			dials int
		}{
			{0, once, 1},
			{100 * time.Millisecond, once, 1},
			{180 * time.Millisecond, once, 2},
			{time.Second, nil, 2},
			{time.Millisecond, once, 2},
			{50 * time.Millisecond, nil, 2},
		} {
			time.Sleep(step.pause)
			r.do(t.Context(), fmt.Sprint(i), step.with)
			if r.dials != step.dials {
				t.Errorf("step %d: %d connections, want %d", i, r.dials, step.dials)
			}
		}
	})
}

// Guards against an order that is lost on a connection which its target forgot without a word.
func TestOrdersSurviveForgottenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forgetful := func(c net.Conn, br *bufio.Reader) {
			for used := time.Now(); ; used = time.Now() {
				req, _ := take(br)
				if req == nil || time.Since(used) > 190*time.Millisecond {
					_ = c.Close()
					return
				}
				reply(c, req.Header.Get("Id"), "")
			}
		}
		r := newRig(slices.Repeat([]script{forgetful}, 20)...)
		defer r.pool.Close()
		for i := range 20 {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			if got := r.do(t.Context(), fmt.Sprint(i), func(c *upstream.Call) { c.Once = true }); got != "200 " {
				t.Errorf("order after %d ms: %q", i*50, got)
			}
		}
	})
}

// Guards against a connection that is used beyond the time for which the target keeps it.
func TestKeepAliveTimeIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stated := func(c net.Conn, br *bufio.Reader) {
			for {
				req, _ := take(br)
				if req == nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
			}
		}
		r := newRig(stated, stated)
		defer r.pool.Close()
		r.do(t.Context(), "1", nil)
		time.Sleep(2500 * time.Millisecond)
		r.do(t.Context(), "2", nil)
		if r.dials != 2 {
			t.Errorf("%d connections, want a new one within a second of the stated time", r.dials)
		}
	})
}

// Guards against a call that is made although it was withheld, and against a connection that is lost over it.
func TestWithheldCallsSendNothing(t *testing.T) {
	seen := make(chan string, 4)
	r := newRig(func(c net.Conn, br *bufio.Reader) {
		for {
			q, _ := take(br)
			if q == nil {
				return
			}
			seen <- q.Header.Get("Id")
			reply(c, q.Header.Get("Id"), "")
		}
	})
	withhold := func(c *upstream.Call) { c.Begin = func() bool { return false } }
	for _, c := range []struct {
		id, want string
		change   func(*upstream.Call)
	}{{"1", "withheld sent=false", withhold}, {"2", "200 ", nil}, {"3", "withheld sent=false", withhold}, {"4", "200 ", nil}} {
		if got := r.do(t.Context(), c.id, c.change); got != c.want {
			t.Errorf("call %s: %s, want %s", c.id, got, c.want)
		}
	}
	r.pool.Close()
	if a, b := <-seen, <-seen; a != "2" || b != "4" || r.dials != 1 {
		t.Errorf("requests %s and %s over %d connections, want 2 and 4 over one", a, b, r.dials)
	}
}

// Guards against a request that is given up while it is held up on its way, and reaches its target later.
func TestCallsThatAreGivenUpDiscardTheirBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	taken, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			close(taken)
			ended <- err
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		take(br)
		close(taken)
		_, err = br.ReadByte()
		ended <- err
	}()
	p := upstream.New(new(net.Dialer).DialContext, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-taken
		cancel()
	}()
	if _, err := p.Do(ctx, upstream.Call{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a"}); err == nil {
		t.Error("a cancelled call has an answer")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target saw %v, want a reset, which discards what is on its way", err)
	}
}
