package placement

// Candidate is a target that an object may be placed on, with its state as known to this entry.
type Candidate struct {
	Load  int  // Load is the number of requests that the target runs or queues.
	Slots int  // Slots is the number of requests that the target runs at once.
	Warm  bool // Warm means that the target has handled the object recently.
	Slow  bool // Slow means that the target answers too late at any load.
}

const (
	// warmDivertLoad is the load, in multiples of the slots, from which a request
	// is diverted to another target that has also handled the object, because
	// this saves any wait in the queue.
	warmDivertLoad = 0.7
	// coldDivertLoad is the load, in multiples of the slots, from which a request
	// is diverted to a target that has not handled the object. It takes about
	// three times as long there, so diverting pays only when the wait in the queue
	// would be as long as the work.
	coldDivertLoad = 2.5
)

// Pick returns the index of the candidate that a request goes to: the first, unless
// it is overloaded or slow and a later one has free slots. This helps with loads of
// many objects on few targets, where some targets are overloaded while others
// have free slots.
func Pick(candidates []Candidate) int {
	first := candidates[0]
	for i, c := range candidates[1:] {
		limit := coldDivertLoad
		if c.Warm {
			limit = warmDivertLoad
		}
		divert := first.Slow || float64(first.Load) >= limit*float64(first.Slots)
		if divert && c.Load < c.Slots && !c.Slow {
			return i + 1
		}
	}
	return 0
}
