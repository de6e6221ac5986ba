package orders

import (
	"math/rand/v2"
	"sync"
	"time"

	"tamarackspool/internal/request/order"
)

// fault is one kind of fault; apply returns how it ends, which may be nil.
type fault struct {
	name  string
	apply func(c *cluster, draw *rand.Rand, length time.Duration) (end func())
}

// faults returns all kinds of faults.
func faults() []fault {
	list := []fault{
		{"kill", killed},
		{"kill", killed},
		{"pause", paused},
		{"stop", stopped},
		{"stop", stopped},
		{"clock", skipped},
		{"store down", storeDown},
		{"store slow", storeSlow},
		{"store answers lost", storeLost},
	}
	weather := map[string][2]func(*conditions){
		"store writes late": {func(s *conditions) { s.lag = 0.3 }, func(s *conditions) { s.lag = 0 }},
		"messages lost":     {func(s *conditions) { s.lose = 0.2 }, func(s *conditions) { s.lose = 0 }},
		"answers cut":       {func(s *conditions) { s.cut = 0.3 }, func(s *conditions) { s.cut = 0 }},
		"messages repeated": {func(s *conditions) { s.repeat = 0.4 }, func(s *conditions) { s.repeat = 0 }},
		"messages slow":     {func(s *conditions) { s.slow = 500 * time.Millisecond }, func(s *conditions) { s.slow = 0 }},
		"target sheds":      {func(s *conditions) { s.shed = 0.6 }, func(s *conditions) { s.shed = calm().shed }},
		"target cut":        {func(s *conditions) { s.broken = 0.5 }, func(s *conditions) { s.broken = 0 }},
		"target slow":       {func(s *conditions) { s.late = 600 * time.Millisecond }, func(s *conditions) { s.late = 0 }},
	}
	for _, name := range []string{
		"store writes late", "messages lost", "answers cut", "messages repeated",
		"messages slow", "target sheds", "target cut", "target slow",
	} {
		list = append(list, fault{name, func(c *cluster, _ *rand.Rand, _ time.Duration) func() {
			c.network.change(weather[name][0])
			return func() { c.network.change(weather[name][1]) }
		}})
	}
	return list
}

func killed(c *cluster, _ *rand.Rand, _ time.Duration) func() {
	i, n := c.any()
	if n == nil || n.leaving.Load() {
		return nil
	}
	c.kill(n)
	return func() { c.start(i) }
}

func stopped(c *cluster, _ *rand.Rand, length time.Duration) func() {
	i, n := c.any()
	if n == nil || !n.leaving.CompareAndSwap(false, true) {
		return nil
	}
	if err := c.stop(n, length); err != nil {
		// A closed table always exports and its export can always be read.
		panic(err)
	}
	return func() { c.start(i) }
}

func paused(c *cluster, _ *rand.Rand, length time.Duration) func() {
	if _, n := c.any(); n != nil {
		n.pause(2 * length)
	}
	return nil
}

// skipped moves the entries' clocks past the end of tickets, of records, or of both.
func skipped(c *cluster, draw *rand.Rand, _ time.Duration) func() {
	step := order.TicketValidity + time.Duration(draw.IntN(300))*time.Second
	c.skipped.Add(int64(step))
	return nil
}

func storeDown(c *cluster, _ *rand.Rand, _ time.Duration) func() {
	c.server.SetDown(true)
	return func() { c.server.SetDown(false) }
}

func storeSlow(c *cluster, draw *rand.Rand, _ time.Duration) func() {
	c.server.SetDelay(time.Duration(draw.IntN(400)) * time.Millisecond)
	return func() { c.server.SetDelay(0) }
}

func storeLost(c *cluster, draw *rand.Rand, _ time.Duration) func() {
	c.server.LoseResponses(1+draw.IntN(4), "claim/")
	return func() { c.server.LoseResponses(0, "") }
}

// disturb applies faults, two at a time, until stop is closed; it returns when all have ended.
func (c *cluster) disturb(seed uint64, stop <-chan struct{}) map[string]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for worker := range uint64(2) {
		draw := rand.New(rand.NewPCG(seed, 100+worker))
		wg.Go(func() {
			kinds := faults()
			for {
				f := kinds[draw.IntN(len(kinds))]
				length := time.Duration(100+draw.IntN(900)) * time.Millisecond
				mu.Lock()
				counts[f.name]++
				mu.Unlock()
				end := f.apply(c, draw, length)
				time.Sleep(length)
				if end != nil {
					end()
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(draw.IntN(300)) * time.Millisecond):
				}
			}
		})
	}
	wg.Wait()
	return counts
}
