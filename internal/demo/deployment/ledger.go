package deployment

import (
	"fmt"
	"time"

	"tamarackspool/internal/standin/caller"
)

// run is one execution of a request as its target recorded it.
type run struct {
	target  string
	service string
	region  string
	id      string // id is the request's identity, which the caller puts into the path.
	key     string // key is the order's key, or empty.
	start   time.Time
	end     time.Time
}

// Breach is a promise that did not hold, with one example.
type Breach struct {
	Promise string `json:"promise"`
	Count   int    `json:"count"`
	Example string `json:"example"`
}

// ledger holds what the callers were told and what the targets did.
type ledger struct {
	records []caller.Record
	runs    []run
	byID    map[string][]run
	found   map[string]*Breach
	order   []string
}

func newLedger(records []caller.Record, runs []run) *ledger {
	l := &ledger{records: records, runs: runs, byID: make(map[string][]run), found: make(map[string]*Breach)}
	for _, r := range runs {
		l.byID[r.id] = append(l.byID[r.id], r)
	}
	return l
}

// The names of the promises as the summary prints them.
const (
	promiseShift    = "P1 shift stays under its cap"
	promiseLink     = "P2 no link or region above its limit"
	promiseAnswer   = "P3 complete answer to the own request"
	promiseNotRun   = "P4 told not-run means not run"
	promiseOnce     = "P5 an order runs at most once"
	promiseLeaving  = "P6 no work for a leaving target after 3 s"
	promiseStop     = "P7 a planned stop cuts no request"
	promiseVersions = "P8 a version never reverts"
)

func (l *ledger) breach(promise, format string, args ...any) {
	b, ok := l.found[promise]
	if !ok {
		b = &Breach{Promise: promise, Example: fmt.Sprintf(format, args...)}
		l.found[promise] = b
		l.order = append(l.order, promise)
	}
	b.Count++
}

// breaches returns the broken promises in the order in which they were found.
func (l *ledger) breaches() []Breach {
	all := make([]Breach, 0, len(l.order))
	for _, p := range l.order {
		all = append(all, *l.found[p])
	}
	return all
}

// checkRequests compares each record with the runs of its request.
func (l *ledger) checkRequests() {
	for _, r := range l.records {
		l.checkAnswer(r)
		l.checkNotRun(r)
		if r.Kind == caller.Order && len(l.byID[r.ID]) > 1 {
			a, b := l.byID[r.ID][0], l.byID[r.ID][1]
			l.breach(promiseOnce, "order %s of %s ran on %s at %s and on %s at %s",
				r.ID, r.Service, a.target, clock(a.start), b.target, clock(b.start))
		}
	}
}

// checkAnswer finds foreign and truncated answers, and answers without a run.
func (l *ledger) checkAnswer(r caller.Record) {
	if r.Wrong != "" {
		l.breach(promiseAnswer, "request %s of %s: %s", r.ID, r.Service, r.Wrong)
	}
	last := r.Last()
	if last.Verdict == "ran" && last.Status < 300 && len(l.byID[last.ID]) == 0 {
		l.breach(promiseAnswer, "request %s of %s was answered for %s, which has no record of it", last.ID, r.Service, last.Target)
	}
}

// checkNotRun finds attempts that were told not-run although the request had
// run. A read or an upload has an identity per attempt, so any run of it counts.
// The attempts of an order share its key, so only runs up to that moment count,
// unless it was the last attempt. All parts run in one process and share a clock.
func (l *ledger) checkNotRun(r caller.Record) {
	for i, t := range r.Tries {
		if t.Verdict != "not-run" {
			continue
		}
		final := r.Kind != caller.Order || (i == len(r.Tries)-1 && !r.Stopped)
		for _, x := range l.byID[t.ID] {
			if x.key == t.Key && (final || x.start.Before(t.End)) {
				l.breach(promiseNotRun, "attempt %d of request %s of %s was told not-run (%s) at %s; %s ran it at %s",
					i+1, r.ID, r.Service, t.Reason, clock(t.End), x.target, clock(x.start))
			}
		}
	}
}

// leavingTime is how long a leaving target may still receive new work.
const leavingTime = 3 * time.Second

// checkLeaving finds work that reached the target after its leaving time.
func (l *ledger) checkLeaving(target string, since time.Time) {
	for _, x := range l.runs {
		if x.target == target && x.start.After(since.Add(leavingTime)) {
			l.breach(promiseLeaving, "%s received %s at %s, %s after the drain began",
				target, x.id, clock(x.start), x.start.Sub(since).Round(time.Millisecond))
		}
	}
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }
