package target

import "time"

// Settings are the properties of a target; a zero value means that the property is absent.
type Settings struct {
	Name       string
	Slots      int           // Slots is the number of requests that run at once; 0 means 1.
	Seed       uint64        // Seed starts the random service times.
	Mean       time.Duration // Mean is the mean service time of a warm target.
	Spread     float64       // Spread is the fraction of the mean by which service times vary, from 0 to 1.
	Cold       int           // Cold is the number of requests until the cache is warm.
	ColdFactor float64       // ColdFactor is the factor on the first request's service time; it falls to 1 over Cold requests.
	Open       time.Duration // Open is the start-up cost of a connection; real targets take about 1 ms.
}

// Faults are what is wrong with a target at the moment.
type Faults struct {
	Cut              bool          // Cut ends answers in the middle.
	Late             time.Duration // Late delays answers after the request has run.
	IgnoresDeadlines bool          // IgnoresDeadlines ignores deadlines and cancellations.
	Twice            bool          // Twice runs every request twice.
	NoReport         bool          // NoReport has GET /load not answer.
	Factor           float64       // Factor multiplies the reported load; 0 means the truth.
	Lag              time.Duration // Lag is the age of the reported load.
	Shedding         bool          // Shedding refuses every request before it starts.
	DieBefore        bool          // DieBefore kills the target when a request arrives, before it runs.
	DieAfter         bool          // DieAfter kills the target when a request has run, before its answer.
}

// Run is one execution of a request.
type Run struct {
	Tenant  string
	Key     string // Key is the idempotency key.
	Attempt string
	Path    string
	At      time.Time
}
