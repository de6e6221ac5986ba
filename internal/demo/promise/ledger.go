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
	Region  string // Region is the region of the target.
	ID      string // ID identifies the request; the caller puts it into the URL path.
	Key     string // Key is the idempotency key of an order, otherwise empty.
	Start   time.Time
	End     time.Time // End is zero when the run was aborted.
}

// Breach is a violated promise with the number of violations and the first one as an example.
type Breach struct {
	Promise string `json:"promise"`
	Count   int    `json:"count"`
	Example string `json:"example"`
}

// Checker compares the records of callers and targets and collects the breaches of promises.
type Checker struct {
	records     []caller.Record
	runs        []Run
	byID        map[string][]Run
	breaches    map[string]*Breach // breaches holds the breaches by promise.
	breachOrder []string           // breachOrder lists the promises in the order of their first breach.
}

// NewChecker returns a checker of the callers' records and the targets' runs.
func NewChecker(records []caller.Record, runs []Run) *Checker {
	c := &Checker{records: records, runs: runs, byID: make(map[string][]Run), breaches: make(map[string]*Breach)}
	for _, r := range runs {
		c.byID[r.ID] = append(c.byID[r.ID], r)
	}
	return c
}

// The names of the promises as the summary prints them.
const (
	ShiftCap            = "P1 shift stays under its cap"
	LinkAndRegionLimits = "P2 no link or region above its limit"
	CompleteAnswer      = "P3 complete answer to the own request"
	NotRun              = "P4 told not-run means not run"
	AtMostOnce          = "P5 an order runs at most once"
	LeavingTarget       = "P6 no work for a leaving target after 3 s"
	PlannedStop         = "P7 a planned stop cuts no request"
	MonotonicVersions   = "P8 a version never reverts"
)

// AddBreach records a violation of a promise; the message of the first one is kept as the example.
func (c *Checker) AddBreach(promise, format string, args ...any) {
	b, ok := c.breaches[promise]
	if !ok {
		b = &Breach{Promise: promise, Example: fmt.Sprintf(format, args...)}
		c.breaches[promise] = b
		c.breachOrder = append(c.breachOrder, promise)
	}
	b.Count++
}

// Breaches returns the breaches in the order in which their promises were first broken.
func (c *Checker) Breaches() []Breach {
	all := make([]Breach, 0, len(c.breachOrder))
	for _, p := range c.breachOrder {
		all = append(all, *c.breaches[p])
	}
	return all
}

// CheckRequests compares each record with the runs of its request.
func (c *Checker) CheckRequests() {
	for _, r := range c.records {
		c.checkResponse(r)
		c.checkNotRun(r)
		if r.Kind == caller.Order && len(c.byID[r.ID]) > 1 {
			a, b := c.byID[r.ID][0], c.byID[r.ID][1]
			c.AddBreach(AtMostOnce, "order %s of %s ran on %s at %s and on %s at %s",
				r.ID, r.Service, a.Target, formatTime(a.Start), b.Target, formatTime(b.Start))
		}
	}
}

// checkResponse finds responses that belong to another request or are truncated,
// and responses without a recorded run.
func (c *Checker) checkResponse(r caller.Record) {
	if r.Mismatch != "" {
		c.AddBreach(CompleteAnswer, "request %s of %s: %s", r.ID, r.Service, r.Mismatch)
	}
	last := r.LastAttempt()
	if last.Verdict == "ran" && last.Status < 300 && len(c.byID[last.ID]) == 0 {
		c.AddBreach(CompleteAnswer, "request %s of %s got a response that names the target %s, which has no record of the request", last.ID, r.Service, last.Target)
	}
}

// checkNotRun finds attempts that received the verdict not-run although the
// request ran. A read or an upload has an ID per attempt, so any run with
// that ID counts. The attempts of an order share its idempotency key, so only
// runs that started before the attempt ended count, unless it was the last
// attempt. All parts run in one process and share a clock.
func (c *Checker) checkNotRun(r caller.Record) {
	for i, t := range r.Attempts {
		if t.Verdict != "not-run" {
			continue
		}
		final := r.Kind != caller.Order || (i == len(r.Attempts)-1 && !r.Stopped)
		for _, x := range c.byID[t.ID] {
			if x.Key == t.Key && (final || x.Start.Before(t.End)) {
				c.AddBreach(NotRun, "attempt %d of request %s of %s got the verdict not-run (%s) at %s; %s ran it at %s",
					i+1, r.ID, r.Service, t.Reason, formatTime(t.End), x.Target, formatTime(x.Start))
			}
		}
	}
}

// LeavingTime is how long a leaving target may still receive new requests.
const LeavingTime = 3 * time.Second

// CheckLeaving finds requests that started at the target more than LeavingTime after since.
func (c *Checker) CheckLeaving(target string, since time.Time) {
	for _, x := range c.runs {
		if x.Target == target && x.Start.After(since.Add(LeavingTime)) {
			c.AddBreach(LeavingTarget, "%s received %s at %s, %s after the drain began",
				target, x.ID, formatTime(x.Start), x.Start.Sub(since).Round(time.Millisecond))
		}
	}
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }
