package pool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/pool"
)

// peer answers requests on in-memory connections; silent connections read requests and never respond.
type peer struct {
	dials      atomic.Int32
	received   atomic.Int64 // received counts the requests that arrived.
	lastSilent atomic.Int32 // lastSilent is the number of the last connection that is silent.
	firstHeard bool         // firstHeard makes the first connection respond whatever lastSilent is.
	extraBytes string       // extraBytes is sent after each response.
	onDial     func()
}

func (p *peer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	n := p.dials.Add(1)
	if p.onDial != nil {
		p.onDial()
	}
	go p.serve(far, n)
	return near, nil
}

func (p *peer) serve(c net.Conn, n int32) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		p.received.Add(1)
		answer := "{}"
		if strings.HasPrefix(r.URL.Path, "/attempt/") {
			answer = `{"state":"unknown"}`
		}
		if n <= p.lastSilent.Load() && (n > 1 || !p.firstHeard) {
			continue
		}
		go func() {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+string(rune('0'+len(answer)/10))+string(rune('0'+len(answer)%10))+"\r\n\r\n"+answer+p.extraBytes)
		}()
	}
}

func run(t *testing.T, s pool.Settings, test func(t *testing.T, p *peer, c *pool.Pool)) {
	synctest.Test(t, func(t *testing.T) {
		p := &peer{}
		c, err := pool.New(s, p.dial)
		if err != nil {
			t.Fatal(err)
		}
		test(t, p, c)
		c.Close()
		synctest.Wait()
		if n := c.OpenCount("a"); n != 0 {
			t.Errorf("%d connections stay open", n)
		}
	})
}

func do(ctx context.Context, t *testing.T, c *pool.Pool) (*http.Response, error) {
	t.Helper()
	return doCall(ctx, t, c, pool.Call{})
}

// doCall is do with the other properties of the call.
func doCall(ctx context.Context, t *testing.T, c *pool.Pool, call pool.Call) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, "GET", "http://a/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	call.Address, call.Attempt, call.Request = "a", "1", r
	return c.Do(ctx, call)
}

