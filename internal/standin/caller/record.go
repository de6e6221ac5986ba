package caller

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Attempt is one attempt and its outcome as the caller saw it.
type Attempt struct {
	ID      string // ID is the id in the path. The attempts of an order share it; other attempts have one each.
	Key     string // Key is the idempotency key of an order in this attempt, or empty.
	Entry   string
	Target  string
	Verdict string // Verdict is ran, not-run or may-have-run; a lost response counts as may-have-run.
	Reason  string // Reason is the reason that the entry stated, or lost, timeout or unreached without a response.
	Detail  string // Detail is the error of an attempt without a response.
	Status  int
	Start   time.Time
	End     time.Time
}

// Record is one request with all its attempts.
type Record struct {
	ID        string
	Caller    string
	Tenant    string
	Service   string
	Kind      Kind
	Attempts  []Attempt
	Mismatch  string // Mismatch states why a complete response doesn't answer this request; empty otherwise.
	Truncated bool   // Truncated is set when the caller detected a truncated response.
	Stopped   bool   // Stopped is set when the run ended before the request did.
}

// LastAttempt returns the last attempt; for a request that was never sent, its verdict is not-run.
func (r Record) LastAttempt() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{Verdict: "not-run", Reason: "no-entry"}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// mayHaveRun reports whether an earlier attempt with the order's key may have run.
func (r Record) mayHaveRun(key string) bool {
	return key != "" && slices.ContainsFunc(r.Attempts, func(t Attempt) bool { return t.Key == key && t.Verdict != "not-run" })
}

// Latency returns the time from the first attempt to the end of the last one.
func (r Record) Latency() time.Duration {
	if len(r.Attempts) == 0 {
		return 0
	}
	return r.LastAttempt().End.Sub(r.Attempts[0].Start)
}

// Summary counts the requests to one service.
type Summary struct {
	Service  string
	Requests int
	Ran      int
	NotRun   int                     // NotRun counts requests whose last verdict was not-run.
	Unknown  int                     // Unknown counts requests whose last verdict was may-have-run.
	Retried  int                     // Retried counts requests with more than one attempt.
	Latency  *hdrhistogram.Histogram // Latency holds the latencies in microseconds of the requests that ran.
}

// maxLatency is the highest latency of a histogram in microseconds.
const maxLatency = int64(10 * time.Minute / time.Microsecond)

// Summarize counts the records of each service, except requests that were stopped by the end of the run.
func Summarize(records []Record) map[string]*Summary {
	all := make(map[string]*Summary)
	for _, r := range records {
		if r.Stopped {
			continue
		}
		s, ok := all[r.Service]
		if !ok {
			s = &Summary{Service: r.Service, Latency: hdrhistogram.New(1, maxLatency, 3)}
			all[r.Service] = s
		}
		s.add(r)
	}
	return all
}

func (s *Summary) add(r Record) {
	s.Requests++
	if len(r.Attempts) > 1 {
		s.Retried++
	}
	switch r.LastAttempt().Verdict {
	case "ran":
		s.Ran++
		_ = s.Latency.RecordValue(min(r.Latency().Microseconds(), maxLatency))
	case "not-run":
		s.NotRun++
	default:
		s.Unknown++
	}
}
