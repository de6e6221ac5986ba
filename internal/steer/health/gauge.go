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
	mu               sync.Mutex
	inflight         int
	backoffUntil     time.Time // backoffUntil is the time until which the target gets no requests.
	failures         int       // failures counts the failures since the last answer.
	timeouts         int       // timeouts counts the requests in a row that timed out.
	coldUntil        time.Time // coldUntil is the time until which the target reported that it is cold.
	slowUntil        time.Time // slowUntil is the time until which the target counts as slow.
	lastPossibleExit time.Time // lastPossibleExit is when a connection or a registration last indicated that the target had ended.
	load             int       // load is the number of running and queued requests that the target last reported.
	loadAt           time.Time // loadAt is the time of that report.
}

// Begin counts a request that is in flight to the target from now on.
func (t *Tracker) Begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inflight++
}

// End counts a request that is no longer in flight.
func (t *Tracker) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inflight--
}

// RecordAnswer records an answer and whether it arrived within the rule's latency objective.
func (t *Tracker) RecordAnswer(inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	if inTime {
		t.timeouts = 0
	}
}

// RecordTimeout records a request that exceeded its rule's latency objective and timed
// out. It returns whether the target counts as slow and until when: a target that
// hangs or is always slow times out several times in a row, whereas one with a
// long queue answers other requests in between.
func (t *Tracker) RecordTimeout(now time.Time) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts++
	if t.timeouts < slowAfterTimeouts {
		return time.Time{}, false
	}
	t.slowUntil = now.Add(min(initialBackoff<<min(t.timeouts-slowAfterTimeouts, 8), maxBackoff))
	return t.slowUntil, true
}

// Slow reports whether the target counts as slow.
func (t *Tracker) Slow(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.slowUntil)
}

// RecordShed records that the target shed a request because it was full.
func (t *Tracker) RecordShed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil = later(t.backoffUntil, now.Add(shedBackoff))
}

// RecordFailure records that the target did not answer and returns the time until which it gets no requests.
func (t *Tracker) RecordFailure(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := min(initialBackoff<<min(t.failures, 8), maxBackoff)
	t.failures++
	t.backoffUntil = later(t.backoffUntil, now.Add(d))
	return t.backoffUntil
}

// RecordPossibleExit records that the target may have ended; if it is running, it may have restarted.
func (t *Tracker) RecordPossibleExit(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastPossibleExit = now
}

// LastPossibleExit returns the last time at which the target may have ended.
func (t *Tracker) LastPossibleExit() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastPossibleExit
}

// RecordCold records the time until which the target reports that it is cold.
func (t *Tracker) RecordCold(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = later(t.coldUntil, until)
}

// ColdUntil returns the time until which the target reported that it is cold.
func (t *Tracker) ColdUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coldUntil
}

// RecordLoad records the load that the target reported in an answer.
func (t *Tracker) RecordLoad(running, waiting int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load, t.loadAt = running+waiting, now
}

// BackingOff reports whether the target gets no requests because of a failure or a shed request.
func (t *Tracker) BackingOff(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.backoffUntil)
}

// Load returns the estimated number of requests at the target: its last report
// while that is recent, and at least this entry's requests in flight.
func (t *Tracker) Load(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.loadAt) < loadReportTTL {
		return max(t.load, t.inflight)
	}
	return t.inflight
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
