package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

const (
	// firstPort is the first port that is assigned.
	firstPort = 1024
	// backlog is the number of connections that can wait to be accepted; further dials block.
	backlog = 128
)

// Memory is an in-process loopback, on which a deployment can run in simulated
// time. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	port      uint16 // port is the last assigned port.
	listeners map[netip.AddrPort]*memoryListener
}

// NewMemory returns a loopback without listeners.
func NewMemory() *Memory {
	return &Memory{port: firstPort - 1, listeners: make(map[netip.AddrPort]*memoryListener)}
}

// Listen opens a listener; for port 0, the loopback assigns one.
func (m *Memory) Listen(_ context.Context, network, address string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("network: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Port() == 0 {
		at = netip.AddrPortFrom(at.Addr(), m.assignPort())
	}
	if m.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: net.TCPAddrFromAddrPort(at), Err: syscall.EADDRINUSE}
	}
	l := &memoryListener{m: m, at: at, conns: make(chan net.Conn, backlog), done: make(chan struct{})}
	m.listeners[at] = l
	return l, nil
}

// assignPort returns a port that hasn't been assigned before; m.mu is held.
func (m *Memory) assignPort() uint16 {
	m.port++
	return m.port
}

// Dial opens a connection from the address from, or from 127.0.0.1 if from is the zero value.
func (m *Memory) Dial(ctx context.Context, from netip.Addr, network, address string) (net.Conn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("network: %w", err)
	}
	m.mu.Lock()
	l, port := m.listeners[at], m.assignPort()
	m.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: net.TCPAddrFromAddrPort(at), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	if !from.IsValid() {
		from = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	start := netip.AddrPortFrom(from, port)
	local, remote := net.Pipe()
	select {
	case l.conns <- memoryConn{remote, at, start}:
		return memoryConn{local, start, at}, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryListener is a listener of a Memory.
type memoryListener struct {
	m     *Memory
	at    netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and the connections that weren't accepted.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.m.mu.Lock()
		delete(l.m.listeners, l.at)
		l.m.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.conns:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the listener's address, a *net.TCPAddr.
func (l *memoryListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	local, remote netip.AddrPort
}

// LocalAddr returns the address of this end.
func (c memoryConn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the address of the remote end.
func (c memoryConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }
