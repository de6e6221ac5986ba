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
	// Ranges is the number of key ranges; it bounds the store's writes at Ranges/Interval for any fleet size.
	Ranges = 12
	// Interval is the shortest time between two writes to one range.
	Interval = 66 * time.Millisecond
	// SegmentKeys is the most keys in a segment, which keeps the value that each write repeats small.
	SegmentKeys = 1000
	// maxBatch is the most keys that one write adds.
	maxBatch = 500
)

// ErrExpired is returned for a key whose own time says that it is older than the retention.
var ErrExpired = errors.New("claim: the key is older than the retention; the order may have run and will not run again")

// ErrFull is returned when the memory for claimed keys is used up.
var ErrFull = errors.New("claim: the memory for claimed keys is full")

// Store is the part of the key-value service that the log uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Put(ctx context.Context, key string, data []byte, revision, lease uint64) (uint64, error)
	List(ctx context.Context, prefix string) ([]store.Value, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// Settings are the limits of a log.
type Settings struct {
	Owner     string        // Owner identifies this process; it must differ for each start.
	Retention time.Duration // Retention is how long a claim is kept at least.
	Keys      int           // Keys is the most claims held in memory.
	Timeout   time.Duration // Timeout bounds each call to the store.
}

// Log claims keys and may be used by several goroutines.
type Log struct {
	settings Settings
	store    Store
	ranges   [Ranges]*keyRange
}

// New returns a log over the store that keeps no range yet.
func New(s Settings, st Store) *Log {
	l := &Log{settings: s, store: st}
	for i := range l.ranges {
		l.ranges[i] = newKeyRange(i, s, st)
	}
	return l
}

// Range returns the range of a key, by which all entries find the same keeper.
func Range(tenant, service, key string) int {
	h := hashOf(tenant, service, key)
	return int(xxhash.Sum64(h[:]) % Ranges)
}

func hashOf(tenant, service, key string) hash {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s %d %s %s", len(tenant), tenant, len(service), service, key))
	return hash(sum[:len(hash{})])
}

// Claim reports whether this process alone may run the key; false means that it may have run.
// An error means that the claim could not be stored or that the key is too old.
func (l *Log) Claim(ctx context.Context, tenant, service, key string) (bool, error) {
	if l.expired(key) {
		return false, ErrExpired
	}
	return l.ranges[Range(tenant, service, key)].claim(ctx, hashOf(tenant, service, key))
}

// Release makes a key that this process claimed, and that is proven not to have run, available again here.
func (l *Log) Release(tenant, service, key string) {
	l.ranges[Range(tenant, service, key)].release(hashOf(tenant, service, key))
}

func (l *Log) expired(key string) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Since(time.Unix(sec, nsec)) > l.settings.Retention
}

// Writes returns the number of calls to the store that changed or tried to change a value.
func (l *Log) Writes() int64 {
	var n int64
	for _, r := range l.ranges {
		n += r.writes.Load()
	}
	return n
}
