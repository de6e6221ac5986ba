package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"

	"tamarackspool/internal/entry/setting"
	"tamarackspool/internal/request/backlog"
)

// listener is a listening port of the entry.
type listener struct{ net.Listener }

func (l listener) address() netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// listeners are the four listening ports of an entry.
type listeners struct {
	call, peer, relay, admin listener
	callBacklog              *backlog.Listener // callBacklog is the socket of call, under TLS if that is set.
}

func (l *listeners) open(ctx context.Context, s setting.Settings, listen Listen) error {
	for _, p := range []struct {
		flag string
		addr netip.AddrPort
		dst  *listener
	}{
		{"call", s.CallAddr(), &l.call}, {"peer", s.PeerAddr(), &l.peer}, {"pass", s.RelayAddr(), &l.relay}, {"admin", s.AdminAddr(), &l.admin},
	} {
		opened, err := listen(ctx, "tcp", p.addr.String())
		if err != nil {
			l.close()
			return fmt.Errorf("node: --%s: %w", p.flag, err)
		}
		if p.dst == &l.call {
			l.callBacklog = backlog.New(opened)
			opened = l.callBacklog
		}
		p.dst.Listener = opened
		if s.TLS() != nil && (p.dst == &l.call || p.dst == &l.admin) {
			p.dst.Listener = tls.NewListener(opened, s.TLS())
		}
	}
	return nil
}

func (l *listeners) close() {
	for _, one := range []listener{l.call, l.peer, l.relay, l.admin} {
		if one.Listener != nil {
			_ = one.Close()
		}
	}
}
