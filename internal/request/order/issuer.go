package order

import (
	"sync"
	"time"

	"tamarackspool/internal/request/ticket"
)

const (
	// Validity is how long after its issue a ticket may start an order at least.
	Validity = time.Hour
	// bucketSpan is the precision with which the age of a serial is known.
	bucketSpan = time.Minute
)

// bucket holds the serials below next that were issued within one span from start.
type bucket struct {
	start time.Time
	next  uint64
}

// Issuer issues the tickets of this incarnation and may be used by several goroutines.
type Issuer struct {
	key  *ticket.Key
	self ticket.Incarnation

	mu    sync.Mutex
	next  uint64
	floor uint64 // floor is the lowest serial that may still be valid.
	young []bucket
}

// NewIssuer returns the issuer of the given incarnation.
func NewIssuer(key *ticket.Key, self ticket.Incarnation) *Issuer {
	return &Issuer{key: key, self: self, next: 1, floor: 1}
}

// Issue returns count new tickets for a tenant's orders to a service.
func (i *Issuer) Issue(tenant, service string, count int, now time.Time) []string {
	first := i.reserve(uint64(count), now)
	texts := make([]string, count)
	for n := range texts {
		texts[n] = i.key.Text(ticket.New(i.self, first+uint64(n), tenant, service))
	}
	return texts
}

func (i *Issuer) reserve(count uint64, now time.Time) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance(now)
	if len(i.young) == 0 || now.Sub(i.young[len(i.young)-1].start) >= bucketSpan {
		i.young = append(i.young, bucket{start: now})
	}
	first := i.next
	i.next += count
	i.young[len(i.young)-1].next = i.next
	return first
}

// advance raises the floor past the buckets whose youngest ticket has expired.
func (i *Issuer) advance(now time.Time) {
	for len(i.young) > 0 && now.Sub(i.young[0].start) >= Validity+bucketSpan {
		i.floor = i.young[0].next
		i.young = i.young[1:]
	}
}

// Floor returns the lowest serial that may still start an order.
func (i *Issuer) Floor(now time.Time) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance(now)
	return i.floor
}

// Self returns the incarnation that the tickets name.
func (i *Issuer) Self() ticket.Incarnation { return i.self }
