package refusal

import "time"

// Room is what is known of the least loaded target that may serve a request.
type Room struct {
	Load  int // Load is how many requests the target runs and holds waiting.
	Slots int // Slots is how many it runs at once.
}

const (
	// Least is the shortest advice: the way of the answer, and a spread that
	// keeps callers that were refused together from coming back together.
	Least = 40 * time.Millisecond
	// Most is the longest advice; what is known of the load is older by then.
	Most = time.Second
	// workPart is the part of a rule's objective that a run is taken to last
	// when the object is known to the target.
	workPart = 0.5
)

// After returns when the target probably has a free slot for one more request
// of a rule with the given objective. A target with free slots that turned a
// request away did so for a reason of its own and may take the next at once.
func After(r Room, objective time.Duration) time.Duration {
	if r.Slots <= 0 {
		return Most
	}
	ahead := r.Load + 1 - r.Slots
	if ahead <= 0 {
		return Least
	}
	work := time.Duration(workPart * float64(objective))
	return min(Most, max(Least, work*time.Duration(ahead)/time.Duration(r.Slots)))
}
