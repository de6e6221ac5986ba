package mirror_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/site/mirror"
)

// Guards against an entry that stays in an earlier era of the store for good, once all disturbances are over.
func TestEntriesReachTheNewestEra(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		lost := rapid.IntRange(0, 30).Draw(r, "lost")
		grown := rapid.IntRange(0, 60).Draw(r, "grown")
		failed := -1
		var at mirror.Position
		synctest.Test(t, func(*testing.T) {
			s := newSite(siteEntries, 0)
			s.run(func() {
				for _, p := range steps {
					s.take(p)
					s.write(item("key", 0))
					time.Sleep(p.amount)
				}
				s.locked(func() {
					s.restore(lost)
					for i := range siteEntries {
						s.silent[i], s.frozen[i], s.delay[i] = false, false, 0
					}
				})
				for range grown {
					s.write(item("other", 0))
				}
				time.Sleep(20 * time.Second)
				at = mirror.Position{Era: s.store.era(), Revision: s.store.revision()}
				for i, m := range s.mirrors {
					if m.Position() != at || !maps.Equal(liveState(m), s.store.stateAt(at)) {
						failed = i
					}
				}
			})
		})
		if failed >= 0 {
			r.Fatalf("entry %d is not at %v", failed, at)
		}
	})
}

// Guards against a burst of calls to the store, and against a late read, when every entry learns of a new era from
// the answer to a renewal: only the reader may read the store, at once, although its call is held open.
func TestOnlyTheReaderReadsANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 20
		s := newSite(entries, 0)
		for i := 1; i < entries; i++ {
			s.readerOf[i] = 0
		}
		s.run(func() {
			time.Sleep(5100 * time.Millisecond)
			before := make([]int, entries)
			s.locked(func() {
				s.restore(0)
				copy(before, s.calls)
			})
			for _, e := range s.entries {
				e.RecordEra(1)
			}
			time.Sleep(100 * time.Millisecond)
			s.locked(func() {
				for i := range entries {
					if n := s.calls[i] - before[i]; i > 0 && n > 0 || n > 2 {
						t.Errorf("entry %d called the store %d times", i, n)
					}
				}
			})
			for i, m := range s.mirrors {
				if m.Position().Era != 1 {
					t.Errorf("entry %d is at %v 0.1 s after the first answer of the era", i, m.Position())
				}
			}
		})
	})
}

// keepingPeer is a peer that keeps an item which the store has lost; it counts the calls.
type keepingPeer struct {
	mu    sync.Mutex
	calls int
}

func (p *keepingPeer) Changes(_ context.Context, after mirror.Position, _ time.Duration) (mirror.Batch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return mirror.Batch{Era: after.Era, Revision: after.Revision, Kept: []mirror.Item{{Key: "lost"}}}, nil
}

func (p *keepingPeer) Reader() mirror.Reader { return mirror.Reader{} }

func (p *keepingPeer) Peer() mirror.Source { return p }

// Guards against an entry that reads the store itself and goes by an older configuration than its peers after a restart,
// where keys are revoked strictly, and against calls to peers elsewhere.
func TestPeersAreAskedForWhatTheStoreHasLost(t *testing.T) {
	for _, c := range []struct {
		era         uint64
		bound       time.Duration
		least, most int // least and most bound the calls to peers.
	}{
		{1, 5 * time.Second, 3, 12},
		{1, 0, 0, 0},
		{0, 5 * time.Second, 0, 1}, // The first read confirms nothing, so that one peer is asked.
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(1, 0)
			s.locked(func() {
				for range c.era {
					s.restore(0)
				}
			})
			m, p, kept := mirror.New(), new(keepingPeer), false
			f := mirror.NewFollower(m, siteStore{s, 0}, p, event.New(log.NewNopLogger()), s.uptime, func(items []mirror.Item) {
				kept = kept || items[0].Key == "lost"
			})
			f.RequireConfirmation(c.bound)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			for range 20 {
				time.Sleep(time.Second)
				f.RecordStoreAnswer() // The entry's renewals are answered.
			}
			cancel()
			<-done
			if kept != (p.calls > 0) || p.calls < c.least || p.calls > c.most || len(m.Since(mirror.Position{}).Items) != 1 {
				t.Errorf("era %d, bound %v: kept %v, %d calls to peers", c.era, c.bound, kept, p.calls)
			}
		})
	}
}

// lateStore is a store whose first answer is a stale read in a later era, and which then is silent.
type lateStore struct{}

func (lateStore) Changes(ctx context.Context, after mirror.Position, _ time.Duration) (mirror.Batch, error) {
	if after.Revision == 0 {
		time.Sleep(time.Second)
		return mirror.Batch{Items: []mirror.Item{item("key", 3)}, Era: 1, Revision: 3, Snapshot: true, Unconfirmed: true}, nil
	}
	<-ctx.Done()
	return mirror.Batch{}, ctx.Err()
}

// formerPeer is a peer in the era before.
type formerPeer struct{}

func (formerPeer) Changes(context.Context, mirror.Position, time.Duration) (mirror.Batch, error) {
	return mirror.Batch{Items: []mirror.Item{item("key", 9)}, Revision: 9, Snapshot: true}, nil
}

func (formerPeer) Reader() mirror.Reader { return mirror.Reader{} }

func (p formerPeer) Peer() mirror.Source { return p }

// Guards against a confirmed age from an earlier era that is kept although a stale read of a later one has replaced the
// content: the stale read may lack what the age covers.
func TestStaleReadOfALaterEraConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, start := mirror.New(), time.Now()
		f := mirror.NewFollower(m, lateStore{}, formerPeer{}, event.New(log.NewNopLogger()), func() time.Duration { return time.Since(start) }, func([]mirror.Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(900 * time.Millisecond)
		if age := f.ConfirmedAge(); m.Revision() != 9 || age > time.Second {
			t.Errorf("revision %d, age %v, want the peer's", m.Revision(), age)
		}
		time.Sleep(600 * time.Millisecond)
		if age := f.ConfirmedAge(); m.Revision() != 3 || age < time.Hour {
			t.Errorf("revision %d, age %v, want the stale read's", m.Revision(), age)
		}
		cancel()
		<-done
	})
}
