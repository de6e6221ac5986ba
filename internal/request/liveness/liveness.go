package liveness

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sample is the kernel's account of a connection at one moment.
type Sample struct {
	Unacknowledged bool          // Unacknowledged is set while sent bytes are not acknowledged.
	Probes         int           // Probes is the number of probes that the peer has not answered.
	SinceAnswer    time.Duration // SinceAnswer is the time since the peer last acknowledged anything.
}

// tcpEstablished is the state of an open connection in the kernel's account.
const tcpEstablished = 1

// Read returns the account of a connection, or an error where the system keeps none.
func Read(c syscall.RawConn) (Sample, error) {
	var info *unix.TCPInfo
	var read error
	if err := c.Control(func(fd uintptr) {
		info, read = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return Sample{}, fmt.Errorf("liveness: %w", err)
	}
	if read != nil {
		return Sample{}, fmt.Errorf("liveness: %w", read)
	}
	return FromInfo(info)
}

// FromInfo returns the sample that a kernel's account holds. The error says that the account counts nothing: an open
// connection has sent at least one segment. Its other fields would call every peer alive.
func FromInfo(info *unix.TCPInfo) (Sample, error) {
	if info.State != tcpEstablished || info.Segs_out == 0 {
		return Sample{}, errNoAccount
	}
	return Sample{
		Unacknowledged: info.Unacked > 0, Probes: int(info.Probes),
		SinceAnswer: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

var errNoAccount = errors.New("liveness: the system keeps no account of the connection")

// silentProbes is the number of unanswered probes of a closed window after which the peer counts as silent: a probe on
// its way is not answered yet.
const silentProbes = 2

// Watch finds a peer that has become silent, from successive samples of its connection.
type Watch struct {
	limit   time.Duration
	waiting time.Time // waiting is when something was first seen to wait for the peer; zero while nothing does.
}

// NewWatch returns a watch for a peer that may leave what was sent unanswered for the limit.
func NewWatch(limit time.Duration) *Watch { return &Watch{limit: limit} }

// Silent reports whether the peer has not answered for the limit although something waits for it: sent bytes, or probes
// of its closed window.
func (w *Watch) Silent(s Sample, now time.Time) bool {
	if !s.Unacknowledged && s.Probes == 0 {
		w.waiting = time.Time{}
		return false
	}
	if w.waiting.IsZero() {
		w.waiting = now
	}
	if !s.Unacknowledged && s.Probes < silentProbes {
		return false
	}
	return min(now.Sub(w.waiting), s.SinceAnswer) >= w.limit
}
