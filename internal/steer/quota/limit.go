package quota

import (
	"math"
	"time"
)

// Limit is the quota of an account, or the share of it that one owner grants.
type Limit struct {
	Rate  float64 // Rate is the number of requests per second; 0 means that there is no limit.
	Burst float64 // Burst is the number of requests beyond the rate that may come at once.
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// share returns the part of the limit that the owner of one of n regions grants. A bucket holds at least one token, as it would
// otherwise never grant one.
func (l Limit) share(n int) Limit {
	n = max(n, 1)
	return Limit{Rate: l.Rate / float64(n), Burst: max(1, l.Burst/float64(n))}
}

// Tolerance is by how much the requests of a window may exceed the limit of an account.
type Tolerance struct {
	Window time.Duration
	Over   float64 // Over is the tolerated excess as a part of the requests that a window allows.
	Slack  float64 // Slack is the tolerated excess in requests, in addition to Over.
}

const (
	// minLifetime is the shortest lifetime of a token: more than a call to an owner in another region takes.
	minLifetime = 250 * time.Millisecond
	// maxLifetime is the longest. Longer ones save no calls at the demand of a small account.
	maxLifetime = 3 * time.Second
	// lifetimePart is the part of the usable excess that the lifetime of tokens uses; the rest widens the buckets.
	lifetimePart = 0.7
	// arrivalTime bounds the time between the expiry of a token and the arrival of its request at the target. The requests of this
	// time are kept out of the usable excess, but at most half of the tolerated excess.
	arrivalTime = time.Second
)

// usable returns the excess in requests that the lifetime of tokens and the buckets may use.
func (t Tolerance) usable(l Limit) float64 {
	excess := t.Over*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	return excess - min(excess/2, l.Rate*arrivalTime.Seconds())
}

// Lifetime returns how long after it was requested a token may be spent.
func (t Tolerance) Lifetime(l Limit) time.Duration {
	longest := min(t.Window, maxLifetime)
	seconds := longest.Seconds()
	if l.Limited() {
		seconds = min(seconds, lifetimePart*t.usable(l)/l.Rate)
	}
	return max(min(minLifetime, longest), time.Duration(seconds*float64(time.Second)))
}

const (
	// maxRateFactor bounds the rate of the buckets in multiples of the account's rate.
	maxRateFactor = 1.2
	// minBucketTime is the time for which a bucket must hold what it accrues: owners are asked every quarter of a second.
	minBucketTime = 300 * time.Millisecond
	// spread is the burst that a bucket keeps, in standard deviations of the requests of a window that come at random.
	spread = 2.5
)

// Widen returns the limit that the buckets of the owners grant. Its burst has the usable excess that the lifetime leaves: a small
// account needs it, because a bucket that holds one token loses what it accrues until it is asked, and because the tokens that one
// holder has are of no use to the others. A quota counts the requests of a window, so an account whose requests come evenly
// may use its burst in each window: a part of the burst is granted as a higher rate. The sum over a window stays the same.
func (t Tolerance) Widen(l Limit) Limit {
	life := t.Lifetime(l).Seconds()
	l.Burst += max(0, t.usable(l)-l.Rate*life)
	span := t.Window.Seconds() + life
	least := max(maxRateFactor*l.Rate*minBucketTime.Seconds(), spread*math.Sqrt(l.Rate*t.Window.Seconds()))
	if l.Burst <= least {
		return l
	}
	rate := min(l.Rate+(l.Burst-least)/span, maxRateFactor*l.Rate)
	return Limit{Rate: rate, Burst: l.Burst - (rate-l.Rate)*span}
}
