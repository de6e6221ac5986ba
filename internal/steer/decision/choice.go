package decision

import (
	"time"

	"tamarackspool/internal/config/document"
)

// Request is what a decision needs to know about a request.
type Request struct {
	Service  string
	Home     string    // Home is the caller's region; empty means this entry's region.
	Hops     int       // Hops is the number of relays that the request has passed.
	Avoid    []string  // Avoid names the targets and entries that were tried already.
	Now      time.Time // Now is the time of the decision.
	Deadline time.Time // Deadline is when the caller stops waiting; the zero time means never.
	Relayed  bool      // Relayed means that this entry serves the request or refuses it.
}

// Kind says how an attempt ended.
type Kind uint8

// The ends of an attempt.
const (
	Answered  Kind = iota // Answered means that a response arrived.
	Shed                  // Shed means that the target or peer refused before it started.
	Failed                // Failed means that the connection failed or the response was cut short.
	Cancelled             // Cancelled means that the caller went away or the attempt was not sent.
	Silent                // Silent means that the connection made no progress.
)

// Result is the outcome of an attempt.
type Result struct {
	Kind    Kind
	Latency time.Duration
	In, Out int64 // In and Out are the bytes received and sent.
	Counted bool  // Counted means that the peer's answer carried its count of free slots.
	Free    int   // Free is that count.
	// Unopened means that no connection could be opened, which says more about a peer than a cut response does.
	Unopened bool
}

// Choice is a slot that a request holds. It must not be copied after its first use.
type Choice struct {
	target document.Target
	entry  string
	region string
	gate   *Gate
	total  *Gate
}

// Target returns the chosen target and whether the choice is a target.
func (c *Choice) Target() (document.Target, bool) { return c.target, c.entry == "" }

// Entry returns the name of the entry to relay to, or an empty string when there is a target.
func (c *Choice) Entry() string { return c.entry }

// Region returns the region that serves the request.
func (c *Choice) Region() string { return c.region }

// Done gives the slot back and records the outcome; only the first call counts.
func (c *Choice) Done(r Result) {
	if c.gate == nil {
		return
	}
	c.gate.finish(r)
	if r.Counted {
		c.gate.hint.Store(int64(max(0, r.Free)) + 1)
	}
	if c.entry != "" && r.Kind == Shed {
		// A peer that refused has no room until it reports again.
		c.gate.SetLimit(min(c.gate.Limit(), c.gate.InFlight()))
	}
	if c.entry != "" && r.Unopened {
		// The next tick decides when the peer is tried again; until then nothing is relayed to it.
		c.gate.unopened.Add(1)
		c.gate.SetLimit(0)
	}
	if c.total != nil {
		c.total.inFlight.Add(-1)
	}
	c.gate = nil
}
