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
	Region string // Region is the region, or for a client the region it is nearest to.
	// Address is the loopback address from which connections start; the zero value leaves it to the system.
	Address netip.Addr
}

// client reports whether the place lies outside the regions' own network.
func (p Place) client() bool { return p.Zone == "" }

// Settings are the properties of the network.
type Settings struct {
	Zones   time.Duration    // Zones is the one-way delay between the zones of a region.
	Regions time.Duration    // Regions is the one-way delay between regions.
	Clients time.Duration    // Clients is the one-way delay to and from clients.
	Jitter  float64          // Jitter is the largest extra delay as a fraction of the delay.
	Loss    float64          // Loss is the probability from 0 to 1 that a chunk is lost and sent again.
	Rates   map[Pair]float64 // Rates are the limits in bytes per second of directed pairs of regions.
	Seed    uint64           // Seed makes jitter and loss repeatable.
	Dial    Dial             // Dial opens the connections below; nil means those of TCP.
}

// Dial opens a connection that starts at an address, or at any where that is the zero value.
type Dial func(ctx context.Context, from netip.Addr, network, address string) (net.Conn, error)

// Pair is a directed pair of regions.
type Pair struct{ From, To string }

// retransmission is the shortest time until a lost chunk is sent again.
const retransmission = 20 * time.Millisecond

// delay returns the one-way delay between two places without jitter.
func (s Settings) delay(a, b Place) time.Duration {
	switch {
	case a.client() || b.client():
		if a.Region != b.Region {
			return s.Clients + s.Regions
		}
		return s.Clients
	case a.Region != b.Region:
		return s.Regions
	case a.Zone != b.Zone:
		return s.Zones
	default:
		return 0
	}
}
