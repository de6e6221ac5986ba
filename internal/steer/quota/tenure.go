package quota

import "time"

// Tenure decides whether an entry may own accounts at all, by the age of its knowledge and by its own registrations. The
// zero value may not. It is not safe for concurrent use.
type Tenure struct {
	from      time.Duration // from is the moment at which the entry must still have been registered before it may own accounts.
	confirmed time.Duration // confirmed is the latest moment at which the entry's knowledge was known to be complete.
}

// Suspend ends the entry's tenure until Exclusion after the given time: another entry may have become an owner, and learns within
// that time of this entry's registration.
func (t *Tenure) Suspend(until time.Duration) { t.from = max(t.from, until+Exclusion) }

// Holds reports whether the entry may own accounts; age is an upper bound of the time for which its knowledge of the
// registrations is not confirmed. A bucket that was kept while it did not hold must be discarded.
//
// An entry must know that it was still registered when Exclusion had passed since it registered. So every owner was registered for
// at least that time, and an entry can miss its whole registration only when its own knowledge advances by Exclusion at once. It then
// waits as for an end that it sees.
func (t *Tenure) Holds(age, now time.Duration) bool {
	if at := now - age; at > t.confirmed {
		if at-t.confirmed >= Exclusion {
			t.Suspend(now)
		}
		t.confirmed = at
	}
	return age < Exclusion && t.confirmed >= t.from
}
