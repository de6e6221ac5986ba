package promise

import (
	"time"

	"tamarackspool/internal/standin/caller"
)

// CheckStop finds attempts that failed because of a planned stop of the entry:
// attempts that were in flight there when the stop began, or that started while
// callers' cached look-ups with the given time to live could still name the
// entry, and that got no response. A caller whose own deadline expired while the
// process still ran doesn't count.
func (c *Checker) CheckStop(entry string, start, end time.Time, ttl time.Duration) {
	for _, r := range c.records {
		for _, t := range r.Attempts {
			during := t.Entry == entry && t.End.After(start) && t.Start.Before(start.Add(ttl))
			cut := t.Reason == "lost" || t.Reason == "unreached" || (t.Reason == "timeout" && t.End.After(end))
			if during && cut && !r.Stopped {
				c.AddBreach(PlannedStop, "attempt %s at %s from %s to %s: %s", t.ID, entry, formatTime(t.Start), formatTime(t.End), t.Detail)
			}
		}
	}
}

// CountRepeatedOrders returns the number of orders that ran more than once.
func CountRepeatedOrders(records []caller.Record, runs []Run) int {
	count := make(map[string]int)
	for _, x := range runs {
		count[x.ID]++
	}
	twice := 0
	for _, r := range records {
		if r.Kind == caller.Order && count[r.ID] > 1 {
			twice++
		}
	}
	return twice
}
