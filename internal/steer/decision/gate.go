package decision

import (
	"sync/atomic"
	"time"
)

// Gate is a concurrency limiter: it counts the slots in use at one target or the
// relays in flight to one peer. It is shared by successive snapshots, so that
// requests in flight stay counted when limits change.
type Gate struct {
	limit        atomic.Int64
	inFlight     atomic.Int64
	started      atomic.Int64
	answered     atomic.Int64
	shed         atomic.Int64
	failed       atomic.Int64
	silent       atomic.Int64
	latency      atomic.Int64
	unopened     atomic.Int64
	reportedFree atomic.Int64 // reportedFree is a peer's last reported count of free slots plus one, or 0 without a report.
}

// Take reserves a slot if one is free and reports whether it did.
func (g *Gate) Take() bool {
	for {
		n := g.inFlight.Load()
		if n >= g.limit.Load() {
			return false
		}
		if g.inFlight.CompareAndSwap(n, n+1) {
			g.started.Add(1)
			return true
		}
	}
}

// SetLimit sets the largest number of slots in use; requests in flight above it are not interrupted.
func (g *Gate) SetLimit(n int) { g.limit.Store(int64(n)) }

// Limit returns the largest number of slots in use.
func (g *Gate) Limit() int { return int(g.limit.Load()) }

// InFlight returns the number of slots in use.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

// Free returns the number of free slots.
func (g *Gate) Free() int { return max(0, int(g.limit.Load()-g.inFlight.Load())) }

// Count holds the counts of a gate since the last call of TakeCounts.
type Count struct {
	InFlight  int
	Started   int
	Answered  int
	Shed      int
	Failed    int
	Silent    int
	Unopened  int           // Unopened counts the relays for which no connection could be opened.
	Latency   time.Duration // Latency is the sum over the answered requests.
	FreeKnown bool          // FreeKnown means that a peer has reported its count of free slots.
	Free      int           // Free is that count.
}

// TakeCounts returns the counts since the last call and resets them.
func (g *Gate) TakeCounts() Count {
	reported := g.reportedFree.Swap(0)
	return Count{
		FreeKnown: reported > 0,
		Free:      int(reported) - 1,
		InFlight:  g.InFlight(),
		Started:   int(g.started.Swap(0)),
		Answered:  int(g.answered.Swap(0)),
		Shed:      int(g.shed.Swap(0)),
		Failed:    int(g.failed.Swap(0)),
		Silent:    int(g.silent.Swap(0)),
		Unopened:  int(g.unopened.Swap(0)),
		Latency:   time.Duration(g.latency.Swap(0)),
	}
}

func (g *Gate) finish(r Result) {
	switch r.Kind {
	case Answered:
		g.answered.Add(1)
		g.latency.Add(int64(max(0, r.Latency)))
	case Shed:
		g.shed.Add(1)
	case Failed:
		g.failed.Add(1)
	case Silent:
		g.silent.Add(1)
	case Cancelled:
	}
	g.inFlight.Add(-1)
}
