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
// their answers. When the context ends, requests in progress get a gateway timeout, the
// answers that are ready behind them are delivered, and what remains is closed after deliveryTimeout.
func (s *Server) Close(ctx context.Context) {
	s.phase.Store(closing)
	s.forEachConn((*conn).wakeReader)
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	s.forEachConn((*conn).expire)
	t := time.NewTimer(deliveryTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
		s.forEachConn((*conn).abort)
		<-done
	}
}

// deliveryTimeout bounds the delivery of the answers that are ready when a stop has used up its time.
const deliveryTimeout = 100 * time.Millisecond

func (s *Server) forEachConn(f func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		f(c)
	}
}
