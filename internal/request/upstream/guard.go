package upstream

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tamarackspool/internal/request/liveness"
)

// guardInterval is the time between two looks at a connection that sends a large body.
const guardInterval = 200 * time.Millisecond

// guardBody watches a connection while it sends a large body, in place of the kernel's timeout, which would end it while
// the target is at work and does not read on. It returns a function that ends the watch and puts the timeout back. Where
// the system keeps no account of connections, the timeout stays.
func (c *conn) guardBody() (stop func()) {
	raw, ok := c.rawConn()
	if !ok {
		return func() {}
	}
	if _, err := liveness.Read(raw); err != nil || setUserTimeout(raw, 0) != nil {
		return func() {}
	}
	ended, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		c.watchPeer(raw, ended)
	}()
	return sync.OnceFunc(func() {
		close(ended)
		<-stopped
		// A connection that has ended has no timeout to put back.
		_ = setUserTimeout(raw, tcpUserTimeout)
	})
}

// watchPeer interrupts the connection when its peer becomes silent.
func (c *conn) watchPeer(raw syscall.RawConn, ended <-chan struct{}) {
	w := liveness.NewWatch(tcpUserTimeout)
	t := time.NewTicker(guardInterval)
	defer t.Stop()
	for {
		select {
		case <-ended:
			return
		case now := <-t.C:
			s, err := liveness.Read(raw)
			if err != nil {
				return // The connection has ended, which its reader finds too.
			}
			if w.Silent(s, now) {
				c.interrupt()
				return
			}
		}
	}
}

// rawConn returns the connection for calls to the system; ok is false when it has no file descriptor.
func (c *conn) rawConn() (syscall.RawConn, bool) {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := s.SyscallConn()
	return raw, err == nil
}

// setUserTimeout sets how long sent bytes may stay unacknowledged; 0 is the system's own limit.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var set error
	if err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); err != nil {
		return err
	}
	return set
}
