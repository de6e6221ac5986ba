package orders

import "time"

const (
	// storeWrites and storeReads are the calls per second that the platform's store serves.
	storeWrites = 300
	storeReads  = 2000
	// zoneDelay and regionDelay are the one-way delays of the letters deployment.
	zoneDelay   = 3 * time.Millisecond
	regionDelay = 35 * time.Millisecond
	// callerDelay is the one-way delay between a caller and its entry.
	callerDelay = time.Millisecond
	// heldTicket is how long a caller keeps a ticket before its order in the last phase.
	heldTicket = time.Second
	// regions is the number of regions; the store is in the first.
	regions = 3

	tenant  = "t"
	service = "gifts"
)

// Settings are the load and the length of a measurement.
type Settings struct {
	Seed    uint64
	Entries int           // Entries is the number of entries, spread over the regions in turn.
	Rates   []int         // Rates are the offered orders per second, one phase each.
	Phase   time.Duration // Phase is the length of a phase.
	Outage  time.Duration // Outage is how long the store is down.
	After   time.Duration // After is how long the load goes on after the outage.
	Dead    time.Duration // Dead is how long the others keep counting a killed entry as alive.
}

// Defaults returns the settings of the published figures.
func Defaults() Settings {
	return Settings{
		Seed: 1, Entries: 12, Rates: []int{200, 2000, 10000}, Phase: 4 * time.Second,
		Outage: 4 * time.Second, After: 5 * time.Second, Dead: 5 * time.Second,
	}
}

// delay returns the one-way delay between two entries.
func delay(a, b int) time.Duration {
	if a%regions == b%regions {
		return zoneDelay
	}
	return regionDelay
}
