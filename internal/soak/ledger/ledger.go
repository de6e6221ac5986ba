package ledger

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Promise is the name of a promise to callers or operators that the soak checks.
type Promise string

// The promises.
const (
	Whole    Promise = "whole"    // Whole: a successful response is the target's complete response to the caller's own request.
	Once     Promise = "once"     // Once: an order, which is a request that isn't idempotent, runs at most once.
	NotRun   Promise = "not-run"  // NotRun: a request that was reported as not run never runs.
	Drain    Promise = "drain"    // Drain: a draining target gets no new requests after a few seconds.
	Stop     Promise = "stop"     // Stop: a planned stop of an entry interrupts no request that a target runs.
	Version  Promise = "version"  // Version: a new configuration is in force at every entry within seconds.
	Recovery Promise = "recovery" // Recovery: callers are served again within seconds of the last disturbance.
	Leave    Promise = "leave"    // Leave: a target that announced in an answer that it is leaving gets nothing more from the entry that passed the answer on.
	Pause    Promise = "pause"    // Pause: a target that asked an entry for a pause gets at most a few requests from it until the end.
	Restore  Promise = "restore"  // Restore: what was in force before the store was restored from an older copy stays in force until it is written again.
	Repeats  Promise = "repeats"  // Repeats: the repeats, which are the retries of all entries together, stay within the retry budget of each service.
)

// Promises returns all promises.
func Promises() []Promise {
	return []Promise{Whole, Once, NotRun, Drain, Stop, Version, Recovery, Repeats, Leave, Pause, Restore}
}

// Attempt is one request and its result as the caller saw them.
type Attempt struct {
	ID        string
	Order     bool // Order is set when the request must run at most once.
	Entry     string
	Sent      time.Time
	Done      time.Time
	Status    int // Status is 0 when the connection ended without a response.
	Success   bool
	Complete  bool
	NotRun    bool
	Abandoned bool     // Abandoned is set when the caller closed the connection without waiting.
	Services  []string // Services are the services that may get the request.
}

// Arrival is one request that reached a target of a service, whether it ran or not.
type Arrival struct {
	ID      string
	Target  string
	Service string
	At      time.Time
}

// Run is one request that a target ran.
type Run struct {
	ID         string
	Target     string
	Service    string
	MovingRule bool // MovingRule is set when the configuration moves the request's rule between services.
	At         time.Time
}

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	ID      string // ID is the id of the request; empty when the promise isn't about a single request.
	Text    string
}

// The time limits of the promises. They are those of the users' sites plus 1 s,
// because one machine runs all the processes.
const (
	drainLimit   = 3500 * time.Millisecond
	versionLimit = 3500 * time.Millisecond
	// disturbanceMargin is the time after a disturbance from which the limits apply again.
	disturbanceMargin = 5 * time.Second
	// recoveryLimit is the time after the last disturbance from which recoveryShare of the requests must succeed.
	recoveryLimit = 8 * time.Second
	recoveryShare = 0.9
)

type interval struct{ from, to time.Time }

// version is the service that runs the requests of the moving rule from a time on.
// The moving rule is the one whose service the configuration changes during the soak.
type version struct {
	at      time.Time
	service string
}

// Ledger records the attempts of callers, the planned changes and the disturbances of a soak. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	attempts     []Attempt
	drains       map[string]time.Time // drains holds when each target began to drain.
	versions     []version
	disturbances []interval
	// interruptions holds, by the address of an entry or the id of a target, when the entry did not run or the target was cut off.
	interruptions map[string][]interval
	announcements []Announcement
	restorations  []Restoration
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{drains: make(map[string]time.Time), interruptions: make(map[string][]interval)}
}

// AddAttempt records an attempt of a caller.
func (l *Ledger) AddAttempt(a Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// AddDrain records when the target began to drain.
func (l *Ledger) AddDrain(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[target] = at
}

// AddVersion records which service runs the requests of the moving rule from the time on.
func (l *Ledger) AddVersion(service string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{at, service})
}

