package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacked bounds how long sent bytes may stay unacknowledged: several
	// retransmissions, also between regions, and well under an objective.
	unacked = 1200 * time.Millisecond
	// The first probe of a connection without traffic, their distance and their number.
	probeAfter = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// NewDial returns a function that opens connections on which a remote side
// that no longer answers is noticed within seconds.
func NewDial() Dial {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			if err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
			}); err != nil {
				return err
			}
			return set
		},
	}
	return d.DialContext
}
