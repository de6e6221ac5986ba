package refusal

import "time"

// TargetLoad is the known load of the least loaded target that may serve a request.
type TargetLoad struct {
	Load  int // Load is the number of requests that the target runs or queues.
	Slots int // Slots is the number of requests that the target runs at once.
}

const (
	// MinDelay is the shortest delay: it covers the network delay of the answer and
	// a spread, so that callers refused at the same time do not retry at the same time.
	MinDelay = 40 * time.Millisecond
	// MaxDelay is the longest delay; the known load is outdated after it.
	MaxDelay = time.Second
	// serviceTimeFraction is the assumed time of a request, as a fraction of the
	// rule's latency objective, at a target that has handled the object before.
	serviceTimeFraction = 0.5
)

// RetryDelay returns the delay after which the target probably has a free slot for
// one more request of a rule with the given latency objective. A target with free
// slots that refused a request did so for another reason and may accept the next
// one at once, so the delay is then MinDelay.
func RetryDelay(l TargetLoad, objective time.Duration) time.Duration {
	if l.Slots <= 0 {
		return MaxDelay
	}
	completions := l.Load + 1 - l.Slots
	if completions <= 0 {
		return MinDelay
	}
	work := time.Duration(serviceTimeFraction * float64(objective))
	return min(MaxDelay, max(MinDelay, work*time.Duration(completions)/time.Duration(l.Slots)))
}
