package operator

import "time"

// Status is what one entry knows about itself and the fleet at one time.
type Status struct {
	Entry    string
	Region   string
	Zone     string
	At       time.Time
	Version  uint64        // Version is the adopted configuration; 0 means none.
	Floor    uint64        // Floor is the lowest version with which the entry may serve.
	Isolated bool          // Isolated means that neither the store nor a peer can be reached.
	Store    bool          // Store reports whether the last call to the store had a response.
	Roster   time.Duration // Roster is the age of the VM list; negative means that it was never read.
	Age      time.Duration // Age is how long this incarnation has been running.
	Targets  []Target      // Targets are those that this entry owns or still has requests in flight at.
	Regions  []Region
	Links    []Link
	Drains   []Drain
	Members  []Member
	Plan     []Target // Plan is every configured target, with its name, service, zone, region and slots alone.
}

// Target is a target as its owner sees it.
type Target struct {
	Name    string
	Service string
	Zone    string
	Region  string
	Owner   string
	Owned   bool    // Owned is false at a former owner whose last requests are in flight.
	Busy    int     // Busy is the number of this entry's requests in flight.
	Limit   int     // Limit is the gate's limit now.
	Slots   int     // Slots is the configured limit.
	Load    float64 // Load is the estimate of the requests at the target.
	Trust   float64 // Trust weighs the target's own reports, from 0 to 1.
	Leaving bool
	Cause   string // Cause says why the target leaves.
	Quiet   bool   // Quiet means that the target is leaving and this entry has nothing in flight at it.
}

// Region is a region's use as this entry knows it.
type Region struct {
	Name  string
	Busy  int // Busy is the number of requests in flight at this entry's targets.
	Limit int // Limit is this entry's share of the region limit; 0 means none.
	Free  int // Free is the number of free slots that the entries of the region report.
}

// Link is one direction of a link as this entry uses it.
type Link struct {
	From, To string
	Used     int64 // Used is this entry's use in bytes per second.
	Share    int64 // Share is this entry's limit in bytes per second.
	Limit    int64 // Limit is the configured limit of the whole link in bytes per second.
}

// Drain is the progress of a planned drain or of a leaving VM at this entry.
type Drain struct {
	Name    string
	Targets []string // Targets are the names of all drained targets.
	Busy    int      // Busy is the number of this entry's requests in flight at them.
	Active  bool     // Active means that the drain is in force now.
	Quiet   bool     // Quiet means that the drain is in force and this entry has nothing in flight at its targets.
	Delayed string   // Delayed says with figures why the drain waits; empty means that it does not.
}

// Member is another entry as this one sees it.
type Member struct {
	Name        string
	Zone        string
	Region      string
	State       string // State is "unknown" for a configured entry that was never heard of.
	Incarnation string
	Version     uint64
}
