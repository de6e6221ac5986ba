package decision

import (
	"time"

	"tamarackspool/internal/config/document"
)

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Service  string
	Home     string    // Home is the caller's region; empty means this entry's region.
	Hops     int       // Hops is the number of entries that have relayed the request.
	Avoid    []string  // Avoid holds the names of the targets and entries that were already tried.
	Now      time.Time // Now is the time of the decision.
	Deadline time.Time // Deadline is when the caller stops waiting; the zero time means no deadline.
	Relayed  bool      // Relayed means that another entry relayed the request, so this entry must serve or refuse it.
}

// Kind is the outcome of an attempt.
type Kind uint8

// The outcomes of an attempt.
const (
	Answered  Kind = iota // Answered means that a response arrived.
	Shed                  // Shed means that the target or peer refused the request before it started.
	Failed                // Failed means that the connection failed or the response was cut short.
	Cancelled             // Cancelled means that the caller cancelled or the attempt was not sent.
	Silent                // Silent means that the connection made no progress.
)

// Result is the outcome of an attempt with its measurements.
type Result struct {
	Kind      Kind
	Latency   time.Duration
	In, Out   int64 // In and Out are the bytes received and sent.
	FreeKnown bool  // FreeKnown means that the peer's answer included its count of free slots.
	Free      int   // Free is that count.
	// Unopened means that no connection could be opened, which is stronger evidence of a failed peer than a truncated response.
	Unopened bool
}

// Choice is a slot reserved for a request. It must not be copied after its first use.
type Choice struct {
	target document.Target
	entry  string
	region string
	gate   *Gate
	total  *Gate
}

// Target returns the chosen target and whether the choice is a target rather than a peer.
func (c *Choice) Target() (document.Target, bool) { return c.target, c.entry == "" }

// Entry returns the name of the entry to relay to, or an empty string when the choice is a target.
func (c *Choice) Entry() string { return c.entry }

// Region returns the region that serves the request.
func (c *Choice) Region() string { return c.region }

// Release releases the slot and records the outcome; only the first call has an effect.
func (c *Choice) Release(r Result) {
	if c.gate == nil {
		return
	}
	c.gate.finish(r)
	if r.FreeKnown {
		c.gate.reportedFree.Store(int64(max(0, r.Free)) + 1)
	}
	if c.entry != "" && r.Kind == Shed {
		// A peer that refused has no free slots until its next report.
		c.gate.SetLimit(min(c.gate.Limit(), c.gate.InFlight()))
	}
	if c.entry != "" && r.Unopened {
		// Nothing is relayed to the peer until the next tick, which sets when it is tried again.
		c.gate.unopened.Add(1)
		c.gate.SetLimit(0)
	}
	if c.total != nil {
		c.total.inFlight.Add(-1)
	}
	c.gate = nil
}
