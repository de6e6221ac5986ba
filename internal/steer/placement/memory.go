package placement

import (
	"sync"
	"time"
)

// Memory remembers which targets lately handled which objects for this entry;
// it is safe for concurrent use.
type Memory struct {
	mu    sync.Mutex
	seen  map[pair]time.Time
	sweep time.Time
}

type pair struct {
	key  Key
	mark uint64
}

const (
	// memoryTime is how long a target is taken to know an object.
	memoryTime = 15 * time.Second
	// sweepEvery is how often old memories are dropped.
	sweepEvery = 5 * time.Second
	// maxMemories bounds the memory to a few megabytes.
	maxMemories = 50_000
)

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{seen: make(map[pair]time.Time)} }

// Note remembers that the target of the mark handles the object.
func (m *Memory) Note(k Key, mark uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.sweep) > sweepEvery {
		m.sweep = now
		for p, at := range m.seen {
			if now.Sub(at) > memoryTime {
				delete(m.seen, p)
			}
		}
	}
	if len(m.seen) < maxMemories {
		m.seen[pair{k, mark}] = now
	}
}

// Knows reports whether the target of the mark lately handled the object.
func (m *Memory) Knows(k Key, mark uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.seen[pair{k, mark}]
	return ok && now.Sub(at) <= memoryTime
}
