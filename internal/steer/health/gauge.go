package health

import (
	"sync"
	"time"
)

const (
	// firstRest is how long a target is left alone after its first failure to answer.
	firstRest = 400 * time.Millisecond
	// longestRest bounds the rest of a target that fails again and again.
	longestRest = 4 * time.Second
	// overdueInRow is the number of overdue requests in a row from which a target is taken for a slow one;
	// one alone is common where a queue is long.
	overdueInRow = 2
	// shedRest is how long a target that was full is passed over.
	shedRest = 150 * time.Millisecond
	// fresh is the age up to which a target's report of its load counts.
	fresh = 1500 * time.Millisecond
)

// Gauge is what an entry has seen of one target; it is safe for concurrent use.
type Gauge struct {
	mu       sync.Mutex
	inflight int
	rest     time.Time // rest is until when the target is passed over.
	failures int       // failures counts those in a row.
	overdue  int       // overdue counts requests that got no answer in their time, in a row.
	cold     time.Time // cold is until when the target said that it is cold.
	slow     time.Time // slow is until when the target is taken for one that answers too late.
	broken   time.Time // broken is when a connection or a registration last showed that the target had ended.
	load     int       // load is what the target last said that it ran and held waiting.
	loadAt   time.Time
}

// Begin counts a request that is sent to the target.
func (g *Gauge) Begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight++
}

// End counts a request that is no longer at the target.
func (g *Gauge) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
}

// Answered notes an answer, and whether it came within the rule's objective.
func (g *Gauge) Answered(inTime bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = 0
	if inTime {
		g.overdue = 0
	}
}

// Overdue notes a request that waited for longer than its rule's objective and
// got no answer in its time. It returns until when the target is taken for a
// slow one, and whether it is: one that hangs, or is slow through and through,
// does this again and again, one with a long queue answers others in between.
func (g *Gauge) Overdue(now time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.overdue++
	if g.overdue < overdueInRow {
		return time.Time{}, false
	}
	g.slow = now.Add(min(firstRest<<min(g.overdue-overdueInRow, 8), longestRest))
	return g.slow, true
}

// Slow reports whether the target is taken for one that answers too late.
func (g *Gauge) Slow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.slow)
}

// Shed notes that the target had no room.
func (g *Gauge) Shed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rest = later(g.rest, now.Add(shedRest))
}

// Failed notes that the target did not answer, and returns until when it is passed over.
func (g *Gauge) Failed(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := min(firstRest<<min(g.failures, 8), longestRest)
	g.failures++
	g.rest = later(g.rest, now.Add(d))
	return g.rest
}

// Broke notes that the target may have ended: if it runs, it may have just started.
func (g *Gauge) Broke(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = now
}

// Broken returns when the target may last have ended.
func (g *Gauge) Broken() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken
}

// Chilled notes until when the target said that it is cold.
func (g *Gauge) Chilled(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold = later(g.cold, until)
}

// ColdUntil returns until when the target said that it is cold.
func (g *Gauge) ColdUntil() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold
}

// Report notes the load that the target stated in an answer.
func (g *Gauge) Report(running, waiting int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load, g.loadAt = running+waiting, now
}

// Resting reports whether the target is passed over.
func (g *Gauge) Resting(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.rest)
}

// Load returns how many requests the target holds as far as known: its own
// word while it is fresh, and at least what this entry has sent.
func (g *Gauge) Load(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.loadAt) < fresh {
		return max(g.load, g.inflight)
	}
	return g.inflight
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
