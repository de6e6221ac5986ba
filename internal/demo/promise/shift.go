package promise

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shiftStep is the resolution of the windows.
	shiftStep = 100 * time.Millisecond
	// shiftMemory is how far back a window may have had the same rate: traffic
	// that pauses briefly and comes back has not shifted.
	shiftMemory = 5 * time.Second
	// shiftSlack allows for requests that were admitted in one window and
	// reached the target in the next, as a fraction of the rate and a number.
	shiftSlack, shiftExtra = 0.1, 4
)

// route is a service with the caller's region and the one that served.
type route struct{ service, home, serving string }

// CheckShift finds routes between regions whose rate grew faster than the
// service's cap: the requests of any second are compared with the highest rate
// of the seconds that ended at least one second earlier.
func (l *Ledger) CheckShift(homes map[string]string, caps map[string]float64) {
	times := make(map[route][]time.Time)
	for _, x := range l.runs {
		if home, ok := homes[x.ID]; ok && home != x.Region {
			r := route{x.Service, home, x.Region}
			times[r] = append(times[r], x.Start)
		}
	}
	for r, list := range times {
		slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
		if at, got, allowed, ok := steepest(list, caps[r.service]); ok {
			l.Breach(Shift, "%s from %s in %s: %d requests in the second before %s, %.0f allowed",
				r.service, r.home, r.serving, got, clock(at), allowed)
		}
	}
}

// steepest returns the first window above its allowance.
func steepest(list []time.Time, limit float64) (at time.Time, got int, allowed float64, found bool) {
	first := list[0]
	counts := make([]int, int(list[len(list)-1].Sub(first)/shiftStep)+1)
	for _, t := range list {
		counts[t.Sub(first)/shiftStep]++
	}
	rates := make([]int, len(counts))
	per := int(time.Second / shiftStep)
	for i := range counts {
		for k := max(0, i-per+1); k <= i; k++ {
			rates[i] += counts[k]
		}
	}
	for i, rate := range rates {
		base := 0
		if i >= per {
			base = slices.MaxFunc(rates[max(0, i-int(shiftMemory/shiftStep)):i-per+1], cmp.Compare[int])
		}
		allowed = (float64(base)+limit)*(1+shiftSlack) + shiftExtra
		if float64(rate) > allowed {
			return first.Add(time.Duration(i+1) * shiftStep), rate, allowed, true
		}
	}
	return time.Time{}, 0, 0, false
}
