package policy

import (
	"slices"
	"time"
)

// sampleInterval is the number of choices per timed choice.
const sampleInterval = 64

// timings holds real (not simulated) durations of the product's decisions.
type timings struct {
	calls   int
	choices []time.Duration
	ticks   []time.Duration
}

func (t *timings) timeChoice(do func()) {
	t.calls++
	if t.calls%sampleInterval != 0 {
		do()
		return
	}
	start := time.Now()
	do()
	t.choices = append(t.choices, time.Since(start))
}

func (t *timings) recordTick(d time.Duration) { t.ticks = append(t.ticks, d) }

func median(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
