package decision

import (
	"time"

	"tamarackspool/internal/record/event"
)

// Status is the routing state of one entry as shown to operators.
type Status struct {
	At      time.Time
	Closed  bool
	Targets []TargetStatus
	Shifts  []ShiftStatus
	Links   []LinkStatus
	Events  []Event
}

// TargetStatus is the state of a target that the entry owns or still has requests in flight at.
type TargetStatus struct {
	Name     string
	Owned    bool // Owned is false when this entry is a former owner that still has requests in flight at the target.
	Limit    int
	InFlight int
	Load     float64 // Load is the estimated number of slots in use.
	Trust    float64 // Trust is the weight of the target's own load reports, from 0 to 1.
	Leaving  string  // Leaving is the cause of the target's draining, or empty.
	Drained  bool    // Drained means that the target is draining and has no requests in flight.
}

// ShiftStatus is the state of the shift cap of one service and home region.
type ShiftStatus struct {
	Service string
	Home    string
	Allow   float64 // Allow is the rate that this entry may serve, in requests/s.
	Rate    float64 // Rate is the number of requests served in the last second.
	Refused int     // Refused is the number of requests refused over the cap since the last tick.
	Open    bool    // Open means that the cap does not apply.
}

// LinkStatus is this entry's share of the link to a region.
type LinkStatus struct {
	Region    string
	Share     int64 // Share is the configured share, in bytes per second and direction.
	Rate      int64 // Rate is the share after loans.
	Used      int64 // Used is the highest recent use in bytes per second.
	Lendable  int64 // Lendable is the part of the rate that may be lent to a peer.
	NeedsLoan bool  // NeedsLoan means that the entry would use a loan from a peer.
}

// Event is a numbered event of the tick with its alternating keys and values.
type Event struct {
	Number  event.Number
	Keyvals []any
}
