package deployment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Fault is a part that breaks a promise on purpose, to show that the checks find it.
type Fault string

// The faults.
const (
	FaultTwice Fault = "twice" // a target runs an order twice
	FaultLie   Fault = "lie"   // a target claims to have refused a request that it ran
	FaultMixed Fault = "mixed" // a target gives the answer to another request
	FaultShort Fault = "short" // a target gives a shorter answer than it was asked for
	FaultLate  Fault = "late"  // work is sent to a leaving target
	FaultFlood Fault = "flood" // a link is used beyond its limit
	FaultCut   Fault = "cut"   // a planned stop cuts requests
	FaultShift Fault = "shift" // traffic moves to another region faster than its cap
	FaultStale Fault = "stale" // a replaced entry starts from a store with an old version
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{FaultTwice, FaultLie, FaultMixed, FaultShort, FaultLate, FaultFlood, FaultCut, FaultShift, FaultStale}
}

// The accepted durations: the script's steps need some seconds each.
const (
	shortest = 5 * time.Second
	longest  = 10 * time.Minute
)

// Settings describe one run of the demo.
type Settings struct {
	Deployment string
	Duration   time.Duration // Duration is how long callers send requests.
	Seed       uint64
	Faults     []Fault
	Load       float64   // Load is the fraction of the deployment's traffic that callers send; 0 means all of it.
	Progress   io.Writer // Progress receives one line per step; nil discards them.
	Log        io.Writer // Log receives the events of all entries; nil discards them.
	Loopback   Loopback  // Loopback carries all connections; nil means TCP.
}

// Loopback connects all parts of a run.
type Loopback interface {
	Listen(ctx context.Context, network, address string) (net.Listener, error)
	Dial(ctx context.Context, from netip.Addr, network, address string) (net.Conn, error)
}

// Check returns an error that names the flag at fault and what it accepts.
func (s Settings) Check() error {
	if _, ok := plans()[s.Deployment]; !ok {
		return fmt.Errorf("deployment: --deployment %q; accepted are letters and cartridge", s.Deployment)
	}
	if s.Duration < shortest || s.Duration > longest {
		return fmt.Errorf("deployment: --duration %s is out of range; the range is %s to %s", s.Duration, shortest, longest)
	}
	for _, f := range s.Faults {
		if !slices.Contains(Faults(), f) {
			return fmt.Errorf("deployment: --fault %q; accepted are %v", f, Faults())
		}
	}
	if s.Load < 0 || s.Load > 1 {
		return fmt.Errorf("deployment: --load %v is out of range; the range is 0 to 1", s.Load)
	}
	return nil
}

// has reports whether the fault is set.
func (s Settings) has(f Fault) bool { return slices.Contains(s.Faults, f) }
