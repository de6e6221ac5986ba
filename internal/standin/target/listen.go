package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Serve serves on l until ctx ends or Kill is called; it returns nil in both cases.
func (t *Target) Serve(ctx context.Context, l net.Listener) error {
	s := &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	t.mu.Lock()
	t.server = s
	t.mu.Unlock()
	stop := context.AfterFunc(ctx, t.Kill)
	defer stop()
	err := s.Serve(&listener{Listener: l, t: t})
	t.Kill()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

type listener struct {
	net.Listener
	t *Target
}

// Accept returns the next connection and registers it for Silence and Kill.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, t: l.t}
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	c.silent.Store(l.t.silenceNext)
	l.t.silenceNext = false
	l.t.conns[c] = true
	return c, nil
}

// conn is a connection with a setup time; Silence makes it drop all bytes.
type conn struct {
	net.Conn
	t      *Target
	setup  sync.Once
	silent atomic.Bool
}

// Read returns the next bytes; a silent connection drops them.
func (c *conn) Read(p []byte) (int, error) {
	c.setup.Do(func() { time.Sleep(c.t.s.ConnSetupTime) })
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends bytes; a silent connection drops them.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.t.mu.Lock()
	delete(c.t.conns, c)
	c.t.mu.Unlock()
	return c.Conn.Close()
}
