package store

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// MaxValueBytes is the largest size of a value in bytes.
const MaxValueBytes = 1 << 20

var (
	errNotFound     = errors.New("standin store: key not found")
	errConflict     = errors.New("standin store: key is at another revision")
	errLeaseExpired = errors.New("standin store: lease has expired")
)

// item is the value of a key.
type item struct {
	data     []byte
	revision uint64
	lease    uint64
	previous *item // previous is the overwritten value, for stale reads.
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// table holds the keys and leases; it is safe for concurrent use.
type table struct {
	mu        sync.Mutex
	items     map[string]*item
	leases    map[uint64]*lease
	revision  uint64
	lastLease uint64          // lastLease is the id of the last granted lease.
	changed   chan struct{}   // changed is closed and replaced at each write.
	stale     map[string]bool // stale holds the keys whose next read returns the previous value.
}

func newTable() *table {
	return &table{items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), stale: map[string]bool{}}
}

// expire removes expired leases and their keys; t.mu is held.
func (t *table) expire(now time.Time) {
	for id, l := range t.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(t.leases, id)
		maps.DeleteFunc(t.items, func(_ string, i *item) bool { return i.lease == id })
	}
}

// get returns a copy of the item and a channel that is closed at the next write.
func (t *table) get(key string, now time.Time) (item, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	i := t.items[key]
	if t.stale[key] {
		delete(t.stale, key)
		i = i.previous
	}
	if i == nil {
		return item{}, t.changed, errNotFound
	}
	return *i, t.changed, nil
}

func (t *table) list(prefix string, now time.Time) []valueWire {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	values := []valueWire{}
	for _, key := range slices.Sorted(maps.Keys(t.items)) {
		if strings.HasPrefix(key, prefix) {
			i := t.items[key]
			values = append(values, valueWire{Key: key, Data: i.data, Revision: i.revision, Lease: i.lease})
		}
	}
	return values
}

// put writes the key if its revision is the expected one, which is 0 for a key that doesn't exist.
func (t *table) put(w valueWire, now time.Time) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	old := t.items[w.Key]
	if revisionOf(old) != w.Revision {
		return 0, errConflict
	}
	if w.Lease != 0 && t.leases[w.Lease] == nil {
		return 0, errLeaseExpired
	}
	if old != nil {
		old.previous = nil
	}
	t.revision++
	t.items[w.Key] = &item{data: w.Data, revision: t.revision, lease: w.Lease, previous: old}
	t.notifyWrite(w.Key)
	return t.revision, nil
}

func (t *table) remove(key string, revision uint64, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	switch revisionOf(t.items[key]) {
	case 0:
		return errNotFound
	case revision:
		t.revision++
		delete(t.items, key)
		t.notifyWrite(key)
		return nil
	default:
		return errConflict
	}
}

// notifyWrite wakes the watches and cancels a pending stale read of the key; t.mu is held.
func (t *table) notifyWrite(key string) {
	delete(t.stale, key)
	close(t.changed)
	t.changed = make(chan struct{})
}

func revisionOf(i *item) uint64 {
	if i == nil {
		return 0
	}
	return i.revision
}

func (t *table) grant(ttl time.Duration, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastLease++
	t.leases[t.lastLease] = &lease{ttl, now.Add(ttl)}
	return t.lastLease
}

func (t *table) renew(id uint64, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	l := t.leases[id]
	if l == nil {
		return errLeaseExpired
	}
	l.expires = now.Add(l.ttl)
	return nil
}

// markStale makes the next read of each overwritten key return its previous value.
func (t *table) markStale() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, i := range t.items {
		if i.previous != nil {
			t.stale[key] = true
		}
	}
}
