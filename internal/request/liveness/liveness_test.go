package liveness_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tamarackspool/internal/request/liveness"
)

// Guards against a peer that is taken for silent because it does not read, or because nothing was sent to it for some
// time, and against one that has ended and is never found.
func TestSilentPeersAreFoundAndSlowReadersAreNot(t *testing.T) {
	const limit, step = 1200 * time.Millisecond, 200 * time.Millisecond
	for name, c := range map[string]struct {
		sample func(at time.Duration) liveness.Sample
		found  time.Duration // found is when the peer counts as silent; 0 for never.
	}{
		"idle, waiting for an answer": {func(at time.Duration) liveness.Sample { return liveness.Sample{SinceAnswer: at} }, 0},
		"reads slowly": {func(at time.Duration) liveness.Sample {
			return liveness.Sample{Unacknowledged: true, SinceAnswer: at % (900 * time.Millisecond)}
		}, 0},
		"window closed, probes answered": {func(at time.Duration) liveness.Sample {
			return liveness.Sample{Probes: int(at/step) % 2, SinceAnswer: at % (3200 * time.Millisecond)}
		}, 0},
		"silent at once": {func(at time.Duration) liveness.Sample {
			return liveness.Sample{Unacknowledged: true, SinceAnswer: at}
		}, limit},
		"silent after a long pause": {func(at time.Duration) liveness.Sample {
			return liveness.Sample{Unacknowledged: at >= 5*time.Second, SinceAnswer: 9*time.Second + at}
		}, 5*time.Second + limit},
		"silent with a closed window": {func(at time.Duration) liveness.Sample {
			return liveness.Sample{Probes: int(at / (400 * time.Millisecond)), SinceAnswer: at}
		}, 1600 * time.Millisecond},
	} {
		w, start, found := liveness.NewWatch(limit), time.Unix(1000, 0), time.Duration(0)
		for at := time.Duration(0); at < 20*time.Second && found == 0; at += step {
			if w.Silent(c.sample(at), start.Add(at)) {
				found = at
			}
		}
		if found != c.found {
			t.Errorf("%s: found after %v, want %v", name, found, c.found)
		}
	}
}

// Guards against an account that a system fills with zeros: by it, no peer would ever be silent.
func TestAccountsThatCountNothingAreRefused(t *testing.T) {
	const established = 1
	if _, err := liveness.FromInfo(&unix.TCPInfo{State: established, Snd_mss: 1448}); err == nil {
		t.Error("an account without a sent segment is accepted")
	}
	s, err := liveness.FromInfo(&unix.TCPInfo{State: established, Segs_out: 3, Unacked: 2, Probes: 1, Last_ack_recv: 700})
	if want := (liveness.Sample{Unacknowledged: true, Probes: 1, SinceAnswer: 700 * time.Millisecond}); err != nil || s != want {
		t.Errorf("%+v, %v; want %+v", s, err, want)
	}
}

// Guards against an account that cannot be read from a real connection.
func TestAccountOfAnOpenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if s, err := liveness.Read(raw); err != nil || s.Unacknowledged || s.Probes != 0 {
		t.Errorf("%+v, %v", s, err)
	}
}
