package backlog

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleTime is the time without a new connection after which a stopped listener has accepted all that
	// were established: closing it resets those that are left.
	idleTime = 5 * time.Millisecond
	// maxLastAccepts bounds the connections that a stopped listener accepts, in case further ones keep arriving.
	maxLastAccepts = 256
)

// Listener is a listener that can stop accepting; its methods are safe for concurrent use, but for concurrent calls of Accept.
type Listener struct {
	net.Listener
	stopped  atomic.Bool
	accepted int // accepted counts the connections accepted since the stop.
}

// New returns a listener that accepts from l.
func New(l net.Listener) *Listener { return &Listener{Listener: l} }

// Stop makes Accept return the connections that are already established and then net.ErrClosed. The
// listener stays open until it is closed; one without deadlines accepts until then.
func (l *Listener) Stop() {
	l.stopped.Store(true)
	l.setDeadline(time.Now())
}

// Accept returns the next connection, or net.ErrClosed when the listener is closed, or is stopped and none is left.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.stopped.Load() {
		c, err := l.Listener.Accept()
		if !l.stopped.Load() || !isTimeout(err) {
			return c, err
		}
	}
	for l.accepted < maxLastAccepts {
		l.setDeadline(time.Now().Add(idleTime))
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.accepted++
			return c, nil
		case !isTimeout(err):
			l.accepted++
			return nil, err
		case !l.hasBacklog():
			return nil, net.ErrClosed
		}
		// The deadline passed before the process could accept.
	}
	return nil, net.ErrClosed
}

func (l *Listener) setDeadline(at time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(at time.Time) error }); ok {
		_ = d.SetDeadline(at) // The error means that the listener is closed, which ends Accept as well.
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// hasBacklog reports whether a connection waits to be accepted; false for a listener that is no socket.
func (l *Listener) hasBacklog() bool {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = control.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		waiting = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}
