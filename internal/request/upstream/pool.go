package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tamarackspool/internal/request/head"
)

// Dial is a function that opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// dialTimeout covers a round trip between regions over a 10 Mbit/s link with a full queue. A lost
	// SYN is retransmitted only after a second; trying another target is faster than waiting for that.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the target states no timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the target states, to allow for network delay.
	idleTimeoutMargin = time.Second
	// earlyCloseWindow is the idle time up to which a closed connection indicates that the target has
	// terminated: targets close, or drop, connections that are idle for longer.
	earlyCloseWindow = 2 * time.Second
	// maxIdlePerTarget is the largest number of idle connections that are kept for one target.
	maxIdlePerTarget = 4
	// maxIdleAfterOnce is the same for a connection that carried a request which must run at most once: only requests of
	// another kind use it again, and targets bound their connections.
	maxIdleAfterOnce = 1
)

// Pool keeps idle connections to targets for reuse and is safe for concurrent use.
type Pool struct {
	dial Dial
	held heldBytes
	// invalidAnswers counts the answers that were rejected as invalid, invalidHeads those of them whose head or trailer
	// section HTTP/1.1 does not allow.
	invalidAnswers, invalidHeads atomic.Int64

	mu             sync.Mutex
	idle           map[string][]*conn // idle maps a target's address to its idle connections, the most recently used one last.
	opened         int64
	onTargetClosed func(address string)
}

// New returns a pool that opens connections with dial. It calls onTargetClosed, which may be nil,
// with a target's address when it finds that the target closed a connection soon after its last use.
func New(dial Dial, onTargetClosed func(address string)) *Pool {
	if onTargetClosed == nil {
		onTargetClosed = func(string) {}
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn), onTargetClosed: onTargetClosed}
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return int64(n)
}

// InvalidAnswers returns the number of answers that were rejected as invalid.
func (p *Pool) InvalidAnswers() int64 { return p.invalidAnswers.Load() }

// InvalidHeads returns the number of answers that were rejected because HTTP/1.1 does not allow their head, such as one
// with whitespace in a field name.
func (p *Pool) InvalidHeads() int64 { return p.invalidHeads.Load() }

// countInvalid counts an answer that was rejected as invalid.
func (p *Pool) countInvalid(err error) {
	p.invalidAnswers.Add(1)
	if errors.Is(err, head.ErrInvalid) {
		p.invalidHeads.Add(1)
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	old := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// CloseExpired closes the connections that have been idle for too long, and those on
// which a target sent bytes although no request was in progress.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expires) || c.hasUnreadBytes() {
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

// Close closes all idle connections.
func (p *Pool) Close() { p.CloseExpired(time.Now().Add(24 * time.Hour)) }

// acquire returns an idle connection that may carry the request, or opens a new one. A request that must run at most
// once gets a new one: on a connection that has carried another request, a late copy of that one's answer could say that
// this one has not run, and on one that its target has dropped the outcome would be unknown.
func (p *Pool) acquire(ctx context.Context, address string, once bool) (*conn, error) {
	if once {
		return p.open(ctx, address)
	}
	for {
		now := time.Now()
		c := p.popIdle(address)
		if c == nil {
			return p.open(ctx, address)
		}
		switch {
		case now.After(c.expires):
			c.close()
		case !c.isReusable():
			c.close()
			if now.Sub(c.lastUsed) < earlyCloseWindow {
				p.onTargetClosed(address)
			}
		default:
			return c, nil
		}
	}
}

// popIdle returns the most recently used idle connection, or nil when there is none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
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
	return newConn(address, raw, &p.held), nil
}

// putIdle returns a connection without a request in progress to the pool, or closes it if the limit of idle connections to
// its target is reached.
func (p *Pool) putIdle(c *conn, limit int) {
	p.mu.Lock()
	list := p.idle[c.address]
	full := len(list) >= limit
	if !full {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}
