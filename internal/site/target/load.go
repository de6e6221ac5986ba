package target

// Load is what a target reports of its load in an answer.
type Load struct {
	Running int // Running is the number of requests that the target runs.
	Waiting int // Waiting is the number of requests in its queue.
	Slots   int // Slots is the number of requests that it runs concurrently.
	// WorkTime is how long work takes on the target's machine at the moment of the answer, relative to the usual time; 1 when the target does not say.
	WorkTime float64
}
