package quota

import "time"

// Tenure decides whether an entry may own accounts at all, by the age of its knowledge and by its own registrations. The
// zero value may not. It is not safe for concurrent use.
type Tenure struct {
	from      time.Duration // from is the time from which the entry may own accounts.
	confirmed time.Duration // confirmed is the latest moment at which the entry's knowledge was known to be complete.
}

// Suspend ends the entry's tenure until Exclusion after the given time: another entry may have become an owner, and learns within
// that time of this entry's registration.
func (t *Tenure) Suspend(until time.Duration) { t.from = max(t.from, until+Exclusion) }

// Holds reports whether the entry may own accounts; age is an upper bound of the time for which its knowledge of the
// registrations is not confirmed. A bucket that was kept while it did not hold must be discarded.
//
// When the knowledge advances by Exclusion at once, another entry may have been registered, have become an owner and have
// ended in between, which this one cannot see. It then waits as for an end that it sees.
func (t *Tenure) Holds(age, now time.Duration) bool {
	if at := now - age; at > t.confirmed {
		if at-t.confirmed >= Exclusion {
			t.Suspend(now)
		}
		t.confirmed = at
	}
	return age < Exclusion && now >= t.from
}
