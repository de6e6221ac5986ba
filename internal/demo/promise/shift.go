package promise

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shiftStep is the resolution at which request rates are computed.
	shiftStep = 100 * time.Millisecond
	// shiftLookback is how far back the reference rate is looked up: traffic that
	// pauses briefly and resumes has not shifted.
	shiftLookback = 5 * time.Second
	// shiftTolerance and shiftToleranceRequests allow for requests that were
	// admitted in one window and reached the target in the next, as a fraction of
	// the rate and as a number of requests.
	shiftTolerance, shiftToleranceRequests = 0.1, 4
)

// route is a service with the caller's home region and the region that served the request.
type route struct{ service, home, serving string }

// CheckShift finds routes between regions whose request rate grew faster than
// the service's cap. It compares the requests of each one-second window with the
// highest rate of the windows that ended at least one second and at most
// shiftLookback earlier. homes maps request IDs to the callers' regions, caps maps
// services to requests/s per second.
func (c *Checker) CheckShift(homes map[string]string, caps map[string]float64) {
	times := make(map[route][]time.Time)
	for _, x := range c.runs {
		if home, ok := homes[x.ID]; ok && home != x.Region {
			r := route{x.Service, home, x.Region}
			times[r] = append(times[r], x.Start)
		}
	}
	for r, list := range times {
		slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
		if at, got, allowed, ok := firstExcess(list, caps[r.service]); ok {
			c.AddBreach(ShiftCap, "%s from %s in %s: %d requests in the second before %s, %.0f allowed",
				r.service, r.home, r.serving, got, formatTime(at), allowed)
		}
	}
}

// firstExcess returns the end, the rate and the allowed rate of the first
// one-second window whose rate exceeds the allowed one. The times must be sorted.
func firstExcess(list []time.Time, shiftCap float64) (at time.Time, got int, allowed float64, found bool) {
	first := list[0]
	counts := make([]int, int(list[len(list)-1].Sub(first)/shiftStep)+1)
	for _, t := range list {
		counts[t.Sub(first)/shiftStep]++
	}
	rates := make([]int, len(counts))
	windowSteps := int(time.Second / shiftStep)
	for i := range counts {
		for k := max(0, i-windowSteps+1); k <= i; k++ {
			rates[i] += counts[k]
		}
	}
	for i, rate := range rates {
		reference := 0
		if i >= windowSteps {
			reference = slices.MaxFunc(rates[max(0, i-int(shiftLookback/shiftStep)):i-windowSteps+1], cmp.Compare[int])
		}
		allowed = (float64(reference)+shiftCap)*(1+shiftTolerance) + shiftToleranceRequests
		if float64(rate) > allowed {
			return first.Add(time.Duration(i+1) * shiftStep), rate, allowed, true
		}
	}
	return time.Time{}, 0, 0, false
}
