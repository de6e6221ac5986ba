package operator

import "time"

// Status is one entry's view of itself and the fleet at one time.
type Status struct {
	Entry             string
	Region            string
	Zone              string
	At                time.Time
	Version           uint64        // Version is the adopted configuration; 0 means none.
	Floor             uint64        // Floor is the lowest version that the entry may serve with.
	Isolated          bool          // Isolated means that neither the store nor a peer can be reached.
	StoreReachable    bool          // StoreReachable reports whether the last call to the store got a response.
	VMListAge         time.Duration // VMListAge is the age of the VM list; negative means that it was never read.
	Uptime            time.Duration // Uptime is how long this incarnation has been running.
	Targets           []Target      // Targets are those that this entry owns or still has requests in flight to.
	Regions           []Region
	Links             []Link
	Drains            []Drain
	Members           []Member
	ConfiguredTargets []Target // ConfiguredTargets lists every configured target, with only its name, service, zone, region and slots.
}

// Target is a target as seen by an entry that uses it.
type Target struct {
	Name    string
	Service string
	Zone    string
	Region  string
	Owner   string
	Owned   bool    // Owned is false at a former owner that still has requests in flight.
	Busy    int     // Busy is the number of this entry's requests in flight.
	Limit   int     // Limit is the current limit of this entry's gate, which admits requests only while Busy is below it.
	Slots   int     // Slots is the configured limit.
	Load    float64 // Load is the estimated number of requests at the target.
	Trust   float64 // Trust is the weight of the target's own reports, from 0 to 1.
	Leaving bool
	Cause   string // Cause is the reason why the target is leaving.
	Quiet   bool   // Quiet means that the target is leaving and this entry has nothing in flight to it.
}

// Region is the use of a region as seen by this entry.
type Region struct {
	Name  string
	Busy  int // Busy is the number of requests in flight at this entry's targets.
	Limit int // Limit is the configured limit of requests in flight in this entry's region; 0 means the sum of its slots. It is 0 for other regions.
	Free  int // Free is the number of free slots that the entries of the region report.
}

// Link is this entry's use of one direction of a link.
type Link struct {
	From, To string
	Used     int64 // Used is this entry's use in bytes per second.
	Share    int64 // Share is this entry's limit in bytes per second.
	Limit    int64 // Limit is the configured limit of the whole link in bytes per second.
}

// Drain is the progress of a configured drain at this entry.
type Drain struct {
	Name    string
	Targets []string // Targets are the names of all drained targets.
	Busy    int      // Busy is the number of this entry's requests in flight to them.
	Active  bool     // Active means that the drain is in force now.
	Quiet   bool     // Quiet means that the drain is in force and this entry has nothing in flight to its targets.
	Delayed string   // Delayed is the reason, with numbers, why the drain is delayed; empty means that it is not.
}

// Member is an entry as seen by this one.
type Member struct {
	Name        string
	Zone        string
	Region      string
	State       string // State is "unknown" for a configured entry that is not in the membership.
	Incarnation string
	Version     uint64
}
