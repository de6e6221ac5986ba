package network

import (
	"context"
	"net"
	"net/netip"
)

// TCP is the operating system's loopback.
type TCP struct{}

// Listen opens a listener; port 0 lets the system choose one.
func (TCP) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, network, address)
}

// Dial opens a connection from the address from, or from one that the system chooses if from is the zero value.
func (TCP) Dial(ctx context.Context, from netip.Addr, network, address string) (net.Conn, error) {
	var d net.Dialer
	if from.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: from.AsSlice()}
	}
	return d.DialContext(ctx, network, address)
}
