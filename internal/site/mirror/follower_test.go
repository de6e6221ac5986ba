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

// fakeSource is a source with one key whose value changes; it can be made to fail in several ways.
type fakeSource struct {
	mu           sync.Mutex
	revision     uint64
	age          time.Duration
	fails        bool
	unresponsive bool
	calls        int
}

func (w *fakeSource) set(f func(*fakeSource)) { w.mu.Lock(); f(w); w.mu.Unlock() }

func (w *fakeSource) callCount() int { w.mu.Lock(); defer w.mu.Unlock(); return w.calls }

func (w *fakeSource) Changes(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	w.set(func(w *fakeSource) { w.calls++ })
	for until := time.Now().Add(wait); ; {
		w.mu.Lock()
		revision, age, fails, silent := w.revision, w.age, w.fails, w.unresponsive
		w.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return mirror.Batch{}, ctx.Err()
		case silent:
			<-ctx.Done()
			return mirror.Batch{}, ctx.Err()
		case fails:
			return mirror.Batch{}, errors.New("refused")
		case revision > after.Revision:
			return mirror.Batch{Items: []mirror.Item{item("key", revision)}, Revision: revision, Age: age}, nil
		case !time.Now().Before(until):
			return mirror.Batch{Revision: after.Revision, Age: age}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// staleSource is a source whose first answer is slow and contains a key that has been removed meanwhile.
type staleSource struct{ fakeSource }

func (p *staleSource) Changes(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	if after.Revision > 0 {
		return p.fakeSource.Changes(ctx, after, wait)
	}
	time.Sleep(time.Second)
	return mirror.Batch{Items: []mirror.Item{item("key", 2), item("gone", 3)}, Revision: 3, Snapshot: true}, nil
}

// fakePeers are the peers of a follower.
type fakePeers struct{ reader, peer *fakeSource }

func (r fakePeers) Reader() mirror.Reader {
	if r.reader == nil {
		return mirror.Reader{}
	}
	return mirror.Reader{Source: r.reader, Wait: 500 * time.Millisecond}
}

func (r fakePeers) Peer() mirror.Source {
	if r.peer == nil {
		return nil
	}
	return r.peer
}

// sinceTestStart returns a clock that begins above 0 and never stops.
func sinceTestStart() func() time.Duration {
	start := time.Now().Add(-time.Hour)
	return func() time.Duration { return time.Since(start) }
}

// runFollower runs a follower in simulated time; f calls at to wait until a time since the start.
func runFollower(t *testing.T, store mirror.Source, peers fakePeers, f func(m *mirror.Mirror, at func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New()
		follower := mirror.NewFollower(m, store, peers, event.New(log.NewNopLogger()), sinceTestStart(), func([]mirror.Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		start := time.Now()
		f(m, func(d time.Duration) { time.Sleep(time.Until(start.Add(d))); synctest.Wait() })
		cancel()
		<-done
	})
}

// Guards against changes of the store that take more than a second to arrive, and against needless calls to the store.
func TestFollowerReadsChangesWithoutDelay(t *testing.T) {
	store := &fakeSource{revision: 1}
	runFollower(t, store, fakePeers{}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(5 * time.Second)
		store.set(func(w *fakeSource) { w.revision = 2 })
		at(5*time.Second + 300*time.Millisecond)
		if m.Revision() != 2 {
			t.Errorf("revision %d after 0.3 s, want 2", m.Revision())
		}
	})
	if calls := store.callCount(); calls > 8 {
		t.Errorf("%d calls in 5.3 s without faults", calls)
	}
}

// Guards against an entry that gets no updates while the store answers other entries but not this one.
func TestFollowerPollsPeersWhileTheStoreDoesNotAnswer(t *testing.T) {
	for name, breakSource := range map[string]func(*fakeSource){
		"silent":  func(w *fakeSource) { w.unresponsive = true },
		"refuses": func(w *fakeSource) { w.fails = true },
	} {
		store, peer := &fakeSource{revision: 1}, &fakeSource{revision: 1}
		runFollower(t, store, fakePeers{peer: peer}, func(m *mirror.Mirror, at func(time.Duration)) {
			at(time.Second)
			store.set(breakSource)
			at(6 * time.Second)
			peer.set(func(w *fakeSource) { w.revision = 7 })
			at(7 * time.Second)
			if m.Revision() != 7 {
				t.Errorf("%s: revision %d a second after the peer's, want 7", name, m.Revision())
			}
			store.set(func(w *fakeSource) { w.unresponsive, w.fails, w.revision = false, false, 9 })
			at(11 * time.Second)
			if m.Revision() != 9 {
				t.Errorf("%s: revision %d after the store has recovered, want 9", name, m.Revision())
			}
		})
	}
}

// Guards against an entry that starts during a store outage and stays without a configuration although a peer has one.
func TestFollowerStartsFromAPeer(t *testing.T) {
	store, peer := &fakeSource{unresponsive: true}, &fakeSource{revision: 4}
	runFollower(t, store, fakePeers{peer: peer}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(time.Second)
		if m.Revision() != 4 {
			t.Errorf("revision %d, want the peer's 4", m.Revision())
		}
	})
}

// Guards against calls to the store from an entry that has a reader.
func TestFollowerWithAReaderDoesNotCallTheStore(t *testing.T) {
	store, reader := &fakeSource{revision: 1}, &fakeSource{revision: 1}
	runFollower(t, store, fakePeers{reader: reader}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(20 * time.Second)
		reader.set(func(w *fakeSource) { w.revision = 2 })
		at(20*time.Second + 100*time.Millisecond)
		if m.Revision() != 2 {
			t.Errorf("revision %d, want 2", m.Revision())
		}
	})
	if calls := store.callCount(); calls != 1 {
		t.Errorf("%d calls to the store, want the first only", calls)
	}
}