// AddDisturbance records the interval of an unplanned disturbance, that is of an injected fault.
func (l *Ledger) AddDisturbance(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances = append(l.disturbances, interval{from, to})
}

// AttemptCounts returns the number of attempts and the number of successful ones.
func (l *Ledger) AttemptCounts() (all, succeeded int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		if a.Success {
			succeeded++
		}
	}
	return len(l.attempts), succeeded
}

// undisturbed reports whether the interval overlaps no disturbance and doesn't begin within disturbanceMargin of the end of one.
func (l *Ledger) undisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(l.disturbances, func(t interval) bool {
		return from.Before(t.to.Add(disturbanceMargin)) && to.After(t.from)
	})
}

// Check returns the broken promises, given all requests that ran at the targets and all that reached them.
func (l *Ledger) Check(runs []Run, arrivals []Arrival) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := make(map[string][]Run)
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	var found []Violation
	for _, a := range l.attempts {
		found = append(found, l.checkAttempt(a, byID[a.ID])...)
	}
	for _, r := range runs {
		found = append(found, l.checkRun(r)...)
	}
	found = append(found, l.checkRepeats(arrivals)...)
	found = append(found, l.checkAnnouncements(arrivals)...)
	found = append(found, l.checkRestorations(runs)...)
	return append(found, l.checkRecovery()...)
}

func (l *Ledger) checkAttempt(a Attempt, runs []Run) []Violation {
	var found []Violation
	add := func(p Promise, format string, args ...any) {
		found = append(found, Violation{Promise: p, ID: a.ID, Text: fmt.Sprintf(format, args...)})
	}
	if a.Success && !a.Complete {
		add(Whole, "status %d, but the response is not the complete response of its target", a.Status)
	}
	if a.Order && len(runs) > 1 {
		add(Once, "ran %d times, at %s and %s", len(runs), runs[0].Target, runs[1].Target)
	}
	if a.Order && a.NotRun && len(runs) > 0 {
		add(NotRun, "status %d means that it was not run, but it ran at %s", a.Status, runs[0].Target)
	}
	if a.Status == 0 && !a.Abandoned && len(runs) > 0 && l.undisturbed(a.Sent, a.Done) {
		add(Stop, "the connection to %s ended without a response while %s ran it", a.Entry, runs[0].Target)
	}
	return found
}

func (l *Ledger) checkRun(r Run) []Violation {
	if at, ok := l.drains[r.Target]; ok && r.At.Sub(at) > drainLimit && l.undisturbed(at, r.At) {
		return []Violation{{Drain, r.ID, fmt.Sprintf("%s ran it %v after it began to drain", r.Target, r.At.Sub(at))}}
	}
	if r.MovingRule && l.undisturbed(r.At.Add(-versionLimit), r.At) && !l.allows(r) {
		return []Violation{{Version, r.ID, fmt.Sprintf("service %s ran it, which only an outdated configuration allows", r.Service)}}
	}
	return nil
}

// allows reports whether a configuration version that may be in force at the time of the run has the service run the moving rule.
func (l *Ledger) allows(r Run) bool {
	for i, v := range l.versions {
		newest := i+1 == len(l.versions)
		if v.service == r.Service && (newest || r.At.Sub(l.versions[i+1].at) < versionLimit) {
			return true
		}
	}
	return false
}

func (l *Ledger) checkRecovery() []Violation {
	var last time.Time
	for _, t := range l.disturbances {
		if t.to.After(last) {
			last = t.to
		}
	}
	requests, succeeded := 0, 0
	for _, a := range l.attempts {
		if a.Sent.Sub(last) < recoveryLimit || a.Abandoned {
			continue
		}
		requests++
		if a.Success {
			succeeded++
		}
	}
	if requests > 0 && float64(succeeded) >= recoveryShare*float64(requests) {
		return nil
	}
	return []Violation{{Recovery, "", fmt.Sprintf("%d of %d requests served from %v after the last disturbance on", succeeded, requests, recoveryLimit)}}
}
