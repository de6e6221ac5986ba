package store

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limit is the largest value in bytes.
const Limit = 1 << 20

var (
	errNotFound = errors.New("standin store: key not found")
	errConflict = errors.New("standin store: key is at another revision")
	errLease    = errors.New("standin store: lease has lapsed")
)

// item is a key's content; before is the content that it replaced, for stale reads.
type item struct {
	data     []byte
	revision uint64
	lease    uint64
	before   *item
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// table holds the keys and leases; it is safe for concurrent use.
type table struct {
	mu       sync.Mutex
	items    map[string]*item
	leases   map[uint64]*lease
	revision uint64
	granted  uint64
	changed  chan struct{} // closed and replaced at each write
	stale    map[string]bool
}

func newTable() *table {
	return &table{items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), stale: map[string]bool{}}
}

// expire drops lapsed leases with their keys; the caller holds the lock.
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
		i = i.before
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

// put writes the key when it is at the expected revision, which is 0 for a key that does not exist.
func (t *table) put(w valueWire, now time.Time) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	old := t.items[w.Key]
	if at(old) != w.Revision {
		return 0, errConflict
	}
	if w.Lease != 0 && t.leases[w.Lease] == nil {
		return 0, errLease
	}
	if old != nil {
		old.before = nil
	}
	t.revision++
	t.items[w.Key] = &item{data: w.Data, revision: t.revision, lease: w.Lease, before: old}
	t.wake(w.Key)
	return t.revision, nil
}

func (t *table) remove(key string, revision uint64, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	switch at(t.items[key]) {
	case 0:
		return errNotFound
	case revision:
		t.revision++
		delete(t.items, key)
		t.wake(key)
		return nil
	default:
		return errConflict
	}
}

// wake ends the watches' waiting and a pending stale read of the key; the caller holds the lock.
func (t *table) wake(key string) {
	delete(t.stale, key)
	close(t.changed)
	t.changed = make(chan struct{})
}

func at(i *item) uint64 {
	if i == nil {
		return 0
	}
	return i.revision
}

func (t *table) grant(ttl time.Duration, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.granted++
	t.leases[t.granted] = &lease{ttl, now.Add(ttl)}
	return t.granted
}

func (t *table) renew(id uint64, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	l := t.leases[id]
	if l == nil {
		return errLease
	}
	l.expires = now.Add(l.ttl)
	return nil
}

// outdate makes the next read of each key that has been replaced return the content before.
func (t *table) outdate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, i := range t.items {
		if i.before != nil {
			t.stale[key] = true
		}
	}
}
