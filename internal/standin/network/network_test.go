package network_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tamarackspool/internal/standin/network"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	west = network.Place{Name: "w1", Zone: "west-a", Region: "west"}
	east = network.Place{Name: "e1", Zone: "east-a", Region: "east"}
)

// echo starts an echo server in the east.
func echo(t *testing.T, n *network.Network) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	n.Bind(l.Addr().String(), east)
	return l.Addr().String()
}

func dial(t *testing.T, n *network.Network, address string) net.Conn {
	t.Helper()
	c, err := n.Dialer(west)(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func exchange(t *testing.T, c net.Conn, size int) {
	t.Helper()
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i % 251)
	}
	go func() { _, _ = c.Write(sent) }()
	got := make([]byte, size)
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	if string(got) != string(sent) {
		t.Fatal("the echo differs from what was sent")
	}
}

// Guards against bytes that are lost, reordered or not counted when the delays of chunks vary.
func TestBytesArriveInOrderAndAreCounted(t *testing.T) {
	n := network.New(network.Settings{RegionDelay: time.Millisecond, Jitter: 3, LossRate: 0.2, Seed: 1})
	defer n.Close()
	c := dial(t, n, echo(t, n))
	exchange(t, c, 300_000)
	if got := n.LinkTraffic()[network.Pair{From: "west", To: "east"}].Bytes; got != 300_000 {
		t.Errorf("bytes = %d, want 300000", got)
	}
	_ = c.Close()
}

// Guards against a silenced connection that still delivers bytes, and against a silence that also affects new connections.
func TestSilenceHitsOnlyExistingConnections(t *testing.T) {
	n := network.New(network.Settings{Seed: 1})
	defer n.Close()
	address := echo(t, n)
	old := dial(t, n, address)
	exchange(t, old, 10)
	if got := n.Silence("west", "east"); got != 1 {
		t.Fatalf("silenced %d connections, want 1", got)
	}
	_, _ = old.Write([]byte("lost"))
	_ = old.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := old.Read(make([]byte, 4)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read on a silent connection: %v", err)
	}
	exchange(t, dial(t, n, address), 10)
}

// Guards against a partition that lets dials through, and against one that remains after Heal.
func TestCutAndHeal(t *testing.T) {
	n := network.New(network.Settings{Seed: 1})
	defer n.Close()
	address := echo(t, n)
	n.Cut("east", "west")
	if _, err := n.Dialer(west)(t.Context(), "tcp", address); !errors.Is(err, network.ErrCut) {
		t.Errorf("dial over a cut pair: %v", err)
	}
	n.Heal("west", "east")
	exchange(t, dial(t, n, address), 10)
}
