package health

import (
	"sync"
	"time"
)

const (
	// initialBackoff is the time for which a target gets no requests after its first failure.
	initialBackoff = 400 * time.Millisecond
	// maxBackoff limits the exponential backoff after repeated failures.
	maxBackoff = 4 * time.Second
	// slowAfterTimeouts is the number of timeouts in a row after which a target counts as slow;
	// a single timeout is common where a queue is long.
	slowAfterTimeouts = 2
	// shedBackoff is the time for which a target that shed a request gets no further requests.
	shedBackoff = 150 * time.Millisecond
	// loadReportTTL is the age up to which a target's report of its load is used.
	loadReportTTL = 1500 * time.Millisecond
)

// Tracker tracks the health and load of one target as seen by this entry; it is safe for concurrent use.
type Tracker struct {
	mu           sync.Mutex
	inflight     int
	backoffUntil time.Time // backoffUntil is the time until which the target gets no requests.
	failures     int       // failures counts the failures in a row.
	timeouts     int       // timeouts counts the requests in a row that timed out.
	coldUntil    time.Time // coldUntil is the time until which the target reported that it is cold.
	slowUntil    time.Time // slowUntil is the time until which the target counts as slow.
	lastBroken   time.Time // lastBroken is when a connection or a registration last indicated that the target had ended.
	load         int       // load is the number of running and queued requests that the target last reported.
	loadAt       time.Time
}

// Begin counts a request that is in flight to the target from now on.
func (g *Tracker) Begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight++
}

// End counts a request that is no longer in flight.
func (g *Tracker) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
}

// RecordAnswer records an answer and whether it arrived within the rule's latency objective.
func (g *Tracker) RecordAnswer(inTime bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = 0
	if inTime {
		g.timeouts = 0
	}
}

// RecordTimeout records a request that exceeded its rule's latency objective and timed
// out. It returns whether the target counts as slow and until when: a target that
// hangs or is always slow times out several times in a row, whereas one with a
// long queue answers other requests in between.
func (g *Tracker) RecordTimeout(now time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timeouts++
	if g.timeouts < slowAfterTimeouts {
		return time.Time{}, false
	}
	g.slowUntil = now.Add(min(initialBackoff<<min(g.timeouts-slowAfterTimeouts, 8), maxBackoff))
	return g.slowUntil, true
}

// Slow reports whether the target counts as slow.
func (g *Tracker) Slow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.slowUntil)
}

// RecordShed records that the target shed a request because it was full.
func (g *Tracker) RecordShed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoffUntil = later(g.backoffUntil, now.Add(shedBackoff))
}

// RecordFailure records that the target did not answer and returns the time until which it gets no requests.
func (g *Tracker) RecordFailure(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := min(initialBackoff<<min(g.failures, 8), maxBackoff)
	g.failures++
	g.backoffUntil = later(g.backoffUntil, now.Add(d))
	return g.backoffUntil
}

// RecordPossibleExit records that the target may have ended; if it is running, it may have restarted.
func (g *Tracker) RecordPossibleExit(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastBroken = now
}

// LastPossibleExit returns the last time at which the target may have ended.
func (g *Tracker) LastPossibleExit() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastBroken
}

// RecordCold records the time until which the target reports that it is cold.
func (g *Tracker) RecordCold(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldUntil = later(g.coldUntil, until)
}

// ColdUntil returns the time until which the target reported that it is cold.
func (g *Tracker) ColdUntil() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coldUntil
}

// RecordLoad records the load that the target reported in an answer.
func (g *Tracker) RecordLoad(running, waiting int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load, g.loadAt = running+waiting, now
}

// BackingOff reports whether the target gets no requests because of a failure or a shed request.
func (g *Tracker) BackingOff(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.backoffUntil)
}

// Load returns the estimated number of requests at the target: its last report
// while that is recent, and at least this entry's requests in flight.
func (g *Tracker) Load(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.loadAt) < loadReportTTL {
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
