package placement

// Home is one of an object's places as an entry sees it.
type Home struct {
	Load  int  // Load is how many requests the target runs and holds waiting.
	Slots int  // Slots is how many it runs at once.
	Warm  bool // Warm says that the target has lately handled the object.
	Slow  bool // Slow says that the target answers too late, whatever its load.
}

const (
	// warmCrowd is the load, in multiples of the slots, from which a request
	// goes to a further place that has the object too: any wait is saved there.
	warmCrowd = 0.7
	// coldCrowd is the load from which a request goes to a place that has not
	// handled the object. Work there takes about three times as long, so that
	// the wait must be as long as the work.
	coldCrowd = 2.5
)

// Pick returns the index of the home that a request goes to: the first, unless
// it is crowded and a later one has free slots. The load for which this is
// made is many objects on few targets, where some targets are asked for more
// than they can run while others have room.
func Pick(homes []Home) int {
	first := homes[0]
	for i, h := range homes[1:] {
		limit := coldCrowd
		if h.Warm {
			limit = warmCrowd
		}
		crowded := first.Slow || float64(first.Load) >= limit*float64(first.Slots)
		if crowded && h.Load < h.Slots && !h.Slow {
			return i + 1
		}
	}
	return 0
}
