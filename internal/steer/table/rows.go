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

// Observation holds the owner's own counts at a target since the last tick.
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
	Spec          document.Target
	Service       int // Service is the index of the service in Tables.Services.
	Zone          string
	Leaving       string // Leaving is the cause of the target's draining, or empty.
	Owner         string
	Owned         bool
	HoldUntil     time.Time // HoldUntil is the time from which this entry may send requests to the target.
	NeedsRamp     bool      // NeedsRamp means that the warm-up ramp must restart.
	Observed      Observation
	Report        Report
	HasReport     bool      // HasReport means that Report holds a plausible report.
	Trust         float64   // Trust is the weight of the report, from 0 to 1.
	Load          float64   // Load is the estimated number of slots in use, including this entry's own requests.
	Latency       float64   // Latency is the smoothed latency in seconds; 0 means unknown.
	BestLatency   float64   // BestLatency is the lowest smoothed latency seen, in seconds.
	ExcessLoad    float64   // ExcessLoad is the smoothed excess of reported over observed slots in use.
	FailuresInRow int       // FailuresInRow counts the failures since the last answer.
	FailedRetries int       // FailedRetries counts the waits since the target went down.
	RetryAt       time.Time // RetryAt is the time at which a target that is down gets its next request.
	WithheldSlots float64   // WithheldSlots is the number of slots withheld after shed requests.
	LoadLimit     int       // LoadLimit is the limit that the load estimate allows.
	RampSlots     float64   // RampSlots is the number of slots that the warm-up ramp allows.
	Limit         int       // Limit is the gate's limit that results from all systems.
}

// Service is the row of a service.
type Service struct {
	Spec       document.Service
	Free       int           // Free is the number of free slots at this entry's targets.
	Slots      int           // Slots is the number of usable slots at this entry's targets.
	Latency    float64       // Latency is the mean smoothed latency of this entry's targets in seconds; 0 means unknown.
	SpillRate  float64       // SpillRate is the smoothed rate of relays to other regions per second.
	ReturnedAt time.Time     // ReturnedAt is the last time at which a target of this entry became usable again.
	Reserve    int           // Reserve is the number of slots of the region share that are reserved for more important services.
	MaxWait    time.Duration // MaxWait is the longest time that a request may be queued for a slot.
}

// Peer is the row of another entry for one service.
type Peer struct {
	Entry        string
	ServiceName  string
	Service      int // Service is the index of the service in Tables.Services.
	Region       string
	Zone         string
	State        State
	InFlight     int // InFlight counts this entry's relays to the peer.
	Started      int // Started counts the relays started since the last tick.
	Refused      int // Refused counts the relays that the peer refused since the last tick.
	Unopened     int // Unopened counts the relays since the last tick for which no connection could be opened.
	Reached      int // Reached counts the relays that the peer answered or refused since the last tick.
	SlotCount    SlotCount
	HasSlotCount bool
	LimitSetFrom time.Time // LimitSetFrom is the time of the slot count that Limit was last computed from.
	Limit        int       // Limit bounds InFlight.
	Slots        int       // Slots is the number of the service's slots that the peer owns, if it is in this region.
}

// Shift is the row of a service and a home region, served in this region.
type Shift struct {
	ServiceName string
	Service     int     // Service is the index of the service in Tables.Services.
	Home        string  // Home is the region of the callers.
	Share       int     // Share is this entry's part of the cap, in requests/s per second.
	Counts      [21]int // Counts is a ring of the requests served in each step of 100 ms; Next is the index of the current step.
	Next        int
	Baseline    float64   // Baseline is the smoothed baseline that growth starts from, in requests/s.
	Allowance   float64   // Allowance is the rate that may be served, in requests/s.
	Uncapped    bool      // Uncapped means that the cap does not apply.
	LastEvent   time.Time // LastEvent is when the last event about refused requests was emitted.
	Remaining   int       // Remaining is the number of requests that may be served until the next tick.
	Refused     int       // Refused counts the requests over the cap since the last tick.
}

// Link is the row of the link to another region.
type Link struct {
	Region    string
	Share     int64   // Share is this entry's fixed part, in bytes per second and direction.
	Rate      int64   // Rate is the share after loans, in bytes per second and direction.
	Bytes     int64   // Bytes is the number of bytes charged since the last tick.
	Used      float64 // Used is the highest recent use in bytes per second; it decays slowly.
	Lendable  int64   // Lendable is the part of the rate that may be lent.
	NeedsLoan bool    // NeedsLoan means that the use is close to the rate, so the entry would use a loan.
}

// Entry is the row of a configured entry.
type Entry struct {
	Spec        document.Entry
	Region      string
	State       State
	FailedTicks int       // FailedTicks counts the ticks in a row in which no connection could be opened.
	RetryAt     time.Time // RetryAt is the time at which an entry that is down gets its next relay.
}

// Drain is the row of a planned drain.
type Drain struct {
	Spec          document.Drain
	Started       bool // Started means that the drain has taken effect; it is not delayed afterwards.
	DelayReported bool // DelayReported means that the event for the delay has been emitted.
}
