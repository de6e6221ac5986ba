package mirror

import "time"

const (
	// neverConfirmed is the confirmed age at the start: longer than any bound.
	neverConfirmed = 100 * 365 * 24 * time.Hour
	// strictWait is how long the store or a reader holds a call open where RequireConfirmation is set.
	strictWait = 500 * time.Millisecond
	// maxConfirmedAge is the confirmed age from which an entry asks its peers where RequireConfirmation is set.
	maxConfirmedAge = 2 * time.Second
)

// RequireConfirmation makes the follower keep its confirmed age low, for a deployment in which requests are refused once
// the age approaches the bound. A bound of 0 changes nothing. It may be called while the follower runs.
func (f *Follower) RequireConfirmation(bound time.Duration) { f.bound.Store(int64(bound)) }

// ConfirmedAge returns an upper bound of the time since a moment at which the mirror held everything that the
// store had acknowledged. Only reads of changes in the newest known era of the store confirm this, not answers to other calls. The age counts time during
// which the machine was suspended; before the first confirmation it is longer than any bound.
func (f *Follower) ConfirmedAge() time.Duration {
	// The confirmation is read first: one that is made after the clock was read would give an age below 0.
	confirmed := time.Duration(f.confirmed.Load())
	return f.uptime() - confirmed
}

// moment returns the uptime before which the batch of a call that began at the given uptime lacks nothing that was
// acknowledged. The source made the batch no earlier than the time for which it held the call after that. An
// unconfirmed batch returns a time that gives an age longer than any bound.
func (f *Follower) moment(b Batch, began time.Duration) time.Duration {
	if b.Unconfirmed || b.Era < f.newestEra.Load() {
		return began - neverConfirmed
	}
	held := min(max(b.Held, 0), f.uptime()-began)
	return began + held - min(max(b.ConfirmedAge, 0), neverConfirmed)
}

// confirm records that the mirror holds what was acknowledged before the given uptime.
func (f *Follower) confirm(moment time.Duration) {
	for {
		last := f.confirmed.Load()
		if int64(moment) <= last || f.confirmed.CompareAndSwap(last, int64(moment)) {
			return
		}
	}
}

// withdraw limits the confirmation to the given uptime, before a snapshot of a later era replaces the mirror: the
// snapshot may come from a stale read, and lack what an earlier confirmation covers.
func (f *Follower) withdraw(moment time.Duration) {
	f.confirmed.Store(min(f.confirmed.Load(), int64(moment)))
}

// lacksConfirmation reports whether the confirmed age is one at which another source must be asked.
func (f *Follower) lacksConfirmation(age time.Duration) bool {
	return f.bound.Load() > 0 && age >= min(maxConfirmedAge, time.Duration(f.bound.Load())*2/5)
}

// limitWait returns how long a source may hold a call open that it would hold for the given time.
func (f *Follower) limitWait(wait time.Duration) time.Duration {
	if f.bound.Load() > 0 {
		return min(wait, strictWait)
	}
	return wait
}

// limitFirstWait returns how long a source may hold a call open: not at all before the first confirmation where
// RequireConfirmation is set, because the first read may be old and requests are refused until a call confirms it.
func (f *Follower) limitFirstWait(wait time.Duration) time.Duration {
	if f.bound.Load() > 0 && f.ConfirmedAge() >= neverConfirmed {
		return 0
	}
	return wait
}