func open(t *testing.T, c *pool.Pool) *http.Response {
	t.Helper()
	r, err := do(t.Context(), t, c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func finish(t *testing.T, r *http.Response) {
	t.Helper()
	if _, err := io.ReadAll(r.Body); err != nil {
		t.Fatal(err)
	}
}

// Guards against more connections to an address than Settings.Conns allows.
func TestConnectionsPerAddressAreBounded(t *testing.T) {
	run(t, pool.Settings{Conns: 4}, func(t *testing.T, p *peer, c *pool.Pool) {
		// Two of the four connections are reserved for queries, so requests can use the other two.
		a, b := open(t, c), open(t, c)
		within, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var f *pool.Failure
		if _, err := do(within, t, c); !errors.As(err, &f) || f.Written() || p.dials.Load() != 2 {
			t.Errorf("third request with two usable connections: %v after %d dials", err, p.dials.Load())
		}
		time.AfterFunc(time.Second, func() { finish(t, a) })
		finish(t, open(t, c))
		finish(t, b)
	})
}

// Guards against a request that shares its connection although it must not, or waits for one at the limit of idle ones.
func TestOwnConnectionsCarryOneRequest(t *testing.T) {
	// With 4 connections, of which two are reserved for queries, the two idle ones are all that requests may use.
	for _, conns := range []int{64, 4} {
		run(t, pool.Settings{Conns: conns}, func(t *testing.T, p *peer, c *pool.Pool) {
			for _, resp := range []*http.Response{open(t, c), open(t, c)} {
				finish(t, resp)
			}
			for i, call := range []pool.Call{{}, {OwnConn: true}, {OwnConn: true}, {}, {OwnConn: true}} {
				earlier, idle := p.dials.Load(), c.OpenCount("a")
				resp, err := doCall(t.Context(), t, c, call)
				if err != nil {
					t.Fatal(err)
				}
				finish(t, resp)
				if dialed := p.dials.Load() > earlier; dialed != (call.OwnConn || idle == 0) {
					t.Errorf("%d connections, call %d: a new connection: %v", conns, i, dialed)
				}
			}
		})
	}
}

// Guards against a request on a connection that failed silently while it was idle, where the call asks for a probe.
func TestIdleConnectionIsProbed(t *testing.T) {
	run(t, pool.Settings{}, func(t *testing.T, p *peer, c *pool.Pool) {
		finish(t, open(t, c))
		time.Sleep(11 * time.Second)
		p.lastSilent.Store(1)
		resp, err := doCall(t.Context(), t, c, pool.Call{ProbeIdle: true})
		if err != nil {
			t.Fatal(err)
		}
		finish(t, resp)
		if p.dials.Load() != 2 || c.SilentCount() != 1 {
			t.Errorf("%d connections, %d silent", p.dials.Load(), c.SilentCount())
		}
	})
}

// Guards against older connections to an address that stay in use after a newer one was found silent.
func TestSilenceClosesOlderConnections(t *testing.T) {
	run(t, pool.Settings{}, func(t *testing.T, p *peer, c *pool.Pool) {
		for _, r := range []*http.Response{open(t, c), open(t, c), open(t, c)} {
			finish(t, r) // The newest connection is returned last and reused first.
		}
		p.lastSilent.Store(3)
		var f *pool.Failure
		if _, err := do(t.Context(), t, c); !errors.As(err, &f) || f.Kind() != pool.Silent || !f.Written() {
			t.Errorf("request on a silent connection: %v", err)
		}
		if n := c.OpenCount("a"); n != 0 {
			t.Errorf("%d older connections stay open", n)
		}
		finish(t, open(t, c))
	})
}

// Guards against the reuse of a connection that was still being opened when a newer one was found silent.
func TestConnectionBeingOpenedDuringSilenceIsNotReused(t *testing.T) {
	run(t, pool.Settings{}, func(t *testing.T, p *peer, c *pool.Pool) {
		p.onDial = func() {
			if p.dials.Load() == 1 {
				time.Sleep(20 * time.Second)
			}
		}
		p.firstHeard = true
		p.lastSilent.Store(2)
		slow := make(chan *http.Response)
		go func() { slow <- open(t, c) }()
		synctest.Wait()
		var f *pool.Failure
		if _, err := do(t.Context(), t, c); !errors.As(err, &f) || f.Kind() != pool.Silent {
			t.Fatalf("request on a silent connection: %v", err)
		}
		finish(t, <-slow)
		if n := c.OpenCount("a"); n != 0 {
			t.Errorf("%d connections that were opened before the silent one stay open", n)
		}
	})
}

// Guards against a connection whose opening ends after Close and that stays open.
func TestConnectionOpenedAfterCloseIsClosed(t *testing.T) {
	run(t, pool.Settings{}, func(t *testing.T, p *peer, c *pool.Pool) {
		p.onDial = func() { time.Sleep(time.Second) }
		ended := make(chan error)
		go func() {
			_, err := do(t.Context(), t, c)
			ended <- err
		}()
		synctest.Wait()
		c.Close()
		if err := <-ended; err == nil {
			t.Error("a request is sent after Close")
		}
		if n := c.OpenCount("a"); n != 0 {
			t.Errorf("%d connections stay open after Close", n)
		}
	})
}

// Guards against queries about attempts that open one connection for each waiting request.
func TestQueriesAreBounded(t *testing.T) {
	run(t, pool.Settings{}, func(t *testing.T, p *peer, c *pool.Pool) {
		p.lastSilent.Store(1000)
		within, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		done := make(chan pool.State)
		for range 50 {
			go func() { done <- c.QueryAttempt(within, "a", "1") }()
		}
		for range 50 {
			if s := <-done; s != pool.Unreachable {
				t.Errorf("state %v", s)
			}
		}
		if n := p.dials.Load(); n > 4 {
			t.Errorf("%d connections for 50 queries, want at most 2 at a time", n)
		}
	})
}

// Guards against a request that is reported as not written but arrives at the remote side.
func TestRequestReportedAsUnwrittenDoesNotArrive(t *testing.T) {
	run(t, pool.Settings{}, func(t *testing.T, p *peer, c *pool.Pool) {
		ctx, cancel := context.WithCancel(t.Context())
		p.onDial = cancel
		var f *pool.Failure
		if _, err := do(ctx, t, c); !errors.As(err, &f) || f.Written() || f.Kind() != pool.Cancelled {
			t.Errorf("request cancelled before it was written: %v", err)
		}
		synctest.Wait()
		if n := p.received.Load(); n != 0 {
			t.Errorf("%d requests arrived", n)
		}
	})
}

// Guards against a duplicate response that is read as the response to the next request.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	run(t, pool.Settings{}, func(t *testing.T, p *peer, c *pool.Pool) {
		p.extraBytes = "HTTP/1.1 500 Twice\r\nContent-Length: 0\r\n\r\n"
		for range 2 {
			r := open(t, c)
			finish(t, r)
			synctest.Wait()
			if r.StatusCode != 200 {
				t.Errorf("status %d", r.StatusCode)
			}
		}
		if n := p.dials.Load(); n != 2 {
			t.Errorf("%d connections for two requests, want 2", n)
		}
	})
}
