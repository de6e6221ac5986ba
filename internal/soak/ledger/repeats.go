package ledger

import (
	"fmt"
	"slices"
	"time"
)

// The bound on repeats of a service, which is that of the users' sites.
const (
	repeatRatio  = 0.2
	repeatSlack  = 64
	repeatWindow = 10 * time.Second
)

// repeats returns the first window of each service that holds more arrivals
// beyond the first of their request than the requests allow.
func (l *Ledger) repeats(arrivals []Arrival) []Break {
	arrivals = slices.Clone(arrivals)
	slices.SortFunc(arrivals, func(x, y Arrival) int { return x.At.Compare(y.At) })
	seen := make(map[string]bool, len(arrivals))
	later := make(map[string][]time.Time)
	for _, a := range arrivals {
		if seen[a.ID] {
			later[a.Service] = append(later[a.Service], a.At)
		}
		seen[a.ID] = true
	}
	asked := make(map[string][]time.Time)
	for _, a := range l.attempts {
		for _, s := range a.Services {
			asked[s] = append(asked[s], a.Sent)
		}
	}
	var found []Break
	for service, times := range later {
		slices.SortFunc(asked[service], time.Time.Compare)
		for _, from := range times {
			requests := 0
			for _, back := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
				requests = max(requests, within(asked[service], from.Add(-back)))
			}
			if n, allowed := within(times, from), repeatRatio*float64(requests)+repeatSlack; float64(n) > allowed {
				found = append(found, Break{Repeats, "", fmt.Sprintf("service %s got %d repeats of %d requests in %v, %.0f are allowed", service, n, requests, repeatWindow, allowed)})
				break
			}
		}
	}
	return found
}

// within returns how many of the sorted times lie in the window that begins at the given one.
func within(times []time.Time, from time.Time) int {
	low, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	high, _ := slices.BinarySearchFunc(times, from.Add(repeatWindow), time.Time.Compare)
	return high - low
}
