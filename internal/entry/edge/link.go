package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tamarackspool/internal/record/traffic"
)

// linkIdleTime is how long a connection to another entry is kept without use.
const linkIdleTime = 10 * time.Second

// peerLinks keeps connections to other entries for short calls, one for each address; calls share it. It is safe for concurrent use.
type peerLinks struct {
	dial traffic.DialFunc

	mu     sync.Mutex
	links  map[string]*peerLink // links is keyed by address.
	closed bool
}

// peerLink is a connection that is open or being opened.
type peerLink struct {
	opened chan struct{} // opened is closed when conn or err is set.
	conn   *jsonrpc2.Conn
	err    error
	used   time.Time // used is guarded by peerLinks.mu.
}

var errLinksClosed = errors.New("edge: the connections to other entries are closed")

func newPeerLinks(dial traffic.DialFunc) *peerLinks {
	return &peerLinks{dial: dial, links: make(map[string]*peerLink)}
}

// call calls a method of the entry at the address. After an error the connection is closed: it may be dead.
func (p *peerLinks) call(ctx context.Context, address, method string, params, result any) error {
	l, err := p.open(ctx, address)
	if err == nil {
		err = l.conn.Call(ctx, method, params, result)
		if err != nil {
			p.drop(address, l)
		}
	}
	if err != nil {
		return fmt.Errorf("edge: peer %s: %w", address, err)
	}
	return nil
}

// open returns the open connection to the address, and opens one if there is none.
func (p *peerLinks) open(ctx context.Context, address string) (*peerLink, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errLinksClosed
	}
	l := p.links[address]
	if l != nil && l.hasEnded() {
		l = nil
	}
	if l == nil {
		l = &peerLink{opened: make(chan struct{})}
		p.links[address] = l
		go p.connect(context.WithoutCancel(ctx), address, l)
	}
	l.used = time.Now()
	p.mu.Unlock()
	select {
	case <-l.opened:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// linkDialTimeout bounds the opening of a connection, which may outlast the call that began it.
const linkDialTimeout = time.Second

func (p *peerLinks) connect(ctx context.Context, address string, l *peerLink) {
	bounded, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	raw, err := p.dial(bounded, "tcp", address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(l.opened)
	switch {
	case err != nil:
		l.err = err
	case p.closed:
		_ = raw.Close()
		l.err = errLinksClosed
	default:
		l.conn = jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), jsonrpc2.HandlerWithError(rejectPeerCall),
			jsonrpc2.SetLogger(discardLogger))
		return
	}
	if p.links[address] == l {
		delete(p.links, address)
	}
}

// hasEnded reports whether the other entry has closed the connection.
func (l *peerLink) hasEnded() bool {
	select {
	case <-l.opened:
	default:
		return false
	}
	if l.conn == nil {
		return true
	}
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (p *peerLinks) drop(address string, l *peerLink) {
	p.mu.Lock()
	if p.links[address] == l {
		delete(p.links, address)
	}
	p.mu.Unlock()
	_ = l.conn.Close()
}

// closeIdle closes the connections that have not been used for linkIdleTime.
func (p *peerLinks) closeIdle(now time.Time) {
	p.closeMatching(func(l *peerLink) bool { return now.Sub(l.used) >= linkIdleTime })
}

// close closes all connections; later calls fail.
func (p *peerLinks) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeMatching(func(*peerLink) bool { return true })
}

func (p *peerLinks) closeMatching(match func(*peerLink) bool) {
	var ended []*jsonrpc2.Conn
	p.mu.Lock()
	for address, l := range p.links {
		select {
		case <-l.opened:
		default:
			continue // connect closes it after close, and a later sweep when it stays unused.
		}
		if match(l) {
			delete(p.links, address)
			if l.conn != nil {
				ended = append(ended, l.conn)
			}
		}
	}
	p.mu.Unlock()
	for _, c := range ended {
		_ = c.Close()
	}
}

// count returns the number of connections.
func (p *peerLinks) count() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.links))
}
