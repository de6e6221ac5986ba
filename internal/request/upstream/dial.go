package upstream

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout bounds how long sent bytes may stay unacknowledged. It allows several
	// retransmissions, also between regions, and is well below a latency objective.
	tcpUserTimeout = 1200 * time.Millisecond
	// TCP keep-alive: the idle time before the first probe, the interval between probes, and their number.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDial returns a function that opens connections which fail within seconds when
// the remote side stops answering.
func NewDial() Dial {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, tcpUserTimeout)
		},
	}
	return d.DialContext
}
