package order

import (
	"sync"
	"time"

	"tamarackspool/internal/request/ticket"
)

const (
	// TicketValidity is the minimum time for which an issued ticket can start a request.
	TicketValidity = time.Hour
	// bucketSpan is the precision of the issue time that is recorded for a serial.
	bucketSpan = time.Minute
)

// issueBucket holds the serials, up to but not including endSerial, that were issued within bucketSpan after start.
type issueBucket struct {
	start     time.Time
	endSerial uint64
}

// Issuer issues the tickets of this incarnation and is safe for concurrent use.
type Issuer struct {
	key         *ticket.Key
	incarnation ticket.Incarnation

	mu           sync.Mutex
	nextSerial   uint64
	lowestSerial uint64 // lowestSerial is the lowest serial that may still be valid.
	buckets      []issueBucket
}

// NewIssuer returns the issuer of the given incarnation.
func NewIssuer(key *ticket.Key, self ticket.Incarnation) *Issuer {
	return &Issuer{key: key, incarnation: self, nextSerial: 1, lowestSerial: 1}
}

// Issue returns count new tickets for a tenant's requests to a service.
func (i *Issuer) Issue(tenant, service string, count int, now time.Time) []string {
	first := i.reserveSerials(uint64(count), now)
	texts := make([]string, count)
	for n := range texts {
		texts[n] = i.key.Encode(ticket.New(i.incarnation, first+uint64(n), tenant, service))
	}
	return texts
}

func (i *Issuer) reserveSerials(count uint64, now time.Time) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dropExpiredBuckets(now)
	if len(i.buckets) == 0 || now.Sub(i.buckets[len(i.buckets)-1].start) >= bucketSpan {
		i.buckets = append(i.buckets, issueBucket{start: now})
	}
	first := i.nextSerial
	i.nextSerial += count
	i.buckets[len(i.buckets)-1].endSerial = i.nextSerial
	return first
}

// dropExpiredBuckets removes the buckets whose newest ticket has expired and raises lowestSerial accordingly.
func (i *Issuer) dropExpiredBuckets(now time.Time) {
	for len(i.buckets) > 0 && now.Sub(i.buckets[0].start) >= TicketValidity+bucketSpan {
		i.lowestSerial = i.buckets[0].endSerial
		i.buckets = i.buckets[1:]
	}
}

// LowestValidSerial returns the lowest serial that may still start a request.
func (i *Issuer) LowestValidSerial(now time.Time) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dropExpiredBuckets(now)
	return i.lowestSerial
}

// Incarnation returns the incarnation that is encoded in the tickets.
func (i *Issuer) Incarnation() ticket.Incarnation { return i.incarnation }
