package target

import "time"

// Settings are the properties of a target. A zero value means that the target lacks the property, unless stated otherwise.
type Settings struct {
	Name              string
	Slots             int           // Slots is the number of requests that run at once; 0 means 1.
	Seed              uint64        // Seed is the seed of the random service times.
	MeanServiceTime   time.Duration // MeanServiceTime is the mean service time of a warm target.
	ServiceTimeSpread float64       // ServiceTimeSpread is the fraction of the mean by which service times vary, from 0 to 1.
	WarmUpRequests    int           // WarmUpRequests is the number of requests that warm up the cache.
	ColdFactor        float64       // ColdFactor is the factor on the first request's service time; it falls to 1 over WarmUpRequests requests.
	ConnSetupTime     time.Duration // ConnSetupTime is the setup time of a connection; real targets take about 1 ms.
}

// Faults are the faults in force at a target.
type Faults struct {
	TruncateResponses bool          // TruncateResponses closes the connection in the middle of each response.
	ResponseDelay     time.Duration // ResponseDelay is the delay of responses after the request has run.
	IgnoresDeadlines  bool          // IgnoresDeadlines makes the target ignore deadlines and cancellations.
	RunTwice          bool          // RunTwice makes the target run every request twice.
	NoLoadReport      bool          // NoLoadReport makes GET /load hang.
	LoadReportFactor  float64       // LoadReportFactor multiplies the reported load; 0 means that the actual load is reported.
	LoadReportAge     time.Duration // LoadReportAge is the age of the reported load.
	Shedding          bool          // Shedding makes the target reject every request before it starts.
	KillBeforeRun     bool          // KillBeforeRun kills the target when a request arrives, before it runs.
	KillAfterRun      bool          // KillAfterRun kills the target when a request has run, before its response.
}

// Run is one execution of a request.
type Run struct {
	Tenant  string
	Key     string // Key is the idempotency key.
	Attempt string // Attempt is the id of the attempt.
	Path    string
	At      time.Time // At is the start of the run.
}
