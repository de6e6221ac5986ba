package inbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The phases of a server's life.
const (
	serving  int32 = iota
	draining       // draining ends each connection behind its next answer
	closing        // closing accepts and reads nothing more
)

// Server serves callers' connections.
type Server struct {
	handler Handler
	failed  func(error)
	phase   atomic.Int32
	held    atomic.Int64 // held is how many bytes of bodies are held.

	mu    sync.Mutex
	conns map[*conn]bool
	wg    sync.WaitGroup
}

// New returns a server that answers by the handler and calls failed when a
// connection could not be accepted.
func New(h Handler, failed func(error)) *Server {
	return &Server{handler: h, failed: failed, conns: make(map[*conn]bool)}
}

// Serve accepts connections until the listener is closed, and returns nil then.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, for example: those in use must end first.
			s.failed(err)
			time.Sleep(acceptPause)
			continue
		}
		s.start(raw)
	}
}

// acceptPause is the wait after a connection could not be accepted.
const acceptPause = 20 * time.Millisecond

func (s *Server) start(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	if s.phase.Load() == closing {
		s.mu.Unlock()
		_ = raw.Close()
		return
	}
	s.conns[c] = true
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		c.run()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain ends each connection behind its next answer; new ones are still accepted.
func (s *Server) Drain() { s.phase.CompareAndSwap(serving, draining) }

// Close closes the connections that carry no request and waits until the
// others have delivered their answers or the context ends, which cuts them.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.phase.Store(closing)
	for c := range s.conns {
		c.wake()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.mu.Lock()
		for c := range s.conns {
			c.cut()
		}
		s.mu.Unlock()
		<-done
	}
}
