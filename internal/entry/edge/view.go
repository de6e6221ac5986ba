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
}

// view is what the request path reads; it is immutable but for gauges and pacers.
type view struct {
	book     *book.Book // book is nil until a configuration is known.
	seats    map[string][]*seat
	closed   map[string]bool // closed holds the availability zones that are being emptied.
	entries  []census.Entry
	stored   []string // stored holds the names of the entries that stand in the store, this one included.
	marks    []uint64 // marks are those of the entries that are not leaving, by their order.
	names    []string
	revision uint64
}

// paces reports whether this entry is the one that may send to a cold target.
func (v *view) paces(self string, s *seat) bool {
	i := placement.Best(placement.Key(s.mark), len(v.marks), func(i int) uint64 { return v.marks[i] }, func(int) bool { return true })
	return i < 0 || v.names[i] == self
}
