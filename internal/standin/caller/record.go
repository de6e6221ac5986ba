package caller

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Try is what the caller was told about one attempt.
type Try struct {
	ID      string // ID stands in the path; repeats of an order share it, other attempts have one each.
	Key     string // Key is the order's key in this attempt, or empty.
	Entry   string
	Target  string
	Verdict string // Verdict is ran, not-run or may-have-run; a lost response counts as may-have-run.
	Reason  string // Reason is what the entry gave, or lost, timeout or unreached when there was no response.
	Detail  string // Detail is the error of an attempt without a response.
	Status  int
	Start   time.Time
	End     time.Time
}

// Record is one request with all its attempts.
type Record struct {
	ID      string
	Caller  string
	Tenant  string
	Service string
	Kind    Kind
	Tries   []Try
	Wrong   string // Wrong says why a complete response was not the answer to this request.
	Short   bool   // Short is set when a response was cut and the caller noticed it.
	Stopped bool   // Stopped is set when the run ended before the request did.
}

// Last returns the verdict of the last attempt; a request that was never sent has not run.
func (r Record) Last() Try {
	if len(r.Tries) == 0 {
		return Try{Verdict: "not-run", Reason: "no-entry"}
	}
	return r.Tries[len(r.Tries)-1]
}

// uncertain reports whether an earlier attempt of the order's key may have run.
func (r Record) uncertain(key string) bool {
	return key != "" && slices.ContainsFunc(r.Tries, func(t Try) bool { return t.Key == key && t.Verdict != "not-run" })
}

// Latency returns the time from the first attempt to the end of the last one.
func (r Record) Latency() time.Duration {
	if len(r.Tries) == 0 {
		return 0
	}
	return r.Last().End.Sub(r.Tries[0].Start)
}

// Summary counts the requests to one service.
type Summary struct {
	Service  string
	Requests int
	Ran      int
	NotRun   int // NotRun counts requests whose last verdict was not-run.
	Unknown  int // Unknown counts requests whose last verdict was may-have-run.
	Retried  int // Retried counts requests with more than one attempt.
	Latency  *hdrhistogram.Histogram
}

// longest is the highest latency that a histogram keeps, in microseconds.
const longest = int64(10 * time.Minute / time.Microsecond)

// Summarize counts the records of each service; requests that the end of the run stopped are left out.
func Summarize(records []Record) map[string]*Summary {
	all := make(map[string]*Summary)
	for _, r := range records {
		if r.Stopped {
			continue
		}
		s, ok := all[r.Service]
		if !ok {
			s = &Summary{Service: r.Service, Latency: hdrhistogram.New(1, longest, 3)}
			all[r.Service] = s
		}
		s.add(r)
	}
	return all
}

func (s *Summary) add(r Record) {
	s.Requests++
	if len(r.Tries) > 1 {
		s.Retried++
	}
	switch r.Last().Verdict {
	case "ran":
		s.Ran++
		_ = s.Latency.RecordValue(min(r.Latency().Microseconds(), longest))
	case "not-run":
		s.NotRun++
	default:
		s.Unknown++
	}
}
