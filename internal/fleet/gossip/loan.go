package gossip

import "time"

// Loan is a share of a link that one entry lends to another until a time of the local clock.
type Loan struct {
	From  string
	To    string
	Link  string
	Rate  int64 // Rate is in bytes per second.
	Until time.Time
}
