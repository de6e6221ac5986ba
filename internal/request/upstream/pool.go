package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// dialTimeout covers a round trip between regions behind a full queue of a link of 10 Mbit/s. A
	// lost opening packet is repeated after a second, so that another target is the faster way then.
	dialTimeout = 500 * time.Millisecond
	// keepTime is how long an unused connection is kept when the target states no time.
	keepTime = 5 * time.Second
	// keepMargin is taken off the time that the target states, for the way there.
	keepMargin = time.Second
	// onceKeep is the longest pause after which a connection may carry a request that must run at most once. A
	// connection that its target has forgotten would leave the outcome unknown; none forgets one so soon.
	onceKeep = 150 * time.Millisecond
	// recentUse is the pause up to which a closed connection says that its target has ended: targets
	// close, or forget, connections that are unused for longer.
	recentUse = 2 * time.Second
	// maxIdle is the most unused connections kept for one target.
	maxIdle = 4
)

// Pool keeps connections to targets and is safe for concurrent use.
type Pool struct {
	dial Dial

	mu     sync.Mutex
	idle   map[string][]*conn // idle is by the address of the target.
	opened int64
	lost   func(address string)
}

// New returns a pool that opens connections by dial and calls lost, which may
// be nil, when a connection was found closed by the target soon after its last use.
func New(dial Dial, lost func(address string)) *Pool {
	if lost == nil {
		lost = func(string) {}
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn), lost: lost}
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Idle returns how many unused connections are kept.
func (p *Pool) Idle() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return int64(n)
}

// Forget closes the unused connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	old := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Expire closes the connections that were unused for too long, and those on
// which a target sends although nothing was asked.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) || c.babbles() {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Close closes all unused connections.
func (p *Pool) Close() { p.Expire(time.Now().Add(24 * time.Hour)) }

// take returns a connection for the call, an unused one when there is one that may carry it.
func (p *Pool) take(ctx context.Context, address string, once bool) (*conn, error) {
	for {
		now := time.Now()
		c := p.pop(address, once, now)
		if c == nil {
			return p.open(ctx, address)
		}
		switch {
		case now.After(c.until):
			c.close()
		case !c.quiet():
			c.close()
			if now.Sub(c.used) < recentUse {
				p.lost(address)
			}
		default:
			c.reused = true
			return c, nil
		}
	}
}

// pop returns the unused connection that was put back last, or nil when there
// is none, or none that may carry a request that must run at most once.
func (p *Pool) pop(address string, once bool, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if once && now.Sub(c.used) > onceKeep {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(address, raw), nil
}

// put keeps a connection that is at a request boundary.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	list := p.idle[c.address]
	full := len(list) >= maxIdle
	if !full {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}