// Guards against calls to the store that grow with the number of entries when an outage ends: every entry used to
// leave its reader, which heard nothing either, and to read the many changes of the recovery from the store itself.
func TestOutageDoesNotMakeEntriesWithAReaderCallTheStore(t *testing.T) {
	const down, back, quiet = 5 * time.Second, 13 * time.Second, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store, reader := &fakeSource{revision: 1}, &fakeSource{revision: 1}
		m := mirror.New()
		follower := mirror.NewFollower(m, store, fakePeers{reader: reader}, event.New(log.NewNopLogger()), sinceTestStart(), func([]mirror.Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		before := 0
		for now := time.Duration(0); now < quiet; now += 50 * time.Millisecond {
			answers := now < down || now >= back
			reader.set(func(w *fakeSource) {
				if w.age = 0; !answers {
					w.age = now - down
				}
			})
			store.set(func(w *fakeSource) { w.unresponsive = !answers })
			if now > back && now < back+3*time.Second {
				reader.set(func(w *fakeSource) { w.revision++ })
				store.set(func(w *fakeSource) { w.revision++ })
			}
			if answers && now%(500*time.Millisecond) == 300*time.Millisecond {
				follower.RecordStoreAnswer() // The entry's renewal is answered.
			}
			if now == down {
				before = store.callCount()
			}
			time.Sleep(50 * time.Millisecond)
		}
		if n := store.callCount() - before; n > 2 {
			t.Errorf("%d calls to the store during and after an outage, want 2 at most", n)
		}
		if m.Revision() < 60 {
			t.Errorf("revision %d, want the reader's", m.Revision())
		}
		cancel()
		<-done
	})
}

// Guards against an entry that keeps reading from a reader that is frozen, terminated or cut off from the store.
func TestFollowerReadsTheStoreWhenItsReaderFails(t *testing.T) {
	for name, breakSource := range map[string]func(*fakeSource){
		"frozen":  func(w *fakeSource) { w.unresponsive = true },
		"gone":    func(w *fakeSource) { w.fails = true },
		"cut off": func(w *fakeSource) { w.age = mirror.StaleAfter + time.Second },
	} {
		store, reader := &fakeSource{revision: 1}, &fakeSource{revision: 1}
		runFollower(t, store, fakePeers{reader: reader}, func(m *mirror.Mirror, at func(time.Duration)) {
			at(5 * time.Second)
			reader.set(breakSource)
			store.set(func(w *fakeSource) { w.revision = 2 })
			at(5*time.Second + 1500*time.Millisecond)
			if m.Revision() != 2 {
				t.Errorf("%s: revision %d after 1.5 s, want the store's 2", name, m.Revision())
			}
		})
	}
}

// Guards against a slow first read that restores a key whose removal is already known from a peer.
func TestFollowerDropsAnOlderSnapshot(t *testing.T) {
	store, peer := &staleSource{fakeSource: fakeSource{revision: 4}}, &fakeSource{revision: 4}
	runFollower(t, store, fakePeers{peer: peer}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(3 * time.Second)
		if got := m.Since(mirror.Position{}); got.Revision != 4 || len(got.Items) != 1 || got.Items[0].Key != "key" {
			t.Errorf("%v, want only the key at revision 4", got)
		}
	})
}

// slowSource is a source whose first answer takes long, as that of a store with many readers does.
type slowSource struct{ fakeSource }

