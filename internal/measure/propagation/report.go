package propagation

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Fault is the fault that is injected around each patch.
type Fault string

// The faults.
const (
	NoFault       Fault = "none"
	StoreDown     Fault = "store-down" // the store is down from the acceptance until all entries have the version
	PacketLoss    Fault = "lossy"      // 5% of the chunks between VMs are lost and retransmitted
	EntryReplaced Fault = "replaced"   // an entry is killed before the patch and its replacement starts at the acceptance
)

// Latencies are quantiles and the maximum in milliseconds.
type Latencies struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func latenciesOf(h *hdrhistogram.Histogram) Latencies {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latencies{ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}

// StoreCalls are the calls to the store per second; each long poll of a watch counts as a read.
type StoreCalls struct {
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
	Watches float64 `json:"watches"` // Watches is the mean number of waiting watches.
}

// Row is the result for one fleet size and fault.
type Row struct {
	Nodes              int         `json:"nodes"`
	Fault              Fault       `json:"fault"`
	Changes            int         `json:"changes"`
	EntryLatencies     Latencies   `json:"entry"`  // EntryLatencies is the time from the acceptance of a change to its adoption by an entry.
	LastEntryLatencies Latencies   `json:"last"`   // LastEntryLatencies is the time from the acceptance of a change to its adoption by the last entry.
	Missed             int         `json:"missed"` // Missed is how often an entry did not have a version within 15 s.
	IdleCalls          *StoreCalls `json:"idle,omitempty"`
	BusyCalls          *StoreCalls `json:"busy,omitempty"` // BusyCalls is measured while changes are made.
	Rate               float64     `json:"rate"`           // Rate is the number of changes per second.
}

// Report is the result of a run.
type Report struct {
	Rows []Row `json:"rows"`
}

// String returns the report as lines of text.
func (r Report) String() string {
	var b strings.Builder
	for _, w := range r.Rows {
		fmt.Fprintf(&b, "%d nodes, fault %s, %d changes at %.2f/s: entry p50 %.1f p99 %.1f max %.1f ms; last p50 %.1f p99 %.1f max %.1f ms; missed %d\n",
			w.Nodes, w.Fault, w.Changes, w.Rate, w.EntryLatencies.P50, w.EntryLatencies.P99, w.EntryLatencies.Max, w.LastEntryLatencies.P50, w.LastEntryLatencies.P99, w.LastEntryLatencies.Max, w.Missed)
		for _, c := range []struct {
			name  string
			calls *StoreCalls
		}{{"idle", w.IdleCalls}, {"busy", w.BusyCalls}} {
			if c.calls != nil {
				fmt.Fprintf(&b, "  store %s: %.2f reads/s, %.2f writes/s, %.1f watches wait\n", c.name, c.calls.Reads, c.calls.Writes, c.calls.Watches)
			}
		}
	}
	return b.String()
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (2 * propagationTimeout / time.Microsecond).Nanoseconds(), 3)
}
