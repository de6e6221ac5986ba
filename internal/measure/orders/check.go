package orders

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

const (
	// ordersPerCluster is the number of orders that are sent to one cluster under faults.
	ordersPerCluster  = 100
	callersPerCluster = 20
)

// CheckSettings holds the size of a check.
type CheckSettings struct {
	Seed     uint64 // Seed fixes the faults and the draws, not the order in which goroutines run.
	Orders   int    // Orders is the number of orders, rounded up to a multiple of 100, the orders of one cluster.
	Entries  int    // Entries is the number of entries of a cluster.
	Parallel int    // Parallel is the number of clusters that run concurrently.
	Hooks    Hooks
}

// Outcome is the result of a check.
type Outcome struct {
	Seed           uint64         `json:"seed"`
	Orders         int            `json:"orders"`
	Runs           int            `json:"runs"`    // runs at the target
	RanAnswers     int            `json:"ran"`     // answers with the verdict ran, including answers to retries
	NotRunAnswers  int            `json:"refused"` // answers with the verdict not-run
	UnknownAnswers int            `json:"unknown"` // answers with the verdict may-have-run
	Faults         map[string]int `json:"faults"`
	Violations     []string       `json:"violations"`
}

// Check runs clusters, each under two faults at a time, and checks the history of each key.
func Check(s CheckSettings) Outcome {
	total := Outcome{Seed: s.Seed, Faults: map[string]int{}}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(max(1, s.Parallel))
	for i := range (s.Orders + ordersPerCluster - 1) / ordersPerCluster {
		group.Go(func() error {
			o := checkCluster(s.Seed+uint64(i), s.Entries, s.Hooks)
			mu.Lock()
			defer mu.Unlock()
			total.Add(o)
			return nil
		})
	}
	_ = group.Wait() // No function returns an error.
	return total
}

func checkCluster(seed uint64, entries int, h Hooks) Outcome {
	c := newCluster(seed, entries, h)
	stop := make(chan struct{})
	var sending, injecting sync.WaitGroup
	o := Outcome{Orders: ordersPerCluster}
	injecting.Go(func() { o.Faults = c.injectFaults(seed, stop) })
	for i := range callersPerCluster {
		caller := &caller{c, i, rand.New(rand.NewPCG(seed, 1000+uint64(i)))}
		sending.Go(func() { caller.sendOrders(ordersPerCluster / callersPerCluster) })
	}
	sending.Wait()
	close(stop)
	injecting.Wait()
	c.network.pending.Wait()
	c.server.Close()
	c.history.countInto(&o)
	for _, v := range c.history.findViolations() {
		o.Violations = append(o.Violations, fmt.Sprintf("cluster seed %d: %s", seed, v))
	}
	return o
}

// Add adds the counts and the violations of another outcome.
func (o *Outcome) Add(other Outcome) {
	o.Orders += other.Orders
	o.Runs += other.Runs
	o.RanAnswers += other.RanAnswers
	o.NotRunAnswers += other.NotRunAnswers
	o.UnknownAnswers += other.UnknownAnswers
	o.Violations = append(o.Violations, other.Violations...)
	for name, n := range other.Faults {
		o.Faults[name] += n
	}
}

// Write prints the counts and every violation.
func (o Outcome) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "seed %d: %d orders, %d runs, answers: %d ran, %d not-run, %d may-have-run\n",
		o.Seed, o.Orders, o.Runs, o.RanAnswers, o.NotRunAnswers, o.UnknownAnswers)
	for _, name := range slices.Sorted(maps.Keys(o.Faults)) {
		fmt.Fprintf(out, "  %d x %s\n", o.Faults[name], name)
	}
	for _, v := range o.Violations {
		fmt.Fprintln(out, v)
	}
	fmt.Fprintf(out, "%d violations\n", len(o.Violations))
	return err
}
