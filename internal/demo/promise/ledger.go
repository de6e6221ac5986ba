package promise

import (
	"fmt"
	"time"

	"tamarackspool/internal/standin/caller"
)

// Run is one execution of a request as its target recorded it.
type Run struct {
	Target  string
	Service string
	Region  string // Region is where the target stands.
	ID      string // ID is the request's identity, which the caller puts into the path.
	Key     string // Key is the order's key, or empty.
	Start   time.Time
	End     time.Time // End is zero when the run was cut.
}

// Breach is a promise that did not hold, with one example.
type Breach struct {
	Promise string `json:"promise"`
	Count   int    `json:"count"`
	Example string `json:"example"`
}

// Ledger holds what the callers were told and what the targets did.
type Ledger struct {
	records []caller.Record
	runs    []Run
	byID    map[string][]Run
	found   map[string]*Breach
	order   []string
}

// New returns a ledger of what the callers were told and what the targets did.
func New(records []caller.Record, runs []Run) *Ledger {
	l := &Ledger{records: records, runs: runs, byID: make(map[string][]Run), found: make(map[string]*Breach)}
	for _, r := range runs {
		l.byID[r.ID] = append(l.byID[r.ID], r)
	}
	return l
}

// The names of the promises as the summary prints them.
const (
	Shift    = "P1 shift stays under its cap"
	Link     = "P2 no link or region above its limit"
	Answer   = "P3 complete answer to the own request"
	NotRun   = "P4 told not-run means not run"
	Once     = "P5 an order runs at most once"
	Leaving  = "P6 no work for a leaving target after 3 s"
	Stop     = "P7 a planned stop cuts no request"
	Versions = "P8 a version never reverts"
)

// Breach records that a promise did not hold.
func (l *Ledger) Breach(promise, format string, args ...any) {
	b, ok := l.found[promise]
	if !ok {
		b = &Breach{Promise: promise, Example: fmt.Sprintf(format, args...)}
		l.found[promise] = b
		l.order = append(l.order, promise)
	}
	b.Count++
}

// Breaches returns the broken promises in the order in which they were found.
func (l *Ledger) Breaches() []Breach {
	all := make([]Breach, 0, len(l.order))
	for _, p := range l.order {
		all = append(all, *l.found[p])
	}
	return all
}

// CheckRequests compares each record with the runs of its request.
func (l *Ledger) CheckRequests() {
	for _, r := range l.records {
		l.checkAnswer(r)
		l.checkNotRun(r)
		if r.Kind == caller.Order && len(l.byID[r.ID]) > 1 {
			a, b := l.byID[r.ID][0], l.byID[r.ID][1]
			l.Breach(Once, "order %s of %s ran on %s at %s and on %s at %s",
				r.ID, r.Service, a.Target, clock(a.Start), b.Target, clock(b.Start))
		}
	}
}

// checkAnswer finds foreign and truncated answers, and answers without a run.
func (l *Ledger) checkAnswer(r caller.Record) {
	if r.Wrong != "" {
		l.Breach(Answer, "request %s of %s: %s", r.ID, r.Service, r.Wrong)
	}
	last := r.Last()
	if last.Verdict == "ran" && last.Status < 300 && len(l.byID[last.ID]) == 0 {
		l.Breach(Answer, "request %s of %s was answered for %s, which has no record of it", last.ID, r.Service, last.Target)
	}
}

// checkNotRun finds attempts that were told not-run although the request had
// run. A read or an upload has an identity per attempt, so any run of it counts.
// The attempts of an order share its key, so only runs up to that moment count,
// unless it was the last attempt. All parts run in one process and share a clock.
func (l *Ledger) checkNotRun(r caller.Record) {
	for i, t := range r.Tries {
		if t.Verdict != "not-run" {
			continue
		}
		final := r.Kind != caller.Order || (i == len(r.Tries)-1 && !r.Stopped)
		for _, x := range l.byID[t.ID] {
			if x.Key == t.Key && (final || x.Start.Before(t.End)) {
				l.Breach(NotRun, "attempt %d of request %s of %s was told not-run (%s) at %s; %s ran it at %s",
					i+1, r.ID, r.Service, t.Reason, clock(t.End), x.Target, clock(x.Start))
			}
		}
	}
}

// LeavingTime is how long a leaving target may still receive new work.
const LeavingTime = 3 * time.Second

// CheckLeaving finds work that reached the target after its leaving time.
func (l *Ledger) CheckLeaving(target string, since time.Time) {
	for _, x := range l.runs {
		if x.Target == target && x.Start.After(since.Add(LeavingTime)) {
			l.Breach(Leaving, "%s received %s at %s, %s after the drain began",
				target, x.ID, clock(x.Start), x.Start.Sub(since).Round(time.Millisecond))
		}
	}
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }
