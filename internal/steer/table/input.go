package table

import (
	"time"

	"tamarackspool/internal/config/document"
)

// State is what is known about the life of an entry.
type State uint8

// The states of an entry. Ownership counts alive and suspect entries.
const (
	Dead State = iota
	Alive
	Suspect
	Leaving
)

// Member is another entry, or this one, as the membership knows it.
type Member struct {
	Name  string
	State State
}

// Live reports whether the member can own targets.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// Room is an entry's own count of the slots of a service that it owns.
type Room struct {
	Entry   string
	Service string
	Free    int       // Free is the number of slots that can take a request.
	Slots   int       // Slots is the number of usable slots; 0 means that it is not known.
	At      time.Time // At is when this entry received the count, by its own clock.
}

// Report is what a target says about itself.
type Report struct {
	Target  string
	Busy    int
	Slots   int
	Leaving bool
	At      time.Time // At is when the report was made, by this entry's clock.
}

// Loan lowers the lender's share of the link between two regions and raises
// the borrower's by the same rate until it ends.
type Loan struct {
	From, To string // From is the lending entry and To the borrowing one.
	A, B     string // A and B are the regions that the link joins.
	Rate     int64  // Rate is in bytes per second and applies to each direction.
	Until    time.Time
}

// Input is everything that a tick learns from outside.
type Input struct {
	Document *document.Document
	Members  []Member
	Rooms    []Room
	Leaving  []string // Leaving names the VMs that the platform's list shows as leaving.
	Reports  []Report
	Loans    []Loan
	// Confirmed means that a peer has confirmed this entry's incarnation within the last second.
	Confirmed bool
}
