package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackspool/internal/request/order"
)

// caller sends orders one after the other and retries each through random entries.
type caller struct {
	cluster *cluster
	number  int
	rng     *rand.Rand
}

// sendOrders sends the given number of orders.
func (c *caller) sendOrders(orders int) {
	for i := range orders {
		key := fmt.Sprintf("order-%d-%d", c.number, i)
		if c.rng.IntN(2) == 0 {
			key = c.newTicket()
		}
		c.sendOrder(order.NewKey(tenant, service, key))
	}
}

// newTicket returns a new ticket from a random running entry.
func (c *caller) newTicket() string {
	for {
		if _, n := c.cluster.randomEntry(); n != nil && n.yieldStep() {
			return n.issuer.Issue(tenant, service, 1, c.cluster.now())[0]
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendOrder sends one order two to five times; a retry may start before the previous request has ended.
func (c *caller) sendOrder(k order.Key) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for range 2 + c.rng.IntN(4) {
		timeout := time.Duration(200+c.rng.IntN(1500)) * time.Millisecond
		done := make(chan struct{})
		sent.Go(func() {
			defer close(done)
			c.sendRequest(k, timeout)
		})
		pause := time.Duration(c.rng.IntN(400)) * time.Millisecond
		if c.rng.IntN(3) > 0 {
			<-done
		}
		if c.rng.IntN(5) == 0 {
			pause += time.Duration(c.rng.IntN(4000)) * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// sendRequest sends the order through a random entry and records the answer.
func (c *caller) sendRequest(k order.Key, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, n := c.cluster.randomEntry()
	if n == nil {
		return
	}
	call := c.cluster.history.nextTime()
	if r, ok := c.cluster.network.call(ctx, n, k, 0); ok {
		c.cluster.history.recordAnswer(c.number, k.Text(), n.name, call, r)
	}
}
