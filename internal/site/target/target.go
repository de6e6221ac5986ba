package target

import "time"

// Fields are the values of a target's registration.
type Fields struct {
	ID       string
	Address  string // Address is an IP address and a port.
	Service  string
	Zone     string
	Region   string
	Release  string // Release is the version of the target's software.
	Slots    int    // Slots is how many requests run at once.
	Leaving  bool
	ColdLeft time.Duration // ColdLeft is how much longer the target was slow when it reported.
	Born     int64         // Born is the Unix millisecond of the target's start.
	Sequence uint64        // Sequence grows with each heartbeat of one start.
}

// Target is what is known of a target from its registration.
type Target struct {
	f     Fields
	until time.Time
}

// New returns the target that reported the fields at the given time.
func New(f Fields, at time.Time) Target { return Target{f: f, until: at.Add(f.ColdLeft)} }

// ID returns the id of this start of the target.
func (t Target) ID() string { return t.f.ID }

// Address returns the IP address and port.
func (t Target) Address() string { return t.f.Address }

// Service returns the service whose requests the target runs.
func (t Target) Service() string { return t.f.Service }

// Zone returns the availability zone.
func (t Target) Zone() string { return t.f.Zone }

// Region returns the region.
func (t Target) Region() string { return t.f.Region }

// Slots returns how many requests run at once.
func (t Target) Slots() int { return t.f.Slots }

// Leaving reports whether the target has announced its end.
func (t Target) Leaving() bool { return t.f.Leaving }

// Born returns the Unix millisecond of the target's start.
func (t Target) Born() int64 { return t.f.Born }

// Sequence returns the number of the heartbeat that was read.
func (t Target) Sequence() uint64 { return t.f.Sequence }

// ColdUntil returns when the target is at its full speed by its own report.
func (t Target) ColdUntil() time.Time { return t.until }
