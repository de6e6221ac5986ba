package inbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The phases of a server.
const (
	serving  int32 = iota
	draining       // draining closes each connection after the next answer that leaves no request pending
	closing        // closing reads no further request, except those that have already arrived
)

// Server serves callers' connections.
type Server struct {
	handler       Handler
	acceptFailed  func(error)
	phase         atomic.Int32
	bufferedBytes atomic.Int64 // bufferedBytes is the number of buffered body bytes of all requests.

	mu    sync.Mutex
	conns map[*conn]bool
	wg    sync.WaitGroup
}

// New returns a server that answers with the handler and calls failed when a
// connection could not be accepted.
func New(h Handler, failed func(error)) *Server {
	return &Server{handler: h, acceptFailed: failed, conns: make(map[*conn]bool)}
}

// Serve accepts connections until the listener is closed, and returns nil then.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The process may be out of file descriptors; connections in use must close first.
			s.acceptFailed(err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(raw)
	}
}

// acceptRetryDelay is the delay after a connection could not be accepted.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) startConn(raw net.Conn) {
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

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain closes each connection after the next answer that leaves no request pending; new connections are still accepted.
func (s *Server) Drain() { s.phase.CompareAndSwap(serving, draining) }

// Close closes the idle connections and waits until the others have delivered
// their answers. When the context ends, it closes the remaining ones at once.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.phase.Store(closing)
	for c := range s.conns {
		c.wakeReader()
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
			c.abort()
		}
		s.mu.Unlock()
		<-done
	}
}
