package promise

import (
	"time"

	"tamarackspool/internal/standin/caller"
)

// CheckStop finds requests that a planned stop of the entry cut: attempts that
// were in flight there when it began, or that came while callers' look-ups of
// the given time to live could still name it, and that got no answer. A caller
// that gave up by its own deadline while the process still ran was not cut.
func (l *Ledger) CheckStop(entry string, start, end time.Time, ttl time.Duration) {
	for _, r := range l.records {
		for _, t := range r.Tries {
			during := t.Entry == entry && t.End.After(start) && t.Start.Before(start.Add(ttl))
			cut := t.Reason == "lost" || t.Reason == "unreached" || (t.Reason == "timeout" && t.End.After(end))
			if during && cut && !r.Stopped {
				l.Breach(Stop, "attempt %s at %s from %s to %s: %s", t.ID, entry, clock(t.Start), clock(t.End), t.Detail)
			}
		}
	}
}

// Twice returns how many orders ran more than once.
func Twice(records []caller.Record, runs []Run) int {
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
