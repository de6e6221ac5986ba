package ledger

import (
	"fmt"
	"slices"
	"time"
)

// The retry budget of a service, which is that of the users' sites: the repeats
// in any window are at most repeatRatio times its request count (see Excess) plus
// repeatSlack.
const (
	repeatRatio  = 0.2
	repeatSlack  = 64
	repeatWindow = 10 * time.Second
)

// checkRepeats returns the services that got more repeats in some window than
// the limit allows. Each arrival of a request after its first is a repeat.
func (l *Ledger) checkRepeats(arrivals []Arrival) []Violation {
	arrivals = slices.Clone(arrivals)
	slices.SortFunc(arrivals, func(x, y Arrival) int { return x.At.Compare(y.At) })
	arrived := make(map[string]bool, len(arrivals))
	repeats := make(map[string][]time.Time)
	for _, a := range arrivals {
		if arrived[a.ID] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
		arrived[a.ID] = true
	}
	requests := make(map[string][]time.Time)
	for _, a := range l.attempts {
		for _, s := range a.Services {
			requests[s] = append(requests[s], a.Sent)
		}
	}
	var found []Violation
	for service, times := range repeats {
		if excess := Excess(requests[service], times, repeatRatio, repeatWindow) - repeatSlack; excess > 0 {
			found = append(found, Violation{Repeats, "", fmt.Sprintf("service %s got %.0f repeats in %v more than are allowed", service, excess, repeatWindow)})
		}
	}
	return found
}
