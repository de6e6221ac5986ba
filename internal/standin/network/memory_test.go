package network_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/standin/network"
)

func listen(t *testing.T, m *network.Memory, address string) net.Listener {
	t.Helper()
	l, err := m.Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against in-memory connections that lose bytes, lack the delay between their places or report a wrong caller address.
func TestMemoryCarriesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 30 * time.Millisecond
		from := west
		from.Address = netip.MustParseAddr("127.0.3.1")
		m := network.NewMemory()
		n := network.New(network.Settings{RegionDelay: delay, Dial: m.Dial})
		defer n.Close()
		l := listen(t, m, "127.0.0.1:0")
		defer l.Close()
		n.Bind(l.Addr().String(), east)
		caller := make(chan net.Addr, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			caller <- c.RemoteAddr()
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}()
		begin := time.Now()
		c, err := n.Dialer(from)(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		exchange(t, c, 300_000)
		if took := time.Since(begin); took != 4*delay {
			t.Errorf("a connection and an exchange took %s, want %s", took, 4*delay)
		}
		if host := (<-caller).(*net.TCPAddr).AddrPort().Addr(); host != from.Address {
			t.Errorf("the caller's address is %s, want %s", host, from.Address)
		}
		_ = c.Close()
	})
}

// Guards against dials that succeed without a listener, two listeners on one port, and
// connections that stay open although their listener was closed before accepting them.
func TestMemoryRefusesWithoutListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := network.NewMemory()
		l := listen(t, m, "127.0.0.1:0")
		address := l.Addr().String()
		if _, err := m.Listen(t.Context(), "tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("a second listener: %v", err)
		}
		waiting, err := m.Dial(t.Context(), netip.Addr{}, "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		if _, err := waiting.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("read of a connection that was not accepted: %v", err)
		}
		if _, err := m.Dial(t.Context(), netip.Addr{}, "tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial of a closed listener: %v", err)
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept of a closed listener: %v", err)
		}
	})
}
