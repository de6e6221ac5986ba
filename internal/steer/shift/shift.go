package shift

import (
	"math"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/table"
)

// CountStep is the time that one count covers; package core advances the counts by it.
const CountStep = 100 * time.Millisecond

// Parameters of the cap.
const (
	windowSteps    = 10                     // steps in which requests are counted against the allowance
	baselineTime   = 500 * time.Millisecond // time constant of the baseline
	growthFraction = 0.8                    // fraction of the share used for growth
	burstFactor    = 1.5                    // largest number of requests in one step, as a multiple of the mean
	maxReturnTime  = time.Minute            // longest time for which the cap applies to a region that has returned
)

// Update sets how many requests of each service and home region this entry may
// serve in the next tick.
//
// The requests in any second never exceed the allowance. The allowance is a
// fixed linear mean of the counts that ended at least a second ago, plus this
// entry's share of the cap. Because the mean is linear, the sum over all entries
// follows the same rule with the sum of their counts.
func Update(now time.Time, t *table.Tables) {
	for i := range t.Shifts {
		update(now, t, &t.Shifts[i])
	}
}

func update(now time.Time, t *table.Tables, r *table.Shift) {
	recent, old := sum(r, 0), sum(r, windowSteps)
	smoothing := min(1, float64(t.Elapsed)/float64(baselineTime))
	if r.Home == t.Region && !returnedRecently(now, t) {
		r.Baseline = max(float64(old), r.Baseline*(1-smoothing/20))
	} else {
		r.Baseline += smoothing * (float64(old) - r.Baseline)
	}
	r.Allowance = min(r.Allowance+float64(r.Share)*t.Elapsed.Seconds(), r.Baseline+growth(r.Share))
	r.Uncapped = r.Home == t.Region && !trafficReturning(now, t, r)
	r.Remaining = max(0, int(math.Floor(r.Allowance+1e-9))-recent)
	// Spreading the requests evenly keeps a second that starts within a step close to the counted seconds.
	r.Remaining = min(r.Remaining, max(1, int(math.Ceil(burstFactor*r.Allowance/windowSteps))))
	if t.Closed || t.SharesSuspended {
		r.Remaining = 0
	}
	if r.Refused > 0 && now.Sub(r.LastEvent) > 10*time.Second {
		r.LastEvent = now
		t.Emit(event.ShiftCapped, "service", r.ServiceName, "home", r.Home, "region", t.Region, "allow", r.Allowance, "refused", r.Refused)
	}
}

// growth is the part of the share by which a second may exceed the baseline.
// The rest of the share covers entries whose steps do not start at the same time.
func growth(share int) float64 { return max(min(1, float64(share)), growthFraction*float64(share)) }

// trafficReturning reports whether the region's own traffic is returning from other
// regions, which is a shift to which the cap applies, too.
func trafficReturning(now time.Time, t *table.Tables, r *table.Shift) bool {
	return returnedRecently(now, t) || t.Services[r.Service].SpillRate > 1 && now.Sub(t.Services[r.Service].ReturnedAt) < maxReturnTime
}

// returnedRecently reports whether this entry started recently as the only live one of its region.
func returnedRecently(now time.Time, t *table.Tables) bool {
	return t.Returned && now.Sub(t.StartedAt) < maxReturnTime
}

// AddServed adds the requests that were served in the last tick to the current step and advances by the given number of steps.
func AddServed(r *table.Shift, served, steps int) {
	r.Counts[r.Next] += served
	for range min(steps, len(r.Counts)) {
		r.Next = (r.Next + 1) % len(r.Counts)
		r.Counts[r.Next] = 0
	}
}

// ServedRate returns the requests served in the last complete second.
func ServedRate(r *table.Shift) int { return sum(r, 1) }

// sum returns the requests of the window that ends back steps before the current one.
func sum(r *table.Shift, back int) int {
	n := 0
	for k := range windowSteps {
		n += r.Counts[(r.Next+2*len(r.Counts)-back-k)%len(r.Counts)]
	}
	return n
}
