package orders

import (
	"math/rand/v2"
	"sync"
	"time"

	"tamarackspool/internal/request/order"
)

// fault is one kind of fault; start returns the function that ends it, which may be nil.
type fault struct {
	name  string
	start func(c *cluster, rng *rand.Rand, length time.Duration) (end func())
}

// faults returns all kinds of faults.
func faults() []fault {
	list := []fault{
		{"kill", killNode},
		{"kill", killNode},
		{"pause", pauseNode},
		{"stop", stopNode},
		{"stop", stopNode},
		{"clock", skipClock},
		{"store down", takeStoreDown},
		{"store slow", slowStore},
		{"store answers lost", loseStoreResponses},
	}
	conditionFaults := map[string][2]func(*conditions){
		"store writes late": {func(s *conditions) { s.lateWriteRate = 0.3 }, func(s *conditions) { s.lateWriteRate = 0 }},
		"messages lost":     {func(s *conditions) { s.lossRate = 0.2 }, func(s *conditions) { s.lossRate = 0 }},
		"answers cut":       {func(s *conditions) { s.cutRate = 0.3 }, func(s *conditions) { s.cutRate = 0 }},
		"messages repeated": {func(s *conditions) { s.duplicateRate = 0.4 }, func(s *conditions) { s.duplicateRate = 0 }},
		"messages slow":     {func(s *conditions) { s.extraDelay = 500 * time.Millisecond }, func(s *conditions) { s.extraDelay = 0 }},
		"target sheds":      {func(s *conditions) { s.shedRate = 0.6 }, func(s *conditions) { s.shedRate = noFaults().shedRate }},
		"target cut":        {func(s *conditions) { s.lostResponseRate = 0.5 }, func(s *conditions) { s.lostResponseRate = 0 }},
		"target slow":       {func(s *conditions) { s.targetDelay = 600 * time.Millisecond }, func(s *conditions) { s.targetDelay = 0 }},
	}
	for _, name := range []string{
		"store writes late", "messages lost", "answers cut", "messages repeated",
		"messages slow", "target sheds", "target cut", "target slow",
	} {
		list = append(list, fault{name, func(c *cluster, _ *rand.Rand, _ time.Duration) func() {
			c.network.change(conditionFaults[name][0])
			return func() { c.network.change(conditionFaults[name][1]) }
		}})
	}
	return list
}

func killNode(c *cluster, _ *rand.Rand, _ time.Duration) func() {
	i, n := c.randomEntry()
	if n == nil || n.leaving.Load() {
		return nil
	}
	c.kill(n)
	return func() { c.startNode(i) }
}

func stopNode(c *cluster, _ *rand.Rand, length time.Duration) func() {
	i, n := c.randomEntry()
	if n == nil || !n.leaving.CompareAndSwap(false, true) {
		return nil
	}
	if err := c.drainAndStop(n, length); err != nil {
		// A closed table can always be exported, and its export can always be decoded.
		panic(err)
	}
	return func() { c.startNode(i) }
}

func pauseNode(c *cluster, _ *rand.Rand, length time.Duration) func() {
	if _, n := c.randomEntry(); n != nil {
		n.pause(2 * length)
	}
	return nil
}

// skipClock advances the entries' clocks past the expiry of tickets, of records, or of both.
func skipClock(c *cluster, rng *rand.Rand, _ time.Duration) func() {
	step := order.TicketValidity + time.Duration(rng.IntN(300))*time.Second
	c.clockSkip.Add(int64(step))
	return nil
}

func takeStoreDown(c *cluster, _ *rand.Rand, _ time.Duration) func() {
	c.server.SetDown(true)
	return func() { c.server.SetDown(false) }
}

func slowStore(c *cluster, rng *rand.Rand, _ time.Duration) func() {
	c.server.SetDelay(time.Duration(rng.IntN(400)) * time.Millisecond)
	return func() { c.server.SetDelay(0) }
}

func loseStoreResponses(c *cluster, rng *rand.Rand, _ time.Duration) func() {
	c.server.LoseResponses(1+rng.IntN(4), "claim/")
	return func() { c.server.LoseResponses(0, "") }
}

// injectFaults applies faults, two at a time, until stop is closed; it returns the number of each kind when all have ended.
func (c *cluster) injectFaults(seed uint64, stop <-chan struct{}) map[string]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for worker := range uint64(2) {
		rng := rand.New(rand.NewPCG(seed, 100+worker))
		wg.Go(func() {
			kinds := faults()
			for {
				f := kinds[rng.IntN(len(kinds))]
				length := time.Duration(100+rng.IntN(900)) * time.Millisecond
				mu.Lock()
				counts[f.name]++
				mu.Unlock()
				end := f.start(c, rng, length)
				time.Sleep(length)
				if end != nil {
					end()
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
				}
			}
		})
	}
	wg.Wait()
	return counts
}
