package orders

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	standtarget "tamarackspool/internal/standin/target"
)

const (
	siteCallers = 24
	// faultsPerSource is the number of faults that each of the two concurrent sources applies.
	faultsPerSource = 4
	// startupTimeout bounds the wait until the entries serve; only a failed start reaches it.
	startupTimeout = 30 * time.Second
)

var errStartupTimeout = errors.New("orders: the entries did not serve an order")

// CheckLoopback runs real entries on loopback, with two faults at a time, and
// checks the history of each key. It takes about 10 s.
func CheckLoopback(ctx context.Context, seed uint64) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newSite(ctx, cancel)
	if err != nil {
		return Outcome{}, err
	}
	defer s.close()
	o := Outcome{Seed: seed, Faults: map[string]int{}}
	h, start := newHistory(), time.Now()
	if err := s.waitUntilServing(ctx, seed); err != nil {
		return o, err
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	for i := range siteCallers {
		c := &siteCaller{s, i, rand.New(rand.NewPCG(seed, 1000+uint64(i))), h, start}
		sending.Go(func() {
			n := c.sendOrders(ctx, stop)
			mu.Lock()
			defer mu.Unlock()
			o.Orders += n
		})
	}
	err = s.injectFaults(ctx, seed, o.Faults)
	close(stop)
	sending.Wait()
	s.close()
	s.recordRuns(h, start)
	h.countInto(&o)
	for _, v := range h.findViolations() {
		o.Violations = append(o.Violations, fmt.Sprintf("site seed %d: %s", seed, v))
	}
	return o, err
}

// waitUntilServing waits until each entry has run an order with a ticket.
func (s *site) waitUntilServing(ctx context.Context, seed uint64) error {
	c := &siteCaller{site: s, number: -1, rng: rand.New(rand.NewPCG(seed, 999)), history: newHistory(), startedAt: time.Now()}
	served := map[string]bool{}
	for len(served) < len(sitePlaces) {
		if time.Since(c.startedAt) > startupTimeout {
			return errStartupTimeout
		}
		if key := c.newTicket(ctx); key != "" {
			if header, _, by, ok := c.post(ctx, "/run/"+service+"/x", key); ok && header.Get("Verdict") == "ran" {
				served[by] = true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// recordRuns adds the targets' runs to the history.
func (s *site) recordRuns(h *history, start time.Time) {
	for i, t := range s.targets {
		for _, r := range t.Runs() {
			h.recordRunAt(r.Key, "target-"+sitePlaces[i].Name, int64(r.At.Sub(start)))
		}
	}
}

// siteFault is one kind of fault of a site; apply starts it, waits and ends it.
type siteFault struct {
	name  string
	apply func(ctx context.Context, s *site, rng *rand.Rand, length time.Duration) error
}

func siteFaults() []siteFault {
	return []siteFault{
		{"kill", killProcess},
		{"stop", stopProcess},
		{"replaced while the store is down", func(ctx context.Context, s *site, rng *rand.Rand, length time.Duration) error {
			s.server.SetDown(true)
			defer s.server.SetDown(false)
			return killProcess(ctx, s, rng, length)
		}},
		{"replaced without store and peers", isolateProcess},
		{"silent connections", func(_ context.Context, s *site, rng *rand.Rand, length time.Duration) error {
			s.network.Silence(sitePlaces[rng.IntN(len(sitePlaces))].Zone, sitePlaces[rng.IntN(len(sitePlaces))].Zone)
			time.Sleep(length)
			return nil
		}},
		{"store answers lost", func(_ context.Context, s *site, rng *rand.Rand, length time.Duration) error {
			s.server.LoseResponses(1+rng.IntN(4), "claim/")
			time.Sleep(length)
			return nil
		}},
		{"target cut", targetFault(standtarget.Faults{TruncateResponses: true})},
		{"target late", targetFault(standtarget.Faults{ResponseDelay: 1200 * time.Millisecond})},
		{"target sheds", targetFault(standtarget.Faults{Shedding: true})},
	}
}

func targetFault(f standtarget.Faults) func(context.Context, *site, *rand.Rand, time.Duration) error {
	return func(_ context.Context, s *site, rng *rand.Rand, length time.Duration) error {
		t := s.targets[rng.IntN(len(s.targets))]
		t.SetFaults(f)
		time.Sleep(length)
		t.SetFaults(standtarget.Faults{})
		return nil
	}
}

func killProcess(ctx context.Context, s *site, rng *rand.Rand, length time.Duration) error {
	i := rng.IntN(len(sitePlaces))
	p := s.takeProcess(i)
	if p == nil {
		return nil
	}
	p.kill()
	time.Sleep(length / 2)
	err := s.startEntry(ctx, i)
	time.Sleep(length / 2)
	return err
}

// isolateProcess replaces an entry while it can reach neither the store nor a peer:
// the new process has no configuration, but callers reach it.
func isolateProcess(ctx context.Context, s *site, rng *rand.Rand, length time.Duration) error {
	i := rng.IntN(len(sitePlaces))
	p := s.takeProcess(i)
	if p == nil {
		return nil
	}
	s.server.SetDown(true)
	for j := range sitePlaces {
		if j != i {
			s.network.Cut(sitePlaces[i].Name, sitePlaces[j].Name)
		}
	}
	p.kill()
	err := s.startEntry(ctx, i)
	time.Sleep(length)
	s.server.SetDown(false)
	for j := range sitePlaces {
		if j != i {
			s.network.Heal(sitePlaces[i].Name, sitePlaces[j].Name)
		}
	}
	return err
}

// stopProcess drains and stops an entry; callers use it while it drains.
func stopProcess(ctx context.Context, s *site, rng *rand.Rand, length time.Duration) error {
	i := rng.IntN(len(sitePlaces))
	p := s.process(i)
	if p == nil {
		return nil
	}
	drainCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	p.Drain(drainCtx)
	if !s.removeProcess(i, p) {
		return nil // The other source of faults has already replaced the process.
	}
	p.kill()
	time.Sleep(length / 2)
	return s.startEntry(ctx, i)
}

// injectFaults applies faults from two concurrent sources and counts each kind.
func (s *site) injectFaults(ctx context.Context, seed uint64, counts map[string]int) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	errs := make([]error, 2)
	for source := range errs {
		rng := rand.New(rand.NewPCG(seed, 100+uint64(source)))
		kinds := siteFaults()
		wg.Go(func() {
			for range faultsPerSource {
				k := kinds[rng.IntN(len(kinds))]
				mu.Lock()
				counts[k.name]++
				mu.Unlock()
				if errs[source] = k.apply(ctx, s, rng, time.Duration(800+rng.IntN(1000))*time.Millisecond); errs[source] != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
