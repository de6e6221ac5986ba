package orders

import "time"

const (
	// storeWritesPerSecond and storeReadsPerSecond are the rate limits of the platform's store.
	storeWritesPerSecond = 300
	storeReadsPerSecond  = 2000
	// zoneDelay and regionDelay are the one-way delays of the example deployment "letters".
	zoneDelay   = 3 * time.Millisecond
	regionDelay = 35 * time.Millisecond
	// callerDelay is the one-way delay between a caller and its entry.
	callerDelay = time.Millisecond
	// ticketHoldTime is how long a caller holds a ticket before it sends the order in the last phase.
	ticketHoldTime = time.Second
	// regions is the number of regions; the store is in the first.
	regions = 3

	tenant  = "t"
	service = "gifts"
)

// Settings holds the load and the phase lengths of a measurement.
type Settings struct {
	Seed             uint64
	Entries          int           // Entries is the number of entries, spread round-robin over the regions.
	OrderRates       []int         // OrderRates are the offered orders per second, one phase each.
	Phase            time.Duration // Phase is the length of a phase.
	Outage           time.Duration // Outage is how long the store is down.
	PhaseAfterOutage time.Duration // PhaseAfterOutage is the length of each phase after the outage.
	DeathDetection   time.Duration // DeathDetection is how long the other entries still consider a killed entry alive.
}

// DefaultSettings returns the settings of the published figures.
func DefaultSettings() Settings {
	return Settings{
		Seed: 1, Entries: 12, OrderRates: []int{200, 2000, 10000}, Phase: 4 * time.Second,
		Outage: 4 * time.Second, PhaseAfterOutage: 5 * time.Second, DeathDetection: 5 * time.Second,
	}
}

// entryDelay returns the one-way delay between two entries.
func entryDelay(a, b int) time.Duration {
	if a%regions == b%regions {
		return zoneDelay
	}
	return regionDelay
}
