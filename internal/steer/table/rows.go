package table

import (
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/record/event"
)

// Event is a numbered event with its alternating keys and values.
type Event struct {
	Number  event.Number
	Keyvals []any
}

// Observation is what the owner has counted at a target since the last tick.
type Observation struct {
	InFlight int
	Answered int
	Shed     int
	Failed   int
	Silent   int
	Latency  time.Duration // Latency is the sum over the answered requests.
}

// Target is the row of a target of this entry's region.
type Target struct {
	Spec    document.Target
	Service int
	Zone    string
	Leaving string // Leaving is the cause for which the target leaves, or empty.
	Owner   string
	Mine    bool
	Hold    time.Time // Hold is when this entry may first admit to the target.
	Fresh   bool      // Fresh means that the ramp has to be started over.
	Seen    Observation
	Report  Report
	Heard   bool      // Heard means that Report holds a possible report.
	Trust   float64   // Trust is the weight of the report, from 0 to 1.
	Load    float64   // Load is the estimate of the slots in use, own ones included.
	Latency float64   // Latency is the smoothed time of an answer in seconds; 0 means that it is not known.
	Best    float64   // Best is the lowest smoothed latency seen, in seconds.
	Foreign float64   // Foreign is the smoothed excess of reported over observed slots in use.
	Down    int       // Down counts failures without an answer in between.
	Retry   time.Time // Retry is when a target that is down gets its next request.
	Cut     float64   // Cut is the number of slots withheld after sheds.
	Bound   int       // Bound is the limit that the load estimate allows.
	Warm    float64   // Warm is the number of slots that the ramp allows.
	Limit   int       // Limit is the gate's limit after all systems.
}

// Service is the row of a service.
type Service struct {
	Spec     document.Service
	Free     int // Free counts the free slots that this entry owns.
	Slots    int // Slots counts the open slots that this entry owns.
	Latency  float64
	Spilled  float64   // Spilled is the smoothed rate of relays to other regions per second.
	Returned time.Time // Returned is when a target of this entry last came back.
	Reserve  int       // Reserve is the part of the region share that the service may not use.
	Patience time.Duration
}

// Peer is the row of another entry for one service.
type Peer struct {
	Entry    string
	Name     string // Name is the service's.
	Service  int
	Region   string
	Zone     string
	State    State
	InFlight int // InFlight counts this entry's relays to the peer.
	Started  int // Started counts the relays started since the last tick.
	Refused  int // Refused counts the relays that the peer refused since the last tick.
	Unopened int // Unopened counts the relays since the last tick for which no connection could be opened.
	Reached  int // Reached counts the relays since the last tick that the peer has answered or refused.
	Room     Room
	Heard    bool
	Used     time.Time // Used is the time of the room that Limit was set from.
	Limit    int       // Limit bounds InFlight.
	Slots    int       // Slots is the slots of the service that a peer of this region owns.
}

// Shift is the row of a service and a home region, served in this region.
type Shift struct {
	Name    string // Name is the service's.
	Service int
	Home    string
	Share   int     // Share is this entry's part of the cap in requests/s per second.
	Counts  [21]int // Counts holds the requests served in steps of 100 ms; Next is the current one.
	Next    int
	Base    float64 // Base is the smoothed rate that growth starts from, in requests/s.
	Allow   float64 // Allow is the rate that may be served, in requests/s.
	Open    bool    // Open means that the cap does not apply.
	Since   time.Time
	Left    int // Left is the number of requests that may be served in the next tick.
	Refused int // Refused counts the requests over the cap since the last tick.
}

// Link is the row of the link to another region.
type Link struct {
	Region string
	Share  int64   // Share is this entry's fixed part in bytes per second and direction.
	Rate   int64   // Rate is the share after loans, in bytes per second and direction.
	Bytes  int64   // Bytes were charged since the last tick.
	Used   float64 // Used is the highest recent use in bytes per second; it falls slowly.
	Spare  int64   // Spare is the part of the rate that may be lent.
	Short  bool    // Short means that the use is near the rate and a loan would help.
}

// Entry is the row of a configured entry.
type Entry struct {
	Spec   document.Entry
	Region string
	State  State
	Down   int       // Down counts the ticks with connections that could not be opened, without an answer in between.
	Retry  time.Time // Retry is when an entry that is down gets its next relay.
}

// Drain is the row of a planned drain.
type Drain struct {
	Spec    document.Drain
	Started bool // Started means that the drain was in force; it is not delayed afterwards.
	Told    bool // Told means that the delay has been reported.
}
