package mirror_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"tamarackspool/internal/site/mirror"
)

// storeModel is a store that keeps its whole history, the reference for the mirrors that read from it.
type storeModel struct{ history []mirror.Item }

func (s *storeModel) revision() uint64 { return uint64(len(s.history)) }

// stateAt returns the revisions of the keys that exist at a revision.
func (s *storeModel) stateAt(revision uint64) map[string]uint64 {
	state := make(map[string]uint64)
	for _, it := range s.history[:revision] {
		if it.Removed {
			delete(state, it.Key)
		} else {
			state[it.Key] = it.Revision
		}
	}
	return state
}

// snapshot returns a full read as of a revision, the answer to a stale read.
func (s *storeModel) snapshot(revision uint64) mirror.Batch {
	b := mirror.Batch{Revision: revision, Snapshot: true}
	for key, at := range s.stateAt(revision) {
		b.Items = append(b.Items, item(key, at))
	}
	return b
}

// changes returns the answer to a watch.
func (s *storeModel) changes(after uint64) mirror.Batch {
	return mirror.Batch{Items: s.history[after:], Revision: s.revision()}
}

// change writes or removes one of a few keys.
func (s *storeModel) change(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
	next := item(key, s.revision()+1)
	if _, ok := s.stateAt(s.revision())[key]; ok && rapid.Bool().Draw(t, "remove") {
		next = removal(key, s.revision()+1)
	}
	s.history = append(s.history, next)
}

func liveRevisions(m *mirror.Mirror) map[string]uint64 {
	live := make(map[string]uint64)
	for _, it := range m.Since(0).Items {
		live[it.Key] = it.Revision
	}
	return live
}

// Guards against an entry that uses what has been removed, for good: a mirror that began with a snapshot answered another
// one for revisions before it, without the removals between, and an answer overtaken by a newer one restored removed keys.
func TestMirrorsMatchTheStoreAtTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store storeModel
		store.change(t)
		mirrors := make([]*mirror.Mirror, 3)
		for i := range mirrors {
			mirrors[i] = mirror.New()
			mirrors[i].Apply(store.snapshot(1))
		}
		type answer struct {
			to    *mirror.Mirror
			batch mirror.Batch
		}
		var inFlight []answer
		draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i, j := draw("mirror", len(mirrors)), draw("other", len(mirrors))
			m := mirrors[i]
			switch draw("step", 7) {
			case 0, 1:
				store.change(t)
			case 2: // The entry is restarted and reads the store, from a replica that may be behind.
				mirrors[i] = mirror.New()
				mirrors[i].Apply(store.snapshot(uint64(1 + draw("snapshot", len(store.history)))))
			case 3:
				m.Apply(store.changes(m.Revision()))
			case 4:
				m.Apply(mirrors[j].Since(m.Revision()))
			case 5:
				inFlight = append(inFlight, answer{m, mirrors[j].Since(m.Revision())}, answer{m, store.changes(m.Revision())})
			case 6:
				if len(inFlight) == 0 {
					continue
				}
				k := draw("answer", len(inFlight))
				a := inFlight[k]
				inFlight = append(inFlight[:k:k], inFlight[k+1:]...)
				// The follower drops a snapshot older than its mirror.
				if !a.batch.Snapshot || a.batch.Revision >= a.to.Revision() {
					a.to.Apply(a.batch)
				}
			}
			for n, m := range mirrors {
				if got, want := liveRevisions(m), store.stateAt(m.Revision()); !maps.Equal(got, want) {
					t.Fatalf("mirror %d at revision %d has %v, want %v", n, m.Revision(), fmt.Sprint(got), want)
				}
			}
		}
	})
}

// Guards against an entry that waits for the next change although its peer can tell it at once that keys it has are gone.
func TestPeersBeforeASnapshotDoNotWait(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Batch{Items: []mirror.Item{item("a", 3)}, Revision: 9, Snapshot: true})
	select {
	case <-m.ChangedAfter(7):
	default:
		t.Error("a peer at revision 7 waits, with a snapshot of revision 9")
	}
	select {
	case <-m.ChangedAfter(9):
		t.Error("a peer at revision 9 does not wait")
	default:
	}
}