func (h *slowSource) Changes(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	if after.Revision > 0 {
		return h.fakeSource.Changes(ctx, after, wait)
	}
	h.set(func(w *fakeSource) { w.calls++ })
	select {
	case <-time.After(9 * time.Second):
		return mirror.Batch{Items: []mirror.Item{item("key", 3)}, Revision: 3, Snapshot: true}, nil
	case <-ctx.Done():
		return mirror.Batch{}, ctx.Err()
	}
}

// Guards against an entry that never starts because each attempt of a long first read times out.
func TestFollowerExtendsTheTimeoutOfTheFirstRead(t *testing.T) {
	store := &slowSource{fakeSource{revision: 3}}
	runFollower(t, store, fakePeers{}, func(m *mirror.Mirror, at func(time.Duration)) {
		at(22 * time.Second)
		if m.Revision() != 3 {
			t.Errorf("revision %d after 22 s, want 3", m.Revision())
		}
	})
}

// Guards against frequent calls, each of which has a price, to a store that refuses them all, and
// against an entry that reads late after a successful renewal has shown the store's recovery.
func TestFollowerBacksOffWhileTheStoreFails(t *testing.T) {
	store := &fakeSource{revision: 1}
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New()
		follower := mirror.NewFollower(m, store, fakePeers{}, event.New(log.NewNopLogger()), sinceTestStart(), func([]mirror.Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		time.Sleep(5 * time.Second)
		store.set(func(w *fakeSource) { w.fails = true })
		before := store.callCount()
		time.Sleep(20 * time.Second)
		if n := store.callCount() - before; n > 16 {
			t.Errorf("%d calls in 20 s to a store that refuses them", n)
		}
		store.set(func(w *fakeSource) { w.fails, w.revision = false, 2 })
		follower.RecordStoreAnswer()
		time.Sleep(100 * time.Millisecond)
		if m.Revision() != 2 {
			t.Errorf("revision %d 0.1 s after a renewal, want 2", m.Revision())
		}
		cancel()
		<-done
	})
}

// Guards against a pause between renewals that counts as an outage, and against an outage that does not count
// for the given time after its end.
func TestOutageLastsUntilAWindowAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := mirror.NewFollower(mirror.New(), &fakeSource{}, fakePeers{}, event.New(log.NewNopLogger()), sinceTestStart(), func([]mirror.Item) {})
		const window = 2 * time.Second
		for i, c := range []struct {
			pause time.Duration // pause is the time without an answer from the store.
			heard bool
			want  bool
		}{
			{time.Second, true, false},
			{1900 * time.Millisecond, false, false},
			{0, true, false},
			{mirror.OutageAfter, false, true},
			{time.Second, true, true},
			{time.Second, true, true},
			{time.Second, true, false},
		} {
			time.Sleep(c.pause)
			if c.heard {
				f.RecordStoreAnswer()
			}
			if got := f.RecentOutage(window); got != c.want {
				t.Errorf("step %d: outage %v, want %v", i, got, c.want)
			}
		}
	})
}

// Guards against a mirror that counts as fresh although the changes cannot be read, because the store answers renewals,
// and against one that counts as stale although they are read.
func TestAnswersToOtherCallsDoNotHideMissedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeSource{revision: 1}
		follower := mirror.NewFollower(mirror.New(), store, fakePeers{}, event.New(log.NewNopLogger()), sinceTestStart(), func([]mirror.Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		go func() { follower.Run(ctx); done <- struct{}{} }()
		go func() {
			for ctx.Err() == nil {
				follower.RecordStoreAnswer()
				time.Sleep(900 * time.Millisecond)
			}
			done <- struct{}{}
		}()
		for range 100 {
			time.Sleep(300 * time.Millisecond)
			if age := follower.Age(); age >= mirror.StaleAfter {
				t.Fatalf("age %v although the changes are read", age)
			}
		}
		for name, breakSource := range map[string]func(*fakeSource){
			"fails": func(w *fakeSource) { w.fails = true }, "silent": func(w *fakeSource) { w.unresponsive = true },
		} {
			store.set(breakSource)
			time.Sleep(8 * time.Second)
			if age := follower.Age(); age < mirror.OutageAfter {
				t.Errorf("%s: age %v after 8 s without a read of the changes", name, age)
			}
			store.set(func(w *fakeSource) { w.fails, w.unresponsive = false, false })
			// The call that hangs ends after 2.8 s, the next one begins up to 0.75 s later and is held open for 2 s.
			time.Sleep(5600 * time.Millisecond)
			if age := follower.Age(); age >= mirror.StaleAfter {
				t.Errorf("%s: age %v after the changes can be read again", name, age)
			}
		}
		cancel()
		<-done
		<-done
	})
}
