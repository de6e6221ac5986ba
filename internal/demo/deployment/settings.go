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

// Fault is an injected fault that breaks a promise, to show that the checks detect it.
type Fault string

// The faults that can be injected.
const (
	FaultTwice Fault = "twice" // a target runs an order twice
	FaultLie   Fault = "lie"   // a target claims to have refused a request that it ran
	FaultMixed Fault = "mixed" // a target sends the response to another request
	FaultShort Fault = "short" // a target sends a shorter response than requested
	FaultLate  Fault = "late"  // a request is sent to a leaving target after its leaving time
	FaultFlood Fault = "flood" // a link carries more than its limit
	FaultCut   Fault = "cut"   // a planned stop aborts requests
	FaultShift Fault = "shift" // traffic moves to another region faster than its cap
	FaultStale Fault = "stale" // a replaced entry starts from a store with an old version
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{FaultTwice, FaultLie, FaultMixed, FaultShort, FaultLate, FaultFlood, FaultCut, FaultShift, FaultStale}
}

// The range of accepted durations. The minimum leaves the script's steps enough time.
const (
	minDuration = 5 * time.Second
	maxDuration = 10 * time.Minute
)

// Settings configures one run of the demo.
type Settings struct {
	Deployment   string
	Duration     time.Duration // Duration is the time for which callers send requests.
	Seed         uint64
	Faults       []Fault
	LoadFraction float64   // LoadFraction is the fraction of the deployment's traffic that callers send; 0 means all of it.
	Progress     io.Writer // Progress receives one line per step; nil discards the lines.
	Log          io.Writer // Log receives the events of all entries; nil discards them.
	Loopback     Loopback  // Loopback carries all connections; nil means TCP.
}

// Loopback opens the listeners and connections of all parts of a run.
type Loopback interface {
	Listen(ctx context.Context, network, address string) (net.Listener, error)
	Dial(ctx context.Context, from netip.Addr, network, address string) (net.Conn, error)
}

// Check returns an error that names the invalid flag and the accepted values.
func (s Settings) Check() error {
	if _, ok := plans()[s.Deployment]; !ok {
		return fmt.Errorf("deployment: --deployment %q; accepted are letters and cartridge", s.Deployment)
	}
	if s.Duration < minDuration || s.Duration > maxDuration {
		return fmt.Errorf("deployment: --duration %s is out of range; the range is %s to %s", s.Duration, minDuration, maxDuration)
	}
	for _, f := range s.Faults {
		if !slices.Contains(Faults(), f) {
			return fmt.Errorf("deployment: --fault %q; accepted are %v", f, Faults())
		}
	}
	if s.LoadFraction < 0 || s.LoadFraction > 1 {
		return fmt.Errorf("deployment: --load %v is out of range; the range is 0 to 1", s.LoadFraction)
	}
	return nil
}

// hasFault reports whether the fault is set.
func (s Settings) hasFault(f Fault) bool { return slices.Contains(s.Faults, f) }
