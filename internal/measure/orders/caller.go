package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackspool/internal/request/order"
)

// caller sends orders one after the other and repeats each through other entries.
type caller struct {
	cluster *cluster
	number  int
	draw    *rand.Rand
}

// run sends a number of orders.
func (c *caller) run(orders int) {
	for i := range orders {
		key := fmt.Sprintf("order-%d-%d", c.number, i)
		if c.draw.IntN(2) == 0 {
			key = c.ticket()
		}
		c.order(order.NewKey(tenant, service, key))
	}
}

// ticket returns a new ticket from any running entry.
func (c *caller) ticket() string {
	for {
		if _, n := c.cluster.any(); n != nil && n.step() {
			return n.issuer.Issue(tenant, service, 1, c.cluster.now())[0]
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// order sends one order up to five times; a repeat may start before the request before it has ended.
func (c *caller) order(k order.Key) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for range 2 + c.draw.IntN(4) {
		patience := time.Duration(200+c.draw.IntN(1500)) * time.Millisecond
		done := make(chan struct{})
		sent.Go(func() {
			defer close(done)
			c.request(k, patience)
		})
		pause := time.Duration(c.draw.IntN(400)) * time.Millisecond
		if c.draw.IntN(3) > 0 {
			<-done
		}
		if c.draw.IntN(5) == 0 {
			pause += time.Duration(c.draw.IntN(4000)) * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// request sends the order through a random entry and records what it was told.
func (c *caller) request(k order.Key, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, n := c.cluster.any()
	if n == nil {
		return
	}
	call := c.cluster.history.tick()
	if r, ok := c.cluster.network.call(ctx, n, k, 0); ok {
		c.cluster.history.told(c.number, k.Text(), n.name, call, r)
	}
}
