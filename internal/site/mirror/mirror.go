package mirror

import (
	"slices"
	"sync"
	"time"
)

// Item is a key of the store with its value, or its removal, at a revision.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // Revision is the revision of the key's last change.
	Removed  bool
}

// Batch is the set of changes after a revision, as a source provides it.
type Batch struct {
	Items    []Item
	Revision uint64 // Revision is the revision up to which the batch is complete.
	Snapshot bool   // Snapshot is set when the batch is a snapshot of all keys: a key that it lacks has been removed.
	// Age is the time since the source last had an answer from the store; 0 for the store itself.
	Age time.Duration
	// ConfirmedAge is the source's Follower.ConfirmedAge when it made the batch; 0 for the store itself.
	ConfirmedAge time.Duration
	// Held is how long the source had held the call when it determined ConfirmedAge; 0 for the store, which does not state it.
	Held time.Duration
	// Unconfirmed is set when the batch may lack what the store had acknowledged before the call, as a stale read may.
	Unconfirmed bool
}

// Mirror is a replica of the store's keys; it is safe for concurrent use.
type Mirror struct {
	mu           sync.Mutex
	items        map[string]Item // items includes removed keys, so that peers learn of the removal.
	revision     uint64
	removalFloor uint64 // removalFloor is the revision up to which removals may not be known: that of the last snapshot, or of a removal no longer kept.
	removals     []removedKey
	lastChange   uint64        // lastChange is the revision of the last change of an item.
	changed      chan struct{} // changed is closed and replaced when an item changes.
}

// removedKey is a removal that is kept for peers.
type removedKey struct {
	key      string
	revision uint64
}

// maxRemovals bounds the number of removals that are kept for peers.
const maxRemovals = 512

// New returns an empty mirror.
func New() *Mirror { return &Mirror{items: make(map[string]Item), changed: make(chan struct{})} }

// Revision returns the revision up to which the mirror is complete.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Apply applies the items of the batch that are newer than the mirror's and returns them, with the
// removals that follow from a snapshot.
func (m *Mirror) Apply(b Batch) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []Item
	for _, it := range b.Items {
		old, ok := m.items[it.Key]
		// The key of a change that the mirror includes already may have been removed since, by a removal that is not kept.
		included := !b.Snapshot && it.Revision <= m.revision
		if included || ok && old.Revision >= it.Revision {
			continue
		}
		changed = append(changed, m.setItem(it))
	}
	if b.Snapshot {
		changed = append(changed, m.removeMissing(b)...)
		m.removalFloor = max(m.removalFloor, b.Revision)
	}
	m.revision = max(m.revision, b.Revision)
	if len(changed) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return changed
}

// ChangedAfter returns a channel that is closed when an item changes after the
// revision; it is closed already if one has or may have been removed.
func (m *Mirror) ChangedAfter(after uint64) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastChange > after || m.removalFloor > after {
		done := make(chan struct{})
		close(done)
		return done
	}
	return m.changed
}

func (m *Mirror) setItem(it Item) Item {
	if it.Removed {
		it.Value = nil
		m.removals = append(m.removals, removedKey{it.Key, it.Revision})
	}
	m.items[it.Key] = it
	m.lastChange = max(m.lastChange, it.Revision)
	for len(m.removals) > maxRemovals {
		oldest := m.removals[0]
		m.removals = m.removals[1:]
		if old := m.items[oldest.key]; old.Removed && old.Revision == oldest.revision {
			delete(m.items, oldest.key)
		}
		m.removalFloor = max(m.removalFloor, oldest.revision)
	}
	return it
}

// removeMissing removes the keys that are missing from a snapshot, unless they are newer than it.
func (m *Mirror) removeMissing(b Batch) []Item {
	present := make(map[string]bool, len(b.Items))
	for _, it := range b.Items {
		present[it.Key] = true
	}
	var missing []string
	for key, it := range m.items {
		if !present[key] && !it.Removed && it.Revision <= b.Revision {
			missing = append(missing, key)
		}
	}
	slices.Sort(missing)
	var changed []Item
	for _, key := range missing {
		changed = append(changed, m.setItem(Item{Key: key, Revision: b.Revision, Removed: true}))
	}
	return changed
}

// Since returns the changes after the revision, or a snapshot of all keys when removals
// after it may not be known or the revision is 0.
func (m *Mirror) Since(revision uint64) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Revision: m.revision, Snapshot: revision < m.removalFloor || revision == 0}
	for _, it := range m.items {
		if b.Snapshot && it.Removed || !b.Snapshot && it.Revision <= revision {
			continue
		}
		b.Items = append(b.Items, it)
	}
	slices.SortFunc(b.Items, func(x, y Item) int { return int(int64(x.Revision) - int64(y.Revision)) })
	return b
}
