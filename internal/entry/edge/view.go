package edge

import (
	"time"

	"tamarackspool/internal/site/book"
	"tamarackspool/internal/site/census"
	"tamarackspool/internal/site/target"
	"tamarackspool/internal/steer/health"
	"tamarackspool/internal/steer/pace"
	"tamarackspool/internal/steer/placement"
)

// seat is a target with what this entry has seen of it. It is replaced when
// its registration changes; gauge and pacer stay.
type seat struct {
	target target.Target
	mark   uint64
	gauge  *health.Gauge
	pacer  *pace.Pacer
	// coldUntil is when the target is taken to be warmed up: by its own report, or because its zone was emptied.
	coldUntil time.Time
	confirmed time.Time // confirmed is when a heartbeat of this start was last read.
	revision  uint64
	// lapsed is until when the target may be used without a registration; the zero time while it has one.
	lapsed time.Time
}

// bench holds the targets of a service and their weights for the objects of
// this entry's region.
type bench struct {
	seats []*seat
	light []float64 // light are the weights for requests that cost few bytes on the links between regions.
	heavy []float64 // heavy are the weights for uploads.
}

// The reach of both kinds, see placement.Weights: a place that is needed more
// than others holds up to that many times its even part. Uploads are a small
// part of the work and most of the bytes.
const (
	lightReach = 0.8
	heavyReach = 3
)

func newBench(seats []*seat, closed map[string]bool, region string, regions int) *bench {
	places := make([]placement.Place, len(seats))
	for i, s := range seats {
		places[i].Region = s.target.Region()
		if !s.target.Leaving() && !closed[s.target.Zone()] {
			places[i].Slots = s.target.Slots()
		}
	}
	return &bench{
		seats: seats,
		light: placement.Weights(places, region, regions, lightReach),
		heavy: placement.Weights(places, region, regions, heavyReach),
	}
}

// view is what the request path reads; it is immutable but for gauges and pacers.
type view struct {
	book     *book.Book        // book is nil until a configuration is known.
	seats    map[string]*bench // seats is by service.
	closed   map[string]bool   // closed holds the availability zones that are being emptied.
	entries  []census.Entry
	former   []census.Entry // former are entries that may run on without a registration.
	stored   []string       // stored holds the names of the entries that stand in the store, this one included.
	enrolled time.Time      // enrolled is since when this entry is among them; the zero time while it is not.
	marks    []uint64       // marks are those of the stored entries that are not leaving, in the order of names.
	names    []string
	revision uint64
	reader   census.Reader // reader is the entry that reads the store for this one.
	led      bool          // led says that there is one.
}

// paceAfter is how long an entry's own registration must have been seen to stand before the entry
// paces targets: those that registered before it are known then, and those that paced before it know of it.
const paceAfter = time.Second

// paces reports whether this entry is the one that may send to a cold target.
// It goes by registrations alone: an entry that does not stand in the store is
// none to the others, so that several such would pace one target together.
func (v *view) paces(self string, s *seat, now time.Time) bool {
	if v.enrolled.IsZero() || now.Sub(v.enrolled) < paceAfter {
		return false
	}
	i := placement.Best(placement.Key(s.mark), len(v.marks), func(i int) uint64 { return v.marks[i] }, func(int) float64 { return 1 })
	return i >= 0 && v.names[i] == self
}
