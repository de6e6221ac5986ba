package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/verdict"
)

// conditions are the present chances of each fault of the network and the target.
type conditions struct {
	lose, cut, repeat float64       // of a message between callers and entries
	slow              time.Duration // the longest extra delay of a message
	shed              float64       // of a request that the target refuses before it starts
	broken            float64       // of a target's answer that does not arrive
	late              time.Duration // the longest extra delay on the way to the target
	lag               float64       // of a write to the store whose answer is lost and that is applied later
}

// calm are the conditions without a fault.
func calm() conditions { return conditions{shed: 0.05} }

// network carries messages as function calls; it is safe for concurrent use.
type network struct {
	mu    sync.Mutex
	draw  *rand.Rand
	state conditions
	calls sync.WaitGroup // calls that may outlive their sender
}

func newNetwork(seed uint64) *network {
	return &network{draw: rand.New(rand.NewPCG(seed, 2)), state: calm()}
}

// change applies a change to the conditions.
func (n *network) change(f func(*conditions)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.state)
}

func (n *network) conditions() conditions {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func (n *network) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draw.Float64() < p
}

// upTo returns a random duration below the limit.
func (n *network) upTo(limit time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.draw.Int64N(int64(limit) + 1))
}

func (n *network) below(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draw.IntN(limit)
}

// travel waits while a message is on its way.
func (n *network) travel() { time.Sleep(n.upTo(5*time.Millisecond + n.conditions().slow)) }

// call delivers a request to an entry and returns its answer; false means that none arrived.
// The request goes on at the entry when the sender's context ends.
func (n *network) call(ctx context.Context, to *node, k order.Key, hops int) (reply, bool) {
	c := n.conditions()
	if to == nil || n.chance(c.lose) {
		<-ctx.Done()
		return reply{}, false
	}
	if n.chance(c.repeat) {
		n.calls.Go(func() {
			time.Sleep(n.upTo(time.Second))
			again, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			defer cancel()
			to.handle(again, k, hops)
		})
	}
	type result struct {
		reply reply
		ok    bool
	}
	out := make(chan result, 1)
	n.calls.Go(func() {
		n.travel()
		r, ok := to.handle(ctx, k, hops)
		n.travel()
		out <- result{r, ok && !n.chance(c.cut)}
	})
	select {
	case r := <-out:
		return r.reply, r.ok
	case <-ctx.Done():
		return reply{}, false
	}
}

// target runs orders and records each run.
type target struct {
	network *network
	history *history
	mu      sync.Mutex
	runs    int
}

// send delivers an order to the target and returns the run's id with Ran, or what is known without an answer.
// The order may run after the context has ended.
func (t *target) send(ctx context.Context, key string) (string, verdict.Verdict) {
	n := t.network
	c := n.conditions()
	if n.chance(c.shed) {
		return "", verdict.NotRun
	}
	out := make(chan string, 1)
	n.calls.Go(func() {
		time.Sleep(n.upTo(10*time.Millisecond + c.late))
		if n.chance(c.broken / 2) {
			return // The request is lost before the target runs it.
		}
		run := t.run(key)
		if !n.chance(c.broken) {
			out <- run
		}
	})
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	select {
	case run := <-out:
		return run, verdict.Ran
	case <-ctx.Done():
		return "", verdict.MayHaveRun
	}
}

func (t *target) run(key string) string {
	t.mu.Lock()
	t.runs++
	run := fmt.Sprintf("run-%d", t.runs)
	t.mu.Unlock()
	t.history.ran(key, run)
	return run
}
