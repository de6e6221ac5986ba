package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/verdict"
)

const (
	// orderTimeout is the time limit of one request for an order.
	orderTimeout = 5 * time.Second
	// maxAddedMicros is the largest added time that the histogram holds, in microseconds.
	maxAddedMicros = 10_000_000
)

// phaseCounts collects verdicts and added times of the orders of a phase; it is safe for concurrent use.
type phaseCounts struct {
	mu        sync.Mutex
	addedTime *hdrhistogram.Histogram
	verdicts  map[verdict.Verdict]int
}

func newPhaseCounts() *phaseCounts {
	return &phaseCounts{addedTime: hdrhistogram.New(1, maxAddedMicros, 3), verdicts: map[verdict.Verdict]int{}}
}

func (t *phaseCounts) add(v verdict.Verdict, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdicts[v]++
	if v == verdict.Ran {
		_ = t.addedTime.RecordValue(max(1, min(maxAddedMicros, took.Microseconds()))) // The value is clamped to the range.
	}
}

// offerLoad starts orders at a fixed rate for the given time, waits for all of them and returns their verdicts and added times.
func (g *group) offerLoad(rate int, length time.Duration, rng *rand.Rand, send func(first *groupEntry, key string) verdict.Verdict) *phaseCounts {
	t := newPhaseCounts()
	var wg sync.WaitGroup
	start := time.Now()
	n := int(float64(rate) * length.Seconds())
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		first, key := g.nextOrder(rng)
		wg.Go(func() {
			g.waitForTicket()
			begin := time.Now()
			t.add(send(first, key), time.Since(begin))
		})
	}
	wg.Wait()
	return t
}

// nextOrder returns the key of a new order and the entry that its caller uses.
func (g *group) nextOrder(rng *rand.Rand) (*groupEntry, string) {
	p := g.pickEntry(rng, false)
	switch g.method {
	case methodPerOrder, methodBatched:
		return p, fmt.Sprintf("order-%016x", rng.Uint64())
	case methodAnyEntry:
		return p, g.pickEntry(rng, true).issuer.Issue(tenant, service, 1, time.Now())[0]
	default:
		p = g.pickEntry(rng, true)
		return p, p.issuer.Issue(tenant, service, 1, time.Now())[0]
	}
}

// pickEntry returns a random entry that is not reported dead; if running is set, one that was not killed either.
func (g *group) pickEntry(rng *rand.Rand, running bool) *groupEntry {
	for {
		p := g.entries[rng.IntN(len(g.entries))]
		if !p.reportedDead.Load() && !(running && p.killed.Load()) {
			return p
		}
	}
}

// waitForTicket waits for the round trip of a ticket between entry and caller and for the time that the caller holds it.
func (g *group) waitForTicket() {
	if g.method == methodTicket || g.method == methodAnyEntry {
		time.Sleep(2*callerDelay + g.ticketHold)
	}
}

// sendOnce sends an order once through one entry.
func (g *group) sendOnce(first *groupEntry, key string) verdict.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return g.handle(ctx, first, order.NewKey(tenant, service, key), 0)
}

// sendUntilRan retries an order every 500 ms through other entries until it has run, at most 19 times (about 10 s).
func (g *group) sendUntilRan(first *groupEntry, key string) verdict.Verdict {
	v := g.sendOnce(first, key)
	for i := 1; v != verdict.Ran && i < 20; i++ {
		time.Sleep(500 * time.Millisecond)
		next := g.entries[(first.index+i)%len(g.entries)]
		if next.killed.Load() {
			continue
		}
		v = g.sendOnce(next, key)
	}
	return v
}

// handle handles an order at an entry; a run takes no time.
func (g *group) handle(ctx context.Context, p *groupEntry, k order.Key, hops int) verdict.Verdict {
	if p.killed.Load() || hops > 3 {
		return verdict.MayHaveRun
	}
	d, err := p.registry.Decide(ctx, k, 1, time.Now())
	switch {
	case p.killed.Load():
		return verdict.MayHaveRun // The process ended before it could dispatch or answer.
	case err != nil:
		return verdict.Of(err)
	case d.RelayEntry() != "":
		next := g.byName[d.RelayEntry()]
		time.Sleep(entryDelay(p.index, next.index))
		v := g.handle(ctx, next, k, hops+1)
		time.Sleep(entryDelay(p.index, next.index))
		return v
	case d.Permit() != nil:
		d.Permit().Finish(order.NewAnswer(200, nil, []byte("done")), time.Now())
	}
	return verdict.Ran
}
