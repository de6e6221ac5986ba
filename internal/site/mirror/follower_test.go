package mirror_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/site/mirror"
)

// well is a source with one key whose value changes; it can be made to fail in several ways.
type well struct {
	mu       sync.Mutex
	revision uint64
	age      time.Duration
	fails    bool
	silent   bool
	calls    int
}

func (w *well) set(f func(*well)) { w.mu.Lock(); f(w); w.mu.Unlock() }

func (w *well) count() int { w.mu.Lock(); defer w.mu.Unlock(); return w.calls }

func (w *well) Changes(ctx context.Context, after uint64, wait time.Duration) (mirror.Batch, error) {
	w.set(func(w *well) { w.calls++ })
	for until := time.Now().Add(wait); ; {
		w.mu.Lock()
		revision, age, fails, silent := w.revision, w.age, w.fails, w.silent
		w.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return mirror.Batch{}, ctx.Err()
		case silent:
			<-ctx.Done()
			return mirror.Batch{}, ctx.Err()
		case fails:
			return mirror.Batch{}, errors.New("refused")
		case revision > after:
			return mirror.Batch{Items: []mirror.Item{item("key", revision)}, Revision: revision, Age: age}, nil
		case !time.Now().Before(until):
			return mirror.Batch{Revision: after, Age: age}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// past is a source whose first answer is slow and holds a key that is gone by now.
type past struct{ well }

func (p *past) Changes(ctx context.Context, after uint64, wait time.Duration) (mirror.Batch, error) {
	if after > 0 {
		return p.well.Changes(ctx, after, wait)
	}
	time.Sleep(time.Second)
	return mirror.Batch{Items: []mirror.Item{item("key", 2), item("gone", 3)}, Revision: 3, Whole: true}, nil
}

// ring is the peers of a follower.
type ring struct{ reader, peer *well }

func (r ring) Reader() mirror.Reader {
	if r.reader == nil {
		return mirror.Reader{}
	}
	return mirror.Reader{Source: r.reader, Wait: 500 * time.Millisecond}
}

func (r ring) Peer() mirror.Source {
	if r.peer == nil {
		return nil
	}
	return r.peer
}

// follow runs a follower in simulated time.
func follow(t *testing.T, store mirror.Source, peers ring, f func(m *mirror.Mirror, at func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New()
		fo := mirror.NewFollower(m, store, peers, event.New(log.NewNopLogger()), func([]mirror.Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); fo.Run(ctx) }()
		start := time.Now()
		f(m, func(d time.Duration) { time.Sleep(time.Until(start.Add(d))); synctest.Wait() })
		cancel()
		<-done
	})
}

// Guards against a change of the store that takes longer than a second to arrive.
func TestFollowerSeesChangesAtOnce(t *testing.T) {
	store := &well{revision: 1}
	follow(t, store, ring{}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(5 * time.Second)
		store.set(func(w *well) { w.revision = 2 })
		at(5*time.Second + 300*time.Millisecond)
		if m.Revision() != 2 {
			t.Errorf("revision %d after 0.3 s, want 2", m.Revision())
		}
	})
	if calls := store.count(); calls > 8 {
		t.Errorf("%d calls in 5.3 s without trouble", calls)
	}
}

// Guards against an entry that learns nothing while the store does not answer it, but answers others.
func TestFollowerAsksPeersWhileTheStoreIsSilent(t *testing.T) {
	for name, break_ := range map[string]func(*well){
		"silent":  func(w *well) { w.silent = true },
		"refuses": func(w *well) { w.fails = true },
	} {
		store, peer := &well{revision: 1}, &well{revision: 1}
		follow(t, store, ring{peer: peer}, func(m *mirror.Mirror, at func(time.Duration)) {
			at(time.Second)
			store.set(break_)
			at(6 * time.Second)
			peer.set(func(w *well) { w.revision = 7 })
			at(7 * time.Second)
			if m.Revision() != 7 {
				t.Errorf("%s: revision %d a second after the peer's, want 7", name, m.Revision())
			}
			store.set(func(w *well) { w.silent, w.fails, w.revision = false, false, 9 })
			at(11 * time.Second)
			if m.Revision() != 9 {
				t.Errorf("%s: revision %d after the store is back, want 9", name, m.Revision())
			}
		})
	}
}

// Guards against an entry that starts while the store is down and stays without a configuration.
func TestFollowerStartsFromAPeer(t *testing.T) {
	store, peer := &well{silent: true}, &well{revision: 4}
	follow(t, store, ring{peer: peer}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(time.Second)
		if m.Revision() != 4 {
			t.Errorf("revision %d, want the peer's 4", m.Revision())
		}
	})
}

