package node_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"tamarackspool/internal/entry/node"
)

// heldListener is a listener that accepts nothing, as in a process that gets no processor, from hold until
// its owner sets a deadline or closes it.
type heldListener struct {
	*net.TCPListener
	held    sync.RWMutex
	release func()
}

func (l *heldListener) hold() {
	l.held.Lock()
	l.release = sync.OnceFunc(l.held.Unlock)
}

// Accept accepts the next connection once the listener is not held.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	l.held.RLock()
	defer l.held.RUnlock()
	return c, err
}

// SetDeadline sets the deadline and ends the hold.
func (l *heldListener) SetDeadline(at time.Time) error {
	defer l.release()
	return l.TCPListener.SetDeadline(at)
}

// Close closes the listener and ends the hold.
func (l *heldListener) Close() error {
	defer l.release()
	return l.TCPListener.Close()
}

// Guards against a planned stop that resets connections which the kernel has established and the entry has not accepted yet.
func TestPlannedStopAnswersConnectionsInTheBacklog(t *testing.T) {
	s := newTestCluster(t)
	var held *heldListener
	s.adjustDependencies = func(d *node.Dependencies) {
		d.Listen = func(ctx context.Context, network, address string) (net.Listener, error) {
			l, err := new(net.ListenConfig).Listen(ctx, network, address)
			if err != nil || held != nil {
				return l, err
			}
			held = &heldListener{TCPListener: l.(*net.TCPListener)} // The listener for callers is opened first.
			return held, nil
		}
	}
	a := s.start("e1", "ege-a")
	s.waitServing(a)
	held.hold()
	var callers []net.Conn
	for i := range 5 {
		c, err := net.Dial("tcp", held.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "GET /run/status/%d HTTP/1.1\r\nHost: h\r\nTenant: parents\r\n\r\n", i)
		callers = append(callers, c)
	}
	a.Drain(t.Context())
	for i, c := range callers {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("caller %d is cut: %v", i, err)
			continue
		}
		if v := resp.Header.Get("Verdict"); v != "ran" && v != "not-run" {
			t.Errorf("caller %d: status %d, verdict %q", i, resp.StatusCode, v)
		}
	}
	a.stop()
}
