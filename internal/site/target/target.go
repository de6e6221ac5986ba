package target

import "time"

// Fields are the contents of a target's registration.
type Fields struct {
	ID            string
	Address       string // Address is an IP address and a port.
	Service       string
	Zone          string
	Region        string
	Release       string        // Release is the version of the target's software.
	Slots         int           // Slots is how many requests the target runs concurrently.
	Leaving       bool          // Leaving is set once the target is draining.
	ColdLeft      time.Duration // ColdLeft is the remaining warm-up time when the target reported.
	StartedMillis int64         // StartedMillis is the target's start time in Unix milliseconds.
	Sequence      uint64        // Sequence increases with each heartbeat of one incarnation.
}

// Target is one incarnation of a target, as described by its registration.
type Target struct {
	fields    Fields
	coldUntil time.Time
}

// New returns the target that reported the fields at the given time.
func New(f Fields, at time.Time) Target { return Target{fields: f, coldUntil: at.Add(f.ColdLeft)} }

// ID returns the id of this incarnation of the target.
func (t Target) ID() string { return t.fields.ID }

// Address returns the IP address and port.
func (t Target) Address() string { return t.fields.Address }

// Service returns the name of the service whose requests the target runs.
func (t Target) Service() string { return t.fields.Service }

// Zone returns the availability zone.
func (t Target) Zone() string { return t.fields.Zone }

// Region returns the region.
func (t Target) Region() string { return t.fields.Region }

// Slots returns how many requests the target runs concurrently.
func (t Target) Slots() int { return t.fields.Slots }

// Leaving reports whether the target is draining.
func (t Target) Leaving() bool { return t.fields.Leaving }

// StartedMillis returns the target's start time in Unix milliseconds.
func (t Target) StartedMillis() int64 { return t.fields.StartedMillis }

// Sequence returns the sequence number of the heartbeat.
func (t Target) Sequence() uint64 { return t.fields.Sequence }

// ColdUntil returns when the target is warm by its own report.
func (t Target) ColdUntil() time.Time { return t.coldUntil }
