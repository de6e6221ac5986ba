package pool

import (
	"context"
	"sync"
	"time"
)

// addrPool holds the connections to one remote address.
type addrPool struct {
	address string

	mu           sync.Mutex
	limit        int
	open         map[*conn]bool
	idle         []*conn // idle is used as a stack, so that a few connections carry most requests and the rest expire.
	opening      int
	lastSequence uint64
	silentUpTo   uint64 // silentUpTo is the highest sequence of the connections that were found silent.
	waiters      []chan struct{}
	querySlots   chan struct{} // querySlots holds one value for each open connection of a query.
}

// takeConn returns an idle connection, or nil as the right to open one. At the limit it waits for either. With open set
// it returns only the right to open one, and closes an idle connection for it if the limit is reached.
func (p *addrPool) takeConn(ctx context.Context, limit int, keep time.Duration, open bool) (*conn, error) {
	for {
		p.mu.Lock()
		p.limit = limit
		for len(p.idle) > 0 && (!open || len(p.open)+p.opening >= p.limit) {
			c := p.idle[len(p.idle)-1]
			p.idle = p.idle[:len(p.idle)-1]
			p.mu.Unlock()
			if !open && time.Since(c.lastUsed) < keep && c.alive() {
				return c, nil
			}
			p.discardConn(c)
			p.mu.Lock()
		}
		if len(p.open)+p.opening < p.limit {
			p.opening++
			p.mu.Unlock()
			return nil, nil
		}
		w := make(chan struct{}, 1)
		p.waiters = append(p.waiters, w)
		p.mu.Unlock()
		select {
		case <-w:
		case <-ctx.Done():
			p.removeWaiter(w)
			return nil, ctx.Err()
		}
	}
}

// removeWaiter removes a waiter; if it has already been woken, the next waiter is woken instead.
func (p *addrPool) removeWaiter(w chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.waiters {
		if x == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeWaiter()
}

func (p *addrPool) wakeWaiter() {
	if len(p.waiters) > 0 {
		p.waiters[0] <- struct{}{}
		p.waiters = p.waiters[1:]
	}
}

// finishOpening registers a connection that takeConn allowed to open; c is nil if opening it failed.
func (p *addrPool) finishOpening(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if c == nil {
		p.wakeWaiter()
		return
	}
	p.open[c] = true
}

func (p *addrPool) nextSequence() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSequence++
	return p.lastSequence
}

// returnConn makes a connection idle again after a complete exchange.
func (p *addrPool) returnConn(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.silent.Load() || c.sequence <= p.silentUpTo || !p.open[c] {
		c.close()
		delete(p.open, c)
	} else {
		p.idle = append(p.idle, c)
	}
	p.wakeWaiter()
}

// discardConn closes a connection that must not be reused.
func (p *addrPool) discardConn(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	p.wakeWaiter()
}

// closeSilent closes c and every connection to the address that was opened before it,
// because they share the network path on which its data was lost.
func (p *addrPool) closeSilent(c *conn) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentUpTo = max(p.silentUpTo, c.sequence)
	closed := 0
	for o := range p.open {
		if o.sequence <= c.sequence {
			o.silent.Store(true)
			o.close()
			delete(p.open, o)
			closed++
		}
	}
	kept := p.idle[:0]
	for _, o := range p.idle {
		if !o.silent.Load() {
			kept = append(kept, o)
		}
	}
	p.idle = kept
	for range closed {
		p.wakeWaiter()
	}
	return closed
}

// closeExpired closes connections that have been idle for the given time.
func (p *addrPool) closeExpired(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.lastUsed) < keep {
			kept = append(kept, c)
			continue
		}
		c.close()
		delete(p.open, c)
	}
	p.idle = kept
}

func (p *addrPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.close()
		delete(p.open, c)
	}
	p.idle = nil
}
