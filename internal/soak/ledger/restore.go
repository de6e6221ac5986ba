package ledger

import (
	"fmt"
	"time"
)

// Restoration is a time in which the store has gone back to an older copy and nothing was written again.
type Restoration struct {
	From, To time.Time
	Target   string // Target is a target that began to drain after the copy, longer than drainLimit before From.
	Service  string // Service is the service of the moving rule by a configuration that was written after the copy too.
}

// AddRestoration records a restoration of the store.
func (l *Ledger) AddRestoration(r Restoration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restorations = append(l.restorations, r)
}

// restoreMemory is the time before a restoration in which an entry must not have been interrupted: one that was may know
// no more than the copy.
const restoreMemory = drainLimit + disturbanceMargin

// checkRestorations returns the runs that only the older copy of the store allows.
func (l *Ledger) checkRestorations(runs []Run) []Violation {
	if len(l.restorations) == 0 {
		return nil
	}
	entries := make(map[string]string, len(l.attempts))
	for _, a := range l.attempts {
		entries[a.ID] = a.Entry
	}
	var found []Violation
	for _, r := range runs {
		for _, o := range l.restorations {
			outdated := r.Target == o.Target || r.MovingRule && r.Service != o.Service
			if !outdated || r.At.Before(o.From) || !r.At.Before(o.To) || l.interrupted(entries[r.ID], o.From.Add(-restoreMemory), r.At) {
				continue
			}
			found = append(found, Violation{Restore, r.ID, fmt.Sprintf("%s of service %s ran it %v after the store was restored, which only the older copy allows", r.Target, r.Service, r.At.Sub(o.From))})
		}
	}
	return found
}
