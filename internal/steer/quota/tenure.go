package quota

import "time"

// Tenure decides whether an entry may own accounts at all, by the age of its knowledge and by its own registrations. The
// zero value may not. It is not safe for concurrent use.
type Tenure struct {
	from      time.Duration // from is the moment at which the entry must still have been registered before it may own accounts.
	notBefore time.Duration // notBefore is the time before which the entry may not own accounts.
	confirmed time.Duration // confirmed is the latest moment at which the entry's knowledge was known to be complete.
}

// Suspend ends the entry's tenure until Exclusion after the given time: another entry may have become an owner, and learns within
// that time of this entry's registration.
func (t *Tenure) Suspend(until time.Duration) { t.from = max(t.from, until+Exclusion) }

// LongRegistered is the age of an entry's registration from which its process may go on owning accounts after a restart: the
// store may execute a write up to 6 s after the call, and every other owner knows of the registration Exclusion later.
const LongRegistered = Exclusion + 6*time.Second

// Resume lets the entry own accounts after a restart. The caller must know, by what was confirmed at the given time, that
// the registration of the earlier process still existed and was at least LongRegistered old. If all is known, no
// registration of any entry had ended since it was written, and the entry may own accounts at once. Otherwise an entry
// whose registration ended before the given time may own them until Exclusion after it.
func (t *Tenure) Resume(confirmed time.Duration, allKnown bool) {
	*t = Tenure{confirmed: confirmed}
	if !allKnown {
		t.notBefore = confirmed + Exclusion
	}
}

// Holds reports whether the entry may own accounts; age is an upper bound of the time for which its knowledge of the
// registrations is not confirmed. A bucket that was kept while it did not hold must be discarded. The argument gap is set
// when the registrations may have changed since the last confirmation in a way that the entry did not see, as in a snapshot.
//
// An entry must know that it was still registered when Exclusion had passed since it registered. So every owner was registered for
// at least that time, and an entry can miss its whole registration only when its own knowledge advances by Exclusion at once over
// a gap. It then waits as for an end that it sees.
func (t *Tenure) Holds(age, now time.Duration, gap bool) bool {
	if at := now - age; at > t.confirmed {
		if gap && at-t.confirmed >= Exclusion {
			t.Suspend(now)
		}
		t.confirmed = at
	}
	return age < Exclusion && t.confirmed >= t.from && now >= t.notBefore
}
