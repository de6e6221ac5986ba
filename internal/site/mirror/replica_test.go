package mirror_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tamarackspool/internal/site/mirror"
)

// storeModel is a store that keeps its whole history, the reference for the mirrors that read from it.
type storeModel struct {
	history []mirror.Item   // history is that of the current era, with what it has taken over from the copy.
	past    [][]mirror.Item // past holds the histories of the earlier eras; the first era is 0.
}

func (s *storeModel) revision() uint64 { return uint64(len(s.history)) }

func (s *storeModel) era() uint64 { return uint64(len(s.past)) }

// restore goes back to the copy made at a revision, which begins an era.
func (s *storeModel) restore(revision uint64) {
	s.past = append(s.past, s.history)
	s.history = slices.Clone(s.history[:revision])
}

// historyOf returns the history of an era.
func (s *storeModel) historyOf(era uint64) []mirror.Item {
	if era < s.era() {
		return s.past[era]
	}
	return s.history
}

// stateAt returns the items of the keys that exist at a position.
func (s *storeModel) stateAt(at mirror.Position) map[string]string {
	state := make(map[string]string)
	for _, it := range s.historyOf(at.Era)[:at.Revision] {
		play(state, it)
	}
	return state
}

// play applies an item to a state, which maps keys to revisions and values.
func play(state map[string]string, it mirror.Item) {
	if it.Removed {
		delete(state, it.Key)
	} else {
		state[it.Key] = fmt.Sprintf("%d=%s", it.Revision, it.Value)
	}
}

// snapshot returns a full read as of a revision, the answer to a stale read.
func (s *storeModel) snapshot(revision uint64) mirror.Batch {
	b := mirror.Batch{Era: s.era(), Revision: revision, Snapshot: true}
	last := make(map[string]mirror.Item)
	for _, it := range s.history[:revision] {
		last[it.Key] = it
	}
	for _, it := range last {
		if !it.Removed {
			b.Items = append(b.Items, it)
		}
	}
	return b
}

// changes returns the answer to a watch, or a full read when the store does not have the position.
func (s *storeModel) changes(after mirror.Position) mirror.Batch {
	if after.Era != s.era() || after.Revision > s.revision() {
		return s.snapshot(s.revision())
	}
	return mirror.Batch{Items: s.history[after.Revision:], Era: s.era(), Revision: s.revision()}
}

// change writes or removes one of a few keys. The value tells the writes of the same revision in two eras apart.
func (s *storeModel) change(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
	at := mirror.Position{Era: s.era(), Revision: s.revision()}
	next := mirror.Item{Key: key, Value: fmt.Append(nil, at.Era), Revision: at.Revision + 1}
	if _, ok := s.stateAt(at)[key]; ok && rapid.Bool().Draw(t, "remove") {
		next = removal(key, at.Revision+1)
	}
	s.history = append(s.history, next)
}

// liveState returns the items that the mirror has.
func liveState(m *mirror.Mirror) map[string]string {
	live := make(map[string]string)
	for _, it := range m.Since(mirror.Position{}).Items {
		play(live, it)
	}
	return live
}

// Guards against an entry that uses what has been removed, for good: a mirror that began with a snapshot answered another
// one for revisions before it, without the removals between, and an answer overtaken by a newer one restored removed keys.
func TestMirrorsMatchTheStoreAtTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkReplicas(t, 7) })
}

// Guards against a mirror that keeps items of an era that is over, misses changes under revisions that were assigned a
// second time, or goes back to an earlier era: whichever entries see a restoration first, and whatever is in flight.
func TestMirrorsMatchTheStoreThroughItsEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkReplicas(t, 8) })
}

// checkReplicas plays a schedule of the given number of kinds of steps; the last kind restores the store.
func checkReplicas(t *rapid.T, kinds int) {
	var store storeModel
	store.change(t)
	mirrors, seen := make([]*mirror.Mirror, 3), make([]map[string]string, 3)
	type answer struct {
		to    int
		from  *mirror.Mirror // from is the mirror that asked; its entry may have been restarted since.
		batch mirror.Batch
	}
	apply := func(i int, b mirror.Batch) {
		// The follower drops a snapshot older than its mirror.
		if b.Snapshot && b.Position().Before(mirrors[i].Position()) {
			return
		}
		before := mirrors[i].Position()
		for _, it := range mirrors[i].Apply(b) {
			play(seen[i], it)
		}
		if mirrors[i].Position().Before(before) {
			t.Fatalf("mirror %d went back from %v to %v", i, before, mirrors[i].Position())
		}
	}
	restart := func(i int, revision uint64) {
		mirrors[i], seen[i] = mirror.New(), make(map[string]string)
		apply(i, store.snapshot(revision))
	}
	for i := range mirrors {
		restart(i, 1)
	}
	var inFlight []answer
	draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		i, j := draw("mirror", len(mirrors)), draw("other", len(mirrors))
		m := mirrors[i]
		switch draw("step", kinds) {
		case 0, 1:
			store.change(t)
		case 2: // The entry is restarted and reads the store, from a replica that may be behind.
			restart(i, uint64(1+draw("snapshot", len(store.history))))
		case 3:
			apply(i, store.changes(m.Position()))
		case 4:
			apply(i, mirrors[j].Since(m.Position()))
		case 5:
			inFlight = append(inFlight, answer{i, m, mirrors[j].Since(m.Position())}, answer{i, m, store.changes(m.Position())})
		case 6:
			if len(inFlight) == 0 {
				continue
			}
			k := draw("answer", len(inFlight))
			a := inFlight[k]
			inFlight = append(inFlight[:k:k], inFlight[k+1:]...)
			if a.from == mirrors[a.to] {
				apply(a.to, a.batch)
			}
		case 7:
			store.restore(uint64(1 + draw("copy", len(store.history))))
		}
		for n, m := range mirrors {
			want := store.stateAt(m.Position())
			if got := liveState(m); !maps.Equal(got, want) || !maps.Equal(seen[n], want) {
				t.Fatalf("mirror %d at %v has %v and has told %v, want %v", n, m.Position(), got, seen[n], want)
			}
		}
	}
}

// Guards against an entry that waits for the next change although its peer can tell it at once that keys it has are gone.
func TestPeersBeforeASnapshotDoNotWait(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Batch{Items: []mirror.Item{item("a", 3)}, Revision: 9, Snapshot: true})
	select {
	case <-m.ChangedAfter(mirror.Position{Revision: 7}):
	default:
		t.Error("a peer at revision 7 waits, with a snapshot of revision 9")
	}
	select {
	case <-m.ChangedAfter(mirror.Position{Revision: 9}):
		t.Error("a peer at revision 9 does not wait")
	default:
	}
}
