package policy

import (
	"slices"
	"time"
)

// sampled is how many choices lie between two that are timed.
const sampled = 64

// timings hold real durations of the product's decisions.
type timings struct {
	calls   int
	choices []time.Duration
	ticks   []time.Duration
}

func (t *timings) choose(do func()) {
	t.calls++
	if t.calls%sampled != 0 {
		do()
		return
	}
	began := time.Now()
	do()
	t.choices = append(t.choices, time.Since(began))
}

func (t *timings) tick(d time.Duration) { t.ticks = append(t.ticks, d) }

func median(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
