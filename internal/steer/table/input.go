package table

import (
	"time"

	"tamarackspool/internal/config/document"
)

// State is the membership state of an entry.
type State uint8

// The states of an entry. Alive and suspect entries can own targets.
const (
	Dead State = iota
	Alive
	Suspect
	Leaving
)

// Member is the membership state of one entry, which may be this one.
type Member struct {
	Name  string
	State State
}

// Live reports whether the member can own targets.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// SlotCount is an entry's own count of its slots for a service.
type SlotCount struct {
	Entry   string
	Service string
	Free    int       // Free is the number of slots that can accept a request.
	Slots   int       // Slots is the number of usable slots; 0 means unknown.
	At      time.Time // At is when this entry received the count, by its own clock.
}

// Report is a target's own report of its load.
type Report struct {
	Target  string
	Busy    int
	Slots   int
	Leaving bool
	At      time.Time // At is the time of the report, by this entry's clock.
}

// Loan moves a part of the lender's rate on the link between two regions to the
// borrower until it ends.
type Loan struct {
	From, To string // From is the lending entry and To the borrowing one.
	A, B     string // A and B are the regions that the link joins.
	Rate     int64  // Rate is in bytes per second and applies to each direction.
	Until    time.Time
}

// Input is the external input of a tick.
type Input struct {
	Document   *document.Document
	Members    []Member
	SlotCounts []SlotCount
	Leaving    []string // Leaving holds the names of the VMs that the platform lists as leaving.
	Reports    []Report
	Loans      []Loan
	// Confirmed means that a peer has confirmed this entry's incarnation within the last second.
	Confirmed bool
}
