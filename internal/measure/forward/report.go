package forward

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are the latencies within which 50%, 99% and 99.9% of the requests were answered.
type Quantiles struct{ P50, P99, P999 time.Duration }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
	return Quantiles{at(50), at(99), at(99.9)}
}

func (q Quantiles) minus(o Quantiles) Quantiles {
	return Quantiles{q.P50 - o.P50, q.P99 - o.P99, q.P999 - o.P999}
}

// String returns the three latencies in microseconds.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %d µs, p99 %d µs, p99.9 %d µs", q.P50.Microseconds(), q.P99.Microseconds(), q.P999.Microseconds())
}

// Level is the result for one number of concurrent callers.
type Level struct {
	Callers int
	Full    float64 // Full is the requests/s through the entry when every caller sends without pauses.
	Rate    float64 // Rate is the requests/s at which the latencies were measured. Direct calls run at the same rate, and both together make half load.
	Direct  Quantiles
	Through Quantiles
	Added   Quantiles // Added is Through minus Direct.
}

// Report is the result of a run.
type Report struct {
	Levels  []Level
	Core    float64 // Core is the requests/s that the entry can forward per core; the CPU time of caller and target is not counted.
	Allocs  float64 // Allocs is the number of heap allocations that the entry adds per request.
	Bytes   float64 // Bytes is the number of bytes that the entry allocates per request.
	Idle    int64   // Idle is the memory in bytes of all idle callers, both ends of their connections.
	Uploads int64   // Uploads is the memory in bytes of all uploads in progress, including caller and target.
	Errors  int64   // Errors is the number of requests that took longer than the histograms can record, about 10 s; a failed request ends the run with an error.
}

// String returns the report as lines of text.
func (r Report) String() string {
	var b strings.Builder
	for _, l := range r.Levels {
		fmt.Fprintf(&b, "%d callers: full %.0f/s; at %.0f/s added %v; direct %v\n", l.Callers, l.Full, l.Rate, l.Added, l.Direct)
	}
	fmt.Fprintf(&b, "entry: %.0f requests/s per core, %.1f allocations and %.0f bytes per request\n", r.Core, r.Allocs, r.Bytes)
	fmt.Fprintf(&b, "memory: idle callers %.1f MB, uploads %.1f MB; errors %d\n", float64(r.Idle)/1e6, float64(r.Uploads)/1e6, r.Errors)
	return b.String()
}
