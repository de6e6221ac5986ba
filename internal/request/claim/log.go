package claim

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"tamarackspool/internal/platform/store"
)

const (
	// RangeCount is the number of key ranges. The rate of writes that add keys is at
	// most RangeCount/WriteInterval, whatever the number of entries.
	RangeCount = 12
	// WriteInterval is the minimum time between two writes to one range.
	WriteInterval = 66 * time.Millisecond
	// SegmentKeys is the maximum number of keys in a segment. Each write sends the
	// whole segment, so the limit bounds the size of a write.
	SegmentKeys = 1000
	// maxBatch is the maximum number of keys that one write adds.
	maxBatch = 500
)

// ErrExpired is returned for a UUIDv7 key whose timestamp is older than the retention.
var ErrExpired = errors.New("claim: the key is older than the retention; the request may have run and will not run again")

// ErrFull is returned when the maximum number of claims in memory is reached.
var ErrFull = errors.New("claim: the maximum number of claimed keys in memory is reached")

// Store is the part of the key-value service that the log uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Put(ctx context.Context, key string, data []byte, revision, lease uint64) (uint64, error)
	List(ctx context.Context, prefix string) ([]store.Value, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// Settings configure a Log.
type Settings struct {
	Owner       string        // Owner identifies this process; it must be different after each restart.
	Retention   time.Duration // Retention is the minimum time for which a claim is stored.
	MaxKeys     int           // MaxKeys is the maximum number of claims in memory.
	CallTimeout time.Duration // CallTimeout is the deadline of each call to the store.
}

// Log claims keys and is safe for concurrent use.
type Log struct {
	settings Settings
	store    Store
	ranges   [RangeCount]*keyRange
}

// New returns a log that uses the store and owns no range yet.
func New(s Settings, st Store) *Log {
	l := &Log{settings: s, store: st}
	for i := range l.ranges {
		l.ranges[i] = newKeyRange(i, s, st)
	}
	return l
}

// RangeOf returns the range of a key; all entries compute the same range and so find the same owner.
func RangeOf(tenant, service, key string) int {
	h := hashKey(tenant, service, key)
	return int(xxhash.Sum64(h[:]) % RangeCount)
}

func hashKey(tenant, service, key string) hash {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s %d %s %s", len(tenant), tenant, len(service), service, key))
	return hash(sum[:len(hash{})])
}

// Claim reports whether this process, and no other, may dispatch the request of the key.
// False means that the request may have run. An error means that the claim could not be
// stored or that the key is too old.
func (l *Log) Claim(ctx context.Context, tenant, service, key string) (bool, error) {
	if l.expired(key) {
		return false, ErrExpired
	}
	return l.ranges[RangeOf(tenant, service, key)].claim(ctx, hashKey(tenant, service, key))
}

// Release makes a key claimable again by this process; the caller must have proof that its request has not run.
func (l *Log) Release(tenant, service, key string) {
	l.ranges[RangeOf(tenant, service, key)].release(hashKey(tenant, service, key))
}

func (l *Log) expired(key string) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Since(time.Unix(sec, nsec)) > l.settings.Retention
}

// WriteCount returns the number of Put calls, failed ones included, plus the number of granted leases.
func (l *Log) WriteCount() int64 {
	var n int64
	for _, r := range l.ranges {
		n += r.writes.Load()
	}
	return n
}
