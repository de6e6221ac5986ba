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

// repeats returns the services that got more arrivals beyond the first of
// their request within some window than the requests allow.
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
		if over := Excess(asked[service], times, repeatRatio, repeatWindow) - repeatSlack; over > 0 {
			found = append(found, Break{Repeats, "", fmt.Sprintf("service %s got %.0f repeats in %v more than are allowed", service, over, repeatWindow)})
		}
	}
	return found
}
