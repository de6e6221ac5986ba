package spend

import (
	"sync"
	"time"
)

// Terms are the bounds on repeats of one service over all entries.
type Terms struct {
	Ratio  float64       // Ratio is the part of the requests that may be repeated.
	Slack  float64       // Slack is how many more repeats are allowed per window.
	Window time.Duration // Window is the time over which both are counted.
}

// Margin is the part of the terms that is used: repeats and requests of one
// entry may fall into windows of another phase than the one that is counted.
const Margin = 0.8

// Budget is one entry's share of the repeats of one service. The shares add up
// to the terms without a word between the entries: the part that grows with
// the requests is earned by an entry's own, and the slack is divided by the
// number of entries. It is safe for concurrent use.
type Budget struct {
	terms Terms

	mu     sync.Mutex
	slack  float64
	earned float64
	at     time.Time
}

// New returns a budget without slack for a process that started at the given time: it may not
// know yet among how many entries the slack is divided, and many may start at once.
func New(t Terms, now time.Time) *Budget { return &Budget{terms: t, at: now} }

func share(t Terms, entries int) float64 { return Margin * t.Slack / float64(max(1, entries)) }

// Request earns the part of a repeat that one request allows.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+Margin*b.terms.Ratio, maxEarned)
}

// maxEarned bounds what is saved up, as old requests allow no repeats in a later window.
const maxEarned = 10

// Take reports whether one more repeat is within the share and counts it.
func (b *Budget) Take(entries int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	full := share(b.terms, entries)
	if d := now.Sub(b.at); d > 0 {
		// At half the rate, what is left of one window and what the next earns stay within the terms of each.
		b.slack = min(full/2, b.slack+full/2*d.Seconds()/b.terms.Window.Seconds())
		b.at = now
	}
	// Among many entries the share of the slack is less than one repeat: it is added to what was earned.
	if b.earned+b.slack < 1 {
		return false
	}
	earned := min(b.earned, 1)
	b.earned -= earned
	b.slack -= 1 - earned
	return true
}

// Balance returns what is left of repeats that requests have earned and of the slack, as of the last call of Take.
func (b *Budget) Balance() (earned, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.earned, b.slack
}
