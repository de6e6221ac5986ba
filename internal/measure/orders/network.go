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

// conditions are the current probabilities and delays of the faults of the network and the target.
type conditions struct {
	lossRate, cutRate, duplicateRate float64       // probabilities of a lost request, a lost answer and a duplicate request between callers and entries
	extraDelay                       time.Duration // longest extra delay of a message
	shedRate                         float64       // probability that the target rejects a request before it starts
	lostResponseRate                 float64       // probability that a target's response is lost
	targetDelay                      time.Duration // longest extra delay of a request to the target
	lateWriteRate                    float64       // probability that a write to the store gets no response and is applied later
}

// noFaults returns the conditions without a fault; the target still sheds 5% of the requests.
func noFaults() conditions { return conditions{shedRate: 0.05} }

// network simulates message delivery by function calls; it is safe for concurrent use.
type network struct {
	mu      sync.Mutex
	rng     *rand.Rand
	current conditions
	pending sync.WaitGroup // calls that may outlive their sender
}

func newNetwork(seed uint64) *network {
	return &network{rng: rand.New(rand.NewPCG(seed, 2)), current: noFaults()}
}

// change applies f to the current conditions.
func (n *network) change(f func(*conditions)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.current)
}

func (n *network) conditions() conditions {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

func (n *network) happens(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < p
}

// randomDuration returns a random duration from 0 to the limit.
func (n *network) randomDuration(limit time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(limit) + 1))
}

func (n *network) randomIndex(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(limit)
}

// waitTransit waits for the delay of one message.
func (n *network) waitTransit() {
	time.Sleep(n.randomDuration(5*time.Millisecond + n.conditions().extraDelay))
}

// call delivers a request to an entry and returns its answer; false means that none arrived.
// The entry continues to handle the request when the sender's context ends.
func (n *network) call(ctx context.Context, to *node, k order.Key, hops int) (reply, bool) {
	c := n.conditions()
	if to == nil || n.happens(c.lossRate) {
		<-ctx.Done()
		return reply{}, false
	}
	if n.happens(c.duplicateRate) {
		n.pending.Go(func() {
			time.Sleep(n.randomDuration(time.Second))
			duplicateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			defer cancel()
			to.handle(duplicateCtx, k, hops)
		})
	}
	type result struct {
		reply reply
		ok    bool
	}
	out := make(chan result, 1)
	n.pending.Go(func() {
		n.waitTransit()
		r, ok := to.handle(ctx, k, hops)
		n.waitTransit()
		out <- result{r, ok && !n.happens(c.cutRate)}
	})
	select {
	case r := <-out:
		return r.reply, r.ok
	case <-ctx.Done():
		return reply{}, false
	}
}

// target is the fake target; it runs orders and records each run.
type target struct {
	network *network
	history *history
	mu      sync.Mutex
	runs    int
}

// send sends an order to the target and returns the run's id with Ran, or the verdict without a response.
// The order may run after ctx has ended.
func (t *target) send(ctx context.Context, key string) (string, verdict.Verdict) {
	n := t.network
	c := n.conditions()
	if n.happens(c.shedRate) {
		return "", verdict.NotRun
	}
	out := make(chan string, 1)
	n.pending.Go(func() {
		time.Sleep(n.randomDuration(10*time.Millisecond + c.targetDelay))
		if n.happens(c.lostResponseRate / 2) {
			return // The request is lost before the target runs it.
		}
		run := t.run(key)
		if !n.happens(c.lostResponseRate) {
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
	t.history.recordRun(key, run)
	return run
}
