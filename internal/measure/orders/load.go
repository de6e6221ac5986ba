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
	// patience is the deadline of an order.
	patience = 5 * time.Second
	// highest is the largest added time that the histogram holds, in microseconds.
	highest = 10_000_000
)

// tally counts the orders of a phase; it is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	added   *hdrhistogram.Histogram
	verdict map[verdict.Verdict]int
}

func newTally() *tally {
	return &tally{added: hdrhistogram.New(1, highest, 3), verdict: map[verdict.Verdict]int{}}
}

func (t *tally) add(v verdict.Verdict, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdict[v]++
	if v == verdict.Ran {
		_ = t.added.RecordValue(max(1, min(highest, took.Microseconds()))) // The value is clamped to the range.
	}
}

// offer starts orders at a fixed rate for a time, waits for all of them and returns what they came to.
func (g *group) offer(rate int, length time.Duration, draw *rand.Rand, one func(first *party, key string) verdict.Verdict) *tally {
	t := newTally()
	var wg sync.WaitGroup
	start := time.Now()
	n := int(float64(rate) * length.Seconds())
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		first, key := g.next(draw)
		wg.Go(func() {
			g.fetched()
			begin := time.Now()
			t.add(one(first, key), time.Since(begin))
		})
	}
	wg.Wait()
	return t
}

// next returns a new key and the entry that its caller uses.
func (g *group) next(draw *rand.Rand) (*party, string) {
	p := g.pick(draw, false)
	switch g.way {
	case wayPerOrder, wayBatched:
		return p, fmt.Sprintf("order-%016x", draw.Uint64())
	case wayRepeat:
		return p, g.pick(draw, true).issuer.Issue(tenant, service, 1, time.Now())[0]
	default:
		p = g.pick(draw, true)
		return p, p.issuer.Issue(tenant, service, 1, time.Now())[0]
	}
}

// pick returns a random entry that counts as alive; with answers, one that is alive.
func (g *group) pick(draw *rand.Rand, answers bool) *party {
	for {
		p := g.parties[draw.IntN(len(g.parties))]
		if !p.lost.Load() && !(answers && p.dead.Load()) {
			return p
		}
	}
}

// fetched waits while a ticket travels to the caller, is held there and comes back with the order.
func (g *group) fetched() {
	if g.way == wayTicket || g.way == wayRepeat {
		time.Sleep(2*callerDelay + g.held)
	}
}

// once runs an order through one entry.
func (g *group) once(first *party, key string) verdict.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return g.handle(ctx, first, order.NewKey(tenant, service, key), 0)
}

// insist repeats an order every 500 ms through other entries until its outcome is final or 10 s have passed.
func (g *group) insist(first *party, key string) verdict.Verdict {
	v := g.once(first, key)
	for i := 1; v != verdict.Ran && i < 20; i++ {
		time.Sleep(500 * time.Millisecond)
		next := g.parties[(first.index+i)%len(g.parties)]
		if next.dead.Load() {
			continue
		}
		v = g.once(next, key)
	}
	return v
}

// handle is what an entry does with an order; a run is instant.
func (g *group) handle(ctx context.Context, p *party, k order.Key, hops int) verdict.Verdict {
	if p.dead.Load() || hops > 3 {
		return verdict.MayHaveRun
	}
	place, err := p.registry.Decide(ctx, k, 1, time.Now())
	switch {
	case p.dead.Load():
		return verdict.MayHaveRun // The process ended before it could dispatch or answer.
	case err != nil:
		return verdict.Of(err)
	case place.RelayEntry() != "":
		next := g.byName[place.RelayEntry()]
		time.Sleep(delay(p.index, next.index))
		v := g.handle(ctx, next, k, hops+1)
		time.Sleep(delay(p.index, next.index))
		return v
	case place.Permit() != nil:
		place.Permit().Finish(order.NewAnswer(200, nil, []byte("done")), time.Now())
	}
	return verdict.Ran
}
