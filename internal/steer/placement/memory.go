package placement

import (
	"sync"
	"time"
)

// Memory records which targets recently handled which objects for this entry;
// it is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	handledAt map[pair]time.Time
	lastSweep time.Time
}

type pair struct {
	key  Key
	hash uint64
}

const (
	// memoryTTL is how long a target is assumed to have an object in its cache.
	memoryTTL = 15 * time.Second
	// sweepInterval is how often expired pairs are removed.
	sweepInterval = 5 * time.Second
	// maxPairs bounds the size of a Memory to a few megabytes.
	maxPairs = 50_000
)

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{handledAt: make(map[pair]time.Time)} }

// Record records that the target with the given hash handles the object.
func (m *Memory) Record(k Key, hash uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastSweep) > sweepInterval {
		m.lastSweep = now
		for p, at := range m.handledAt {
			if now.Sub(at) > memoryTTL {
				delete(m.handledAt, p)
			}
		}
	}
	if len(m.handledAt) < maxPairs {
		m.handledAt[pair{k, hash}] = now
	}
}

// HandledRecently reports whether the target with the given hash handled the object recently.
func (m *Memory) HandledRecently(k Key, hash uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.handledAt[pair{k, hash}]
	return ok && now.Sub(at) <= memoryTTL
}
