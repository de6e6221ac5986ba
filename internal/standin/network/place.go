package network

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Place is where a process runs.
type Place struct {
	Name   string // Name identifies the process.
	Zone   string // Zone is the availability zone, or empty for a client.
	Region string // Region is the region, or for a client the nearest region.
	// Address is the loopback address from which connections are dialed; for the zero value the system chooses one.
	Address netip.Addr
}

// isClient reports whether the place is a client, outside the network of the regions.
func (p Place) isClient() bool { return p.Zone == "" }

// Settings are the properties of the network.
type Settings struct {
	ZoneDelay   time.Duration    // ZoneDelay is the one-way delay between the zones of a region.
	RegionDelay time.Duration    // RegionDelay is the one-way delay between regions.
	ClientDelay time.Duration    // ClientDelay is the one-way delay to and from clients.
	Jitter      float64          // Jitter is the largest extra delay as a fraction of the delay.
	LossRate    float64          // LossRate is the probability from 0 to 1 that a chunk is lost and retransmitted.
	RateLimits  map[Pair]float64 // RateLimits holds the limits of directed pairs of regions in bytes per second.
	Seed        uint64           // Seed is the seed of jitter and loss.
	Dial        Dial             // Dial opens the underlying connections; nil means TCP.Dial.
}

// Dial opens a connection from the address from, or from any address if from is the zero value.
type Dial func(ctx context.Context, from netip.Addr, network, address string) (net.Conn, error)

// Pair is a directed pair of regions.
type Pair struct{ From, To string }

// minRetransmitDelay is the shortest time until a lost chunk is retransmitted.
const minRetransmitDelay = 20 * time.Millisecond

// delay returns the one-way delay between two places without jitter.
func (s Settings) delay(a, b Place) time.Duration {
	switch {
	case a.isClient() || b.isClient():
		if a.Region != b.Region {
			return s.ClientDelay + s.RegionDelay
		}
		return s.ClientDelay
	case a.Region != b.Region:
		return s.RegionDelay
	case a.Zone != b.Zone:
		return s.ZoneDelay
	default:
		return 0
	}
}
