package credential

import "time"

// margin is the part of the bound up to which keys are acted on; the rest covers the time from the check to the first byte.
const margin = 0.9

// Knowledge is how old an entry's copy of the configuration was at a moment.
type Knowledge struct {
	Age time.Duration // Age is the confirmed age of the copy.
	At  time.Duration // At is the uptime before the copy was read; the uptime includes time in suspension.
}

// Verdict is what an entry may do with a request that needs a key.
type Verdict uint8

// The verdicts; the zero value is the most restrictive.
const (
	Stale   Verdict = iota // Stale means that too little is known to accept or reject any key.
	Unknown                // Unknown means that the key selects no account.
	Valid                  // Valid means that the key selects an account.
)

// Bound is the longest time for which a revoked key may be acted on.
type Bound struct {
	limit time.Duration // limit is the age from which nothing is decided; 0 means that there is none.
}

// NewBound returns the bound; 0 or less means that there is none.
func NewBound(revoke time.Duration) Bound {
	return Bound{max(0, time.Duration(margin*float64(revoke)))}
}

// Strict reports whether there is a bound.
func (b Bound) Strict() bool { return b.limit > 0 }

// Fresh reports whether an entry may act on keys at the uptime now.
func (b Bound) Fresh(k Knowledge, now time.Duration) bool {
	return !b.Strict() || k.Age < b.limit && now-k.At < b.limit-k.Age
}

// Decide returns the verdict at the uptime now on a key that selects an account in the copy, or does not. An entry whose
// copy is too old does not reject a key either, because a newer configuration may have added it.
func (b Bound) Decide(k Knowledge, now time.Duration, known bool) Verdict {
	switch {
	case !b.Fresh(k, now):
		return Stale
	case !known:
		return Unknown
	default:
		return Valid
	}
}
