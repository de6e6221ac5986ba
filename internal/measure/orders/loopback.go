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
	buyers = 24
	// strikes is how many faults each of the two sources of faults applies.
	strikes = 4
	// startup bounds the wait until the entries serve; it only ends a hopeless check.
	startup = 30 * time.Second
)

var errNeverServed = errors.New("orders: the entries did not serve an order")

// CheckLoopback runs real entries on loopback under faults, two at a time, and
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
	h, began := newHistory(), time.Now()
	if err := s.warm(ctx, seed); err != nil {
		return o, err
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	for i := range buyers {
		b := &buyer{s, i, rand.New(rand.NewPCG(seed, 1000+uint64(i))), h, began}
		sending.Go(func() {
			n := b.run(ctx, stop)
			mu.Lock()
			defer mu.Unlock()
			o.Orders += n
		})
	}
	err = s.disturb(ctx, seed, o.Faults)
	close(stop)
	sending.Wait()
	s.close()
	s.runs(h, began)
	h.count(&o)
	for _, v := range h.violations() {
		o.Violations = append(o.Violations, fmt.Sprintf("site seed %d: %s", seed, v))
	}
	return o, err
}

// warm waits until an order with a ticket runs at each entry.
func (s *site) warm(ctx context.Context, seed uint64) error {
	b := &buyer{site: s, number: -1, draw: rand.New(rand.NewPCG(seed, 999)), history: newHistory(), began: time.Now()}
	served := map[string]bool{}
	for len(served) < len(places) {
		if time.Since(b.began) > startup {
			return errNeverServed
		}
		if key := b.ticket(ctx); key != "" {
			if header, _, by, ok := b.post(ctx, "/run/"+service+"/x", key); ok && header.Get("Verdict") == "ran" {
				served[by] = true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// runs records what the targets ran.
func (s *site) runs(h *history, began time.Time) {
	for i, t := range s.targets {
		for _, r := range t.Runs() {
			h.happened(r.Key, "target-"+places[i].Name, int64(r.At.Sub(began)))
		}
	}
}

// strike is one kind of fault of a site; it ends what it has begun.
type strike struct {
	name  string
	apply func(ctx context.Context, s *site, draw *rand.Rand, length time.Duration) error
}

func strikesOf() []strike {
	return []strike{
		{"kill", killProcess},
		{"stop", stopProcess},
		{"replaced while the store is down", func(ctx context.Context, s *site, draw *rand.Rand, length time.Duration) error {
			s.server.SetDown(true)
			defer s.server.SetDown(false)
			return killProcess(ctx, s, draw, length)
		}},
		{"replaced without store and peers", isolateProcess},
		{"silent connections", func(_ context.Context, s *site, draw *rand.Rand, length time.Duration) error {
			s.network.Silence(places[draw.IntN(len(places))].Zone, places[draw.IntN(len(places))].Zone)
			time.Sleep(length)
			return nil
		}},
		{"store answers lost", func(_ context.Context, s *site, draw *rand.Rand, length time.Duration) error {
			s.server.LoseResponses(1+draw.IntN(4), "claim/")
			time.Sleep(length)
			return nil
		}},
		{"target cut", ofTarget(standtarget.Faults{TruncateResponses: true})},
		{"target late", ofTarget(standtarget.Faults{ResponseDelay: 1200 * time.Millisecond})},
		{"target sheds", ofTarget(standtarget.Faults{Shedding: true})},
	}
}

func ofTarget(f standtarget.Faults) func(context.Context, *site, *rand.Rand, time.Duration) error {
	return func(_ context.Context, s *site, draw *rand.Rand, length time.Duration) error {
		t := s.targets[draw.IntN(len(s.targets))]
		t.SetFaults(f)
		time.Sleep(length)
		t.SetFaults(standtarget.Faults{})
		return nil
	}
}

func killProcess(ctx context.Context, s *site, draw *rand.Rand, length time.Duration) error {
	i := draw.IntN(len(places))
	p := s.take(i)
	if p == nil {
		return nil
	}
	p.kill()
	time.Sleep(length / 2)
	err := s.start(ctx, i)
	time.Sleep(length / 2)
	return err
}

// isolateProcess replaces an entry while neither the store nor a peer can be
// reached: it has no configuration, but callers reach it.
func isolateProcess(ctx context.Context, s *site, draw *rand.Rand, length time.Duration) error {
	i := draw.IntN(len(places))
	p := s.take(i)
	if p == nil {
		return nil
	}
	s.server.SetDown(true)
	for j := range places {
		if j != i {
			s.network.Cut(places[i].Name, places[j].Name)
		}
	}
	p.kill()
	err := s.start(ctx, i)
	time.Sleep(length)
	s.server.SetDown(false)
	for j := range places {
		if j != i {
			s.network.Heal(places[i].Name, places[j].Name)
		}
	}
	return err
}

// stopProcess is a planned stop; callers use the entry while it leaves.
func stopProcess(ctx context.Context, s *site, draw *rand.Rand, length time.Duration) error {
	i := draw.IntN(len(places))
	p := s.at(i)
	if p == nil {
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	p.Drain(limit)
	if !s.remove(i, p) {
		return nil // The other source of faults has replaced it.
	}
	p.kill()
	time.Sleep(length / 2)
	return s.start(ctx, i)
}

// disturb applies faults from two sources at a time.
func (s *site) disturb(ctx context.Context, seed uint64, counts map[string]int) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	errs := make([]error, 2)
	for source := range errs {
		draw := rand.New(rand.NewPCG(seed, 100+uint64(source)))
		kinds := strikesOf()
		wg.Go(func() {
			for range strikes {
				k := kinds[draw.IntN(len(kinds))]
				mu.Lock()
				counts[k.name]++
				mu.Unlock()
				if errs[source] = k.apply(ctx, s, draw, time.Duration(800+draw.IntN(1000))*time.Millisecond); errs[source] != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
