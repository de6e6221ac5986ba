package mirror

import (
	"slices"
	"sync"
	"time"
)

// Item is one key of the store at a revision.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // Revision is that of the last change of the key.
	Removed  bool
}

// Batch is what a source knows beyond a revision.
type Batch struct {
	Items    []Item
	Revision uint64 // Revision is up to where the batch is complete.
	Whole    bool   // Whole says that the batch holds every key, so that all others are gone.
	// Age is how long ago the source itself heard from the store; 0 for the store.
	Age time.Duration
}

// Mirror is a copy of the store's keys; it is safe for concurrent use.
type Mirror struct {
	mu       sync.Mutex
	items    map[string]Item // items holds removed keys too, so that peers learn of the removal.
	revision uint64
	floor    uint64 // floor is the revision below which removals were forgotten.
	graves   []grave
	latest   uint64        // latest is the revision of the last change of an item.
	moved    chan struct{} // moved is closed and replaced when an item changes.
}

type grave struct {
	key      string
	revision uint64
}

// maxGraves bounds the removed keys that are remembered for peers.
const maxGraves = 512

// New returns an empty mirror.
func New() *Mirror { return &Mirror{items: make(map[string]Item), moved: make(chan struct{})} }

// Revision returns up to where the mirror is complete.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Apply takes over what is newer in the batch and returns the items that changed.
func (m *Mirror) Apply(b Batch) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []Item
	for _, it := range b.Items {
		if old, ok := m.items[it.Key]; ok && old.Revision >= it.Revision {
			continue
		}
		changed = append(changed, m.set(it))
	}
	if b.Whole {
		changed = append(changed, m.prune(b)...)
	}
	m.revision = max(m.revision, b.Revision)
	if len(changed) > 0 {
		close(m.moved)
		m.moved = make(chan struct{})
	}
	return changed
}

// Moved returns a channel that is closed once something changes after the
// revision, or at once when something already has.
func (m *Mirror) Moved(after uint64) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latest > after {
		done := make(chan struct{})
		close(done)
		return done
	}
	return m.moved
}

func (m *Mirror) set(it Item) Item {
	if it.Removed {
		it.Value = nil
		m.graves = append(m.graves, grave{it.Key, it.Revision})
	}
	m.items[it.Key] = it
	m.latest = max(m.latest, it.Revision)
	for len(m.graves) > maxGraves {
		g := m.graves[0]
		m.graves = m.graves[1:]
		if old := m.items[g.key]; old.Removed && old.Revision == g.revision {
			delete(m.items, g.key)
		}
		m.floor = max(m.floor, g.revision)
	}
	return it
}

// prune removes the keys that a whole batch lacks.
func (m *Mirror) prune(b Batch) []Item {
	named := make(map[string]bool, len(b.Items))
	for _, it := range b.Items {
		named[it.Key] = true
	}
	var gone []string
	for key, it := range m.items {
		if !named[key] && !it.Removed && it.Revision <= b.Revision {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	var changed []Item
	for _, key := range gone {
		changed = append(changed, m.set(Item{Key: key, Revision: b.Revision, Removed: true}))
	}
	return changed
}

// Since returns what changed after the revision, or everything when removals
// after it are no longer known.
func (m *Mirror) Since(revision uint64) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Revision: m.revision, Whole: revision < m.floor || revision == 0}
	for _, it := range m.items {
		if b.Whole && it.Removed || !b.Whole && it.Revision <= revision {
			continue
		}
		b.Items = append(b.Items, it)
	}
	slices.SortFunc(b.Items, func(x, y Item) int { return int(int64(x.Revision) - int64(y.Revision)) })
	return b
}
