package pool

import (
	"context"
	"sync"
	"time"
)

// path holds all connections to one remote address.
type path struct {
	address string

	mu      sync.Mutex
	limit   int
	open    map[*conn]bool
	idle    []*conn // idle is used from its end, so that few connections stay warm.
	opening int
	born    uint64
	waiters []chan struct{}
	side    chan struct{} // side holds a value per connection of its own for a question.
}

// take returns an unused connection, or the right to open one, or waits.
func (p *path) take(ctx context.Context, limit int, keep time.Duration) (*conn, error) {
	for {
		p.mu.Lock()
		p.limit = limit
		for len(p.idle) > 0 {
			c := p.idle[len(p.idle)-1]
			p.idle = p.idle[:len(p.idle)-1]
			p.mu.Unlock()
			if time.Since(c.used) < keep && c.alive() {
				return c, nil
			}
			p.drop(c)
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
			p.leave(w)
			return nil, ctx.Err()
		}
	}
}

// leave removes a waiter, and passes its wake-up on when it has one already.
func (p *path) leave(w chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.waiters {
		if x == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wake()
}

func (p *path) wake() {
	if len(p.waiters) > 0 {
		p.waiters[0] <- struct{}{}
		p.waiters = p.waiters[1:]
	}
}

// opened ends the right to open a connection; c is nil when that failed.
func (p *path) opened(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if c == nil {
		p.wake()
		return
	}
	p.open[c] = true
}

func (p *path) next() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.born++
	return p.born
}

// put makes a connection available after a complete exchange.
func (p *path) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.silent.Load() || !p.open[c] {
		c.close()
		delete(p.open, c)
	} else {
		p.idle = append(p.idle, c)
	}
	p.wake()
}

// drop closes a connection that must not be used again.
func (p *path) drop(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	p.wake()
}

// silence closes c and every connection of the path that was opened before it,
// because they share the network path that swallowed its bytes.
func (p *path) silence(c *conn) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed := 0
	for o := range p.open {
		if o.born <= c.born {
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
		p.wake()
	}
	return closed
}

// expire closes connections that were not used for the given time.
func (p *path) expire(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.used) < keep {
			kept = append(kept, c)
			continue
		}
		c.close()
		delete(p.open, c)
	}
	p.idle = kept
}

func (p *path) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.close()
		delete(p.open, c)
	}
	p.idle = nil
}
