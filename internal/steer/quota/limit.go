package quota

import "time"

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
	// lifetimePart is the part of the tolerance that the lifetime uses. The rest covers the time between the admission of a request
	// and its arrival at the target.
	lifetimePart = 0.5
)

// Lifetime returns how long after it was requested a token may be spent.
func (t Tolerance) Lifetime(l Limit) time.Duration {
	if !l.Limited() {
		return t.Window
	}
	excess := t.Over*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	seconds := lifetimePart * excess / l.Rate
	if seconds >= t.Window.Seconds() {
		return t.Window
	}
	return min(t.Window, max(minLifetime, time.Duration(seconds*float64(time.Second))))
}
