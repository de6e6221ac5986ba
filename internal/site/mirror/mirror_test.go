package mirror_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tamarackspool/internal/site/mirror"
)

func item(key string, revision uint64) mirror.Item {
	return mirror.Item{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func removal(key string, revision uint64) mirror.Item {
	return mirror.Item{Key: key, Revision: revision, Removed: true}
}

// Guards against an older batch that overwrites newer items.
func TestApplyKeepsTheNewest(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Batch{Items: []mirror.Item{item("a", 5)}, Revision: 5})
	if got := m.Apply(mirror.Batch{Items: []mirror.Item{item("a", 4), removal("a", 3)}, Revision: 4}); len(got) != 0 {
		t.Errorf("older items changed %v", got)
	}
	if m.Revision() != 5 {
		t.Errorf("revision %d, want 5", m.Revision())
	}
}

// Guards against keys that stay in the mirror because the source no longer keeps their removal,
// and against the removal of keys that are newer than the snapshot.
func TestSnapshotRemovesMissingKeys(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Batch{Items: []mirror.Item{item("old", 2), item("new", 9)}, Revision: 9})
	got := m.Apply(mirror.Batch{Items: []mirror.Item{item("kept", 3)}, Revision: 6, Snapshot: true})
	if len(got) != 2 || got[0].Key != "kept" || got[1].Key != "old" || !got[1].Removed {
		t.Errorf("changed %v, want kept and the removal of old", got)
	}
}

// Guards against a mirror that differs from the peer's mirror after an update from it, whatever changes it missed.
func TestSinceBringsAnotherMirrorUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := mirror.New(), mirror.New()
		live := make(map[string]uint64)
		revision := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			change := item(key, revision)
			if _, ok := live[key]; ok && rapid.Bool().Draw(t, "remove") {
				change = removal(key, revision)
				delete(live, key)
			} else {
				live[key] = revision
			}
			from.Apply(mirror.Batch{Items: []mirror.Item{change}, Revision: revision})
			if rapid.IntRange(0, 3).Draw(t, "sync") == 0 {
				to.Apply(from.Since(to.Position()))
			}
		}
		to.Apply(from.Since(to.Position()))
		got := make(map[string]uint64)
		for _, it := range to.Since(mirror.Position{}).Items {
			got[it.Key] = it.Revision
		}
		if fmt.Sprint(got) != fmt.Sprint(live) {
			t.Fatalf("copy %v, want %v", got, live)
		}
	})
}

// Guards against removals that a peer no longer keeps and that would therefore never reach another one.
func TestSinceSendsEverythingWhenRemovalsAreForgotten(t *testing.T) {
	m := mirror.New()
	for i := range uint64(600) {
		key := fmt.Sprint("k", i)
		m.Apply(mirror.Batch{Items: []mirror.Item{item(key, 2*i+1)}, Revision: 2*i + 1})
		m.Apply(mirror.Batch{Items: []mirror.Item{removal(key, 2*i+2)}, Revision: 2*i + 2})
	}
	if b := m.Since(mirror.Position{Revision: 10}); !b.Snapshot {
		t.Error("the batch after a revision before dropped removals is not a snapshot")
	}
	if b := m.Since(mirror.Position{Revision: 1190}); b.Snapshot || len(b.Items) != 5 {
		t.Errorf("batch after a recent revision: snapshot %v, %d items, want 5 removals", b.Snapshot, len(b.Items))
	}
}

// Guards against a waiting peer that misses a change or is woken without one.
func TestWaitingPeersAreWokenByChanges(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Batch{Items: []mirror.Item{item("a", 3)}, Revision: 7})
	select {
	case <-m.ChangedAfter(mirror.Position{Revision: 2}):
	default:
		t.Error("a change after revision 2 is not signaled")
	}
	wait := m.ChangedAfter(mirror.Position{Revision: 7})
	m.Apply(mirror.Batch{Revision: 8})
	select {
	case <-wait:
		t.Error("a batch without a change woke the peer")
	default:
	}
	m.Apply(mirror.Batch{Items: []mirror.Item{item("b", 9)}, Revision: 9})
	<-wait
}
