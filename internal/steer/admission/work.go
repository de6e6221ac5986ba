package admission

import "time"

const (
	// minSamples is the number of answers from which on a work time counts as known.
	minSamples = 5
	// sampleWeight is the weight of a new answer in a mean: the mean follows a change within some ten answers.
	sampleWeight = 0.1
)

// mean is a moving mean of durations; the first samples have equal weights.
type mean struct {
	seconds float64
	samples int
}

func (m *mean) add(d time.Duration) {
	m.samples++
	m.seconds += max(sampleWeight, 1/float64(m.samples)) * (d.Seconds() - m.seconds)
}

func (m *mean) known() bool { return m.samples >= minSamples }

func (m *mean) duration() time.Duration { return time.Duration(m.seconds * float64(time.Second)) }

// workKey identifies a work time: a target that has handled the object before needs less of it.
type workKey struct {
	rule string
	warm bool
}

// Work estimates the time that the requests of one service take at a target. It learns from the latencies of
// requests that were sent to targets with free slots, which contain no time in a queue.
type Work struct {
	byRule map[workKey]*mean
	all    mean // all is the mean over all rules, as they wait in a queue together.
}

// Record records the latency of an answered request that was sent to a target with a free slot.
func (w *Work) Record(rule string, warm bool, latency time.Duration) {
	if w.byRule == nil {
		w.byRule = make(map[workKey]*mean)
	}
	k := workKey{rule, warm}
	m := w.byRule[k]
	if m == nil {
		m = &mean{}
		w.byRule[k] = m
	}
	m.add(latency)
	w.all.add(latency)
}

// Candidate is a target that a request may go to.
type Candidate struct {
	Load  int  // Load is the number of requests that the target runs or queues.
	Slots int  // Slots is the number of requests that the target runs at once.
	Warm  bool // Warm means that the target has handled the request's object recently.
}

// Full reports whether the target has no free slot.
func (c Candidate) Full() bool { return c.Load >= c.Slots }

// Completion returns the expected time from now until a request of the rule is answered by the target, and whether it is known.
func (w *Work) Completion(rule string, c Candidate) (time.Duration, bool) {
	m := w.byRule[workKey{rule, c.Warm}]
	if m == nil || !m.known() || c.Slots <= 0 {
		return 0, false
	}
	// Requests in the queue are ahead; those that run have on average half of their work left.
	start := 0.0
	if c.Full() {
		start = (float64(c.Load-c.Slots) + 0.5) / float64(c.Slots) * w.all.seconds
	}
	return m.duration() + time.Duration(start*float64(time.Second)), true
}
