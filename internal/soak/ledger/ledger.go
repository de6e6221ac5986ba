package ledger

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Promise names one of the promises that are checked.
type Promise string

// The promises.
const (
	Whole    Promise = "whole"    // Whole: a success is the target's whole answer to the caller's own request.
	Once     Promise = "once"     // Once: an order runs at most once.
	NotRun   Promise = "not-run"  // NotRun: what is told not to have run never runs.
	Drain    Promise = "drain"    // Drain: a leaving target gets nothing new after a few seconds.
	Stop     Promise = "stop"     // Stop: a planned stop cuts no request that a target runs.
	Version  Promise = "version"  // Version: a configuration is in force everywhere within seconds.
	Recovery Promise = "recovery" // Recovery: callers are served again soon after the last disturbance.
	Repeats  Promise = "repeats"  // Repeats: all entries together send few requests to a second target.
)

// Promises returns all promises.
func Promises() []Promise {
	return []Promise{Whole, Once, NotRun, Drain, Stop, Version, Recovery, Repeats}
}

// Attempt is one request as its caller saw it.
type Attempt struct {
	ID       string
	Order    bool // Order says that the request must run at most once.
	Entry    string
	Sent     time.Time
	Done     time.Time
	Status   int // Status is 0 when the connection ended without an answer.
	Success  bool
	Whole    bool
	NotRun   bool
	Deserted bool     // Deserted says that the caller left on its own.
	Services []string // Services are those that may get the request.
}

// Arrival is one request that reached a target of a service, run or not.
type Arrival struct {
	ID      string
	Service string
	At      time.Time
}

// Run is one request that a target ran.
type Run struct {
	ID      string
	Target  string
	Service string
	Switch  bool // Switch says that the request's rule moves between services.
	At      time.Time
}

// Break is one broken promise.
type Break struct {
	Promise Promise
	ID      string // ID is that of the request; empty for a promise to all.
	Text    string
}

// The bounds of the promises that depend on time. They are those of the users'
// sites with a second for a machine that runs many processes.
const (
	drainBound   = 3500 * time.Millisecond
	versionBound = 3500 * time.Millisecond
	// calmBound is how long after a disturbance the bounds hold again.
	calmBound = 5 * time.Second
	// recoveryBound is how long after the last disturbance callers are served again, and recoveryShare how many of them.
	recoveryBound = 8 * time.Second
	recoveryShare = 0.9
)

type span struct{ from, to time.Time }

// version says from when on which service runs the requests of the rule that moves.
type version struct {
	at      time.Time
	service string
}

// Ledger holds what callers and targets have seen; it is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	attempts []Attempt
	drains   map[string]time.Time // drains holds when targets began to leave.
	versions []version
	troubles []span
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{drains: make(map[string]time.Time)} }

// Attempt adds a request of a caller.
func (l *Ledger) Attempt(a Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// Drain notes that the target has begun to leave.
func (l *Ledger) Drain(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[target] = at
}

// Version notes which service runs the requests of the moving rule from now on.
func (l *Ledger) Version(service string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{at, service})
}

// Trouble notes a disturbance that was not planned.
func (l *Ledger) Trouble(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.troubles = append(l.troubles, span{from, to})
}

// Attempts returns the number of attempts, and of those that succeeded.
func (l *Ledger) Attempts() (all, good int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		if a.Success {
			good++
		}
	}
	return len(l.attempts), good
}

// calm reports whether no disturbance was near the time between the two.
func (l *Ledger) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(l.troubles, func(t span) bool {
		return from.Before(t.to.Add(calmBound)) && to.After(t.from)
	})
}

// Check returns the promises that were broken, given all that the targets ran and all that reached them.
func (l *Ledger) Check(runs []Run, arrivals []Arrival) []Break {
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := make(map[string][]Run)
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	var found []Break
	for _, a := range l.attempts {
		found = append(found, l.attempt(a, byID[a.ID])...)
	}
	for _, r := range runs {
		found = append(found, l.run(r)...)
	}
	found = append(found, l.repeats(arrivals)...)
	return append(found, l.recovery()...)
}

func (l *Ledger) attempt(a Attempt, runs []Run) []Break {
	var found []Break
	add := func(p Promise, format string, args ...any) {
		found = append(found, Break{Promise: p, ID: a.ID, Text: fmt.Sprintf(format, args...)})
	}
	if a.Success && !a.Whole {
		add(Whole, "status %d with other bytes than its target's", a.Status)
	}
	if a.Order && len(runs) > 1 {
		add(Once, "ran %d times, at %s and %s", len(runs), runs[0].Target, runs[1].Target)
	}
	if a.Order && a.NotRun && len(runs) > 0 {
		add(NotRun, "told %d and ran at %s", a.Status, runs[0].Target)
	}
	if a.Status == 0 && !a.Deserted && len(runs) > 0 && l.calm(a.Sent, a.Done) {
		add(Stop, "the connection to %s ended without an answer while %s ran it", a.Entry, runs[0].Target)
	}
	return found
}

func (l *Ledger) run(r Run) []Break {
	if at, ok := l.drains[r.Target]; ok && r.At.Sub(at) > drainBound && l.calm(at, r.At) {
		return []Break{{Drain, r.ID, fmt.Sprintf("%s ran it %v after it began to leave", r.Target, r.At.Sub(at))}}
	}
	if r.Switch && l.calm(r.At.Add(-versionBound), r.At) && !l.allows(r) {
		return []Break{{Version, r.ID, fmt.Sprintf("service %s ran it as only an older version says", r.Service)}}
	}
	return nil
}

// allows reports whether a version that may be in force has the service run the moving rule.
func (l *Ledger) allows(r Run) bool {
	for i, v := range l.versions {
		last := i+1 == len(l.versions)
		if v.service == r.Service && (last || r.At.Sub(l.versions[i+1].at) < versionBound) {
			return true
		}
	}
	return false
}

func (l *Ledger) recovery() []Break {
	var last time.Time
	for _, t := range l.troubles {
		if t.to.After(last) {
			last = t.to
		}
	}
	asked, good := 0, 0
	for _, a := range l.attempts {
		if a.Sent.Sub(last) < recoveryBound || a.Deserted {
			continue
		}
		asked++
		if a.Success {
			good++
		}
	}
	if asked > 0 && float64(good) >= recoveryShare*float64(asked) {
		return nil
	}
	return []Break{{Recovery, "", fmt.Sprintf("%d of %d requests served from %v after the last disturbance on", good, asked, recoveryBound)}}
}
