package mirror

import (
	"bytes"
	"maps"
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

// Position is a state of the store. Revisions are ordered within an era only: a store that is restored from an older copy
// begins a new era, in which it assigns revisions a second time.
type Position struct {
	Era      uint64 // Era counts the restorations of the store; 0 when the store states none.
	Revision uint64
}

// Before reports whether the position is earlier than the other one.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Revision < o.Revision
}

// Batch is the set of changes after a position, as a source provides it. A batch that is not a snapshot is of the same era
// as the position.
type Batch struct {
	Items    []Item
	Era      uint64 // Era is the era of the revisions; 0 when the store states none.
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
	// Kept holds items of an earlier era that the source still goes by, although its content lacks them. They have
	// revision 0 and are no changes of the content.
	Kept []Item
}

// Mirror is a replica of the store's keys; it is safe for concurrent use.
type Mirror struct {
	mu           sync.Mutex
	era          uint64
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

// Position returns the era of the mirror and the revision up to which it is complete.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Position{m.era, m.revision}
}

// Position returns the position up to which the batch is complete.
func (b *Batch) Position() Position { return Position{b.Era, b.Revision} }

// Apply applies the items of the batch that are newer than the mirror's and returns them, with the
// removals that follow from a snapshot. A batch of an earlier era changes nothing. A snapshot of a later era replaces the
// content; other batches of a later era change nothing, as they lack what changed before them.
func (m *Mirror) Apply(b Batch) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Era < m.era || b.Era > m.era && !b.Snapshot && m.revision > 0 {
		return nil
	}
	if b.Era > m.era && m.revision > 0 {
		return m.replace(b)
	}
	m.era = b.Era
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
		m.wakePeers()
	}
	return changed
}

// replace replaces the content by a snapshot of a later era. It returns the items that differ and the removals
// of the keys that the snapshot lacks.
func (m *Mirror) replace(b Batch) []Item {
	old := m.items
	m.items = make(map[string]Item, len(b.Items))
	m.removals = nil
	var changed []Item
	for _, it := range b.Items {
		before, ok := old[it.Key]
		if !ok || before.Removed || before.Revision != it.Revision || !bytes.Equal(before.Value, it.Value) {
			changed = append(changed, it)
		}
		m.items[it.Key] = it
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if _, ok := m.items[key]; !ok && !old[key].Removed {
			changed = append(changed, Item{Key: key, Revision: b.Revision, Removed: true})
		}
	}
	// Nothing is known of removals before the snapshot, so peers that are behind it get a snapshot too.
	m.era, m.revision, m.removalFloor, m.lastChange = b.Era, b.Revision, b.Revision, b.Revision
	m.wakePeers()
	return changed
}

func (m *Mirror) wakePeers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Item returns the item of a key, or its removal, and whether the mirror has one.
func (m *Mirror) Item(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	it, ok := m.items[key]
	return it, ok
}

// RemovalFloor returns the revision up to which removals may not be known; it changes with each snapshot.
func (m *Mirror) RemovalFloor() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.removalFloor
}

// ChangedAfter returns a channel that is closed when an item changes after the
// position; it is closed already if one has or may have been removed. A position of a later era
// waits for the next change.
func (m *Mirror) ChangedAfter(after Position) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Era < m.era || after.Era == m.era && (m.lastChange > after.Revision || m.removalFloor > after.Revision) {
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

// Since returns the changes after the position, or a snapshot of all keys when removals
// after it may not be known, it is of an earlier era or its revision is 0. It returns no items
// for a position of a later era.
func (m *Mirror) Since(after Position) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Era: m.era, Revision: m.revision}
	if after.Era > m.era && after.Revision > 0 {
		return b
	}
	b.Snapshot = after.Era < m.era || after.Revision < m.removalFloor || after.Revision == 0
	for _, it := range m.items {
		if b.Snapshot && it.Removed || !b.Snapshot && it.Revision <= after.Revision {
			continue
		}
		b.Items = append(b.Items, it)
	}
	slices.SortFunc(b.Items, func(x, y Item) int { return int(int64(x.Revision) - int64(y.Revision)) })
	return b
}