// Guards against calls to the store from entries that have another one to read it.
func TestFollowerLeavesTheStoreToItsReader(t *testing.T) {
	store, reader := &well{revision: 1}, &well{revision: 1}
	follow(t, store, ring{reader: reader}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(20 * time.Second)
		reader.set(func(w *well) { w.revision = 2 })
		at(20*time.Second + 100*time.Millisecond)
		if m.Revision() != 2 {
			t.Errorf("revision %d, want 2", m.Revision())
		}
	})
	if calls := store.count(); calls != 1 {
		t.Errorf("%d calls to the store, want the first only", calls)
	}
}

// Guards against an entry that trusts a reader which is frozen, gone, or out of touch with the store.
func TestFollowerTurnsToTheStoreWhenItsReaderFails(t *testing.T) {
	for name, break_ := range map[string]func(*well){
		"frozen":       func(w *well) { w.silent = true },
		"gone":         func(w *well) { w.fails = true },
		"out of touch": func(w *well) { w.age = mirror.Stale + time.Second },
	} {
		store, reader := &well{revision: 1}, &well{revision: 1}
		follow(t, store, ring{reader: reader}, func(m *mirror.Mirror, at func(time.Duration)) {
			at(5 * time.Second)
			reader.set(break_)
			store.set(func(w *well) { w.revision = 2 })
			at(5*time.Second + 1500*time.Millisecond)
			if m.Revision() != 2 {
				t.Errorf("%s: revision %d after 1.5 s, want the store's 2", name, m.Revision())
			}
		})
	}
}

// Guards against a key that a first read of some seconds ago brings back though a peer knew it to be gone.
func TestFollowerLeavesOutAnOlderRead(t *testing.T) {
	store, peer := &past{well: well{revision: 4}}, &well{revision: 4}
	follow(t, store, ring{peer: peer}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(3 * time.Second)
		if got := m.Since(0); got.Revision != 4 || len(got.Items) != 1 || got.Items[0].Key != "key" {
			t.Errorf("%v, want the key alone at revision 4", got)
		}
	})
}

// heavy is a source whose first answer takes long, as a store with many readers does.
type heavy struct{ well }

func (h *heavy) Changes(ctx context.Context, after uint64, wait time.Duration) (mirror.Batch, error) {
	if after > 0 {
		return h.well.Changes(ctx, after, wait)
	}
	h.set(func(w *well) { w.calls++ })
	select {
	case <-time.After(9 * time.Second):
		return mirror.Batch{Items: []mirror.Item{item("key", 3)}, Revision: 3, Whole: true}, nil
	case <-ctx.Done():
		return mirror.Batch{}, ctx.Err()
	}
}

// Guards against an entry that gives up the same long read again and again and never starts.
func TestFollowerWaitsLongerForAHeavyRead(t *testing.T) {
	store := &heavy{well{revision: 3}}
	follow(t, store, ring{}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(22 * time.Second)
		if m.Revision() != 3 {
			t.Errorf("revision %d after 22 s, want 3", m.Revision())
		}
	})
}

// Guards against many priced calls to a store that refuses them all, and
// against an entry that is late to hear of its return, which renewals tell.
func TestFollowerCallsASilentStoreSeldom(t *testing.T) {
	store := &well{revision: 1}
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New()
		fo := mirror.NewFollower(m, store, ring{}, event.New(log.NewNopLogger()), func([]mirror.Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); fo.Run(ctx) }()
		time.Sleep(5 * time.Second)
		store.set(func(w *well) { w.fails = true })
		before := store.count()
		time.Sleep(20 * time.Second)
		if n := store.count() - before; n > 16 {
			t.Errorf("%d calls in 20 s to a store that refuses them", n)
		}
		store.set(func(w *well) { w.fails, w.revision = false, 2 })
		fo.Heard()
		time.Sleep(100 * time.Millisecond)
		if m.Revision() != 2 {
			t.Errorf("revision %d 0.1 s after a renewal, want 2", m.Revision())
		}
		cancel()
		<-done
	})
}

// Guards against pauses between renewals that pass for an outage, and an outage that is over for a while before it counts as over.
func TestOutagesLastUntilAWhileBehindTheReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := mirror.NewFollower(mirror.New(), &well{}, ring{}, event.New(log.NewNopLogger()), func([]mirror.Item) {})
		const while = 2 * time.Second
		for i, c := range []struct {
			pause time.Duration // pause is the time without a word of the store.
			heard bool
			want  bool
		}{
			{time.Second, true, false},
			{1900 * time.Millisecond, false, false},
			{0, true, false},
			{mirror.Outage, false, true},
			{time.Second, true, true},
			{time.Second, true, true},
			{time.Second, true, false},
		} {
			time.Sleep(c.pause)
			if c.heard {
				f.Heard()
			}
			if got := f.Disturbed(while); got != c.want {
				t.Errorf("step %d: disturbed %v, want %v", i, got, c.want)
			}
		}
	})
}
