package quota

import (
	"slices"
	"time"
)

const (
	// The time for which an owner that had too few tokens is not asked again: its bucket holds about one second of its rate, and
	// every refused request of an exhausted account would cost calls.
	minDenial = 150 * time.Millisecond
	maxDenial = 500 * time.Millisecond
	// answerTime is how long the answer of an owner shows that the quota of the account is known.
	answerTime = time.Second
)

// Holder is an entry's part in the quota of one account: its tokens, and what the owners have answered. It is not safe for
// concurrent use.
type Holder struct {
	Purse
	denied   map[string]time.Duration // denied is until when the owner of a region is not asked, by region.
	answered time.Duration            // answered is when an owner last answered; 0 for never.
	queue    Queue
}

// NewHolder returns a holder without tokens.
func NewHolder() *Holder { return &Holder{denied: make(map[string]time.Duration)} }

// Next returns the index of the first owner that may be asked now, or -1 for none; silent reports whether an owner has not
// answered lately.
func (h *Holder) Next(owners []Member, silent func(Member) bool, now time.Duration) int {
	return slices.IndexFunc(owners, func(o Member) bool { return now >= h.denied[o.Region] && !silent(o) })
}

// RecordAnswer records the answer of an owner that was asked for want tokens; expires is when the granted ones expire, and wait the
// time after which the owner has one for a request that it refused.
func (h *Holder) RecordAnswer(o Member, want, granted int, expires, wait, now time.Duration) {
	h.Add(granted, expires)
	h.answered = now
	if granted < want {
		h.denied[o.Region] = now + min(maxDenial, max(minDenial, wait))
	}
}

// Refuse returns the time after which a request that is refused now will find a token, and false when no owner has answered, so
// that nothing is known of the quota.
func (h *Holder) Refuse(owners []Member, rate float64, now time.Duration) (time.Duration, bool) {
	if h.answered == 0 || now-h.answered >= answerTime {
		return 0, false
	}
	least := maxDenial
	for _, o := range owners {
		if until := h.denied[o.Region]; until > now {
			least = min(least, until-now)
		}
	}
	return h.queue.Wait(least, 1, rate, now), true
}
