package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/site/mirror"
)

// site is a store and entries that read it and each other, on one clock that also jumps, as at a suspension.
type site struct {
	mu       sync.Mutex
	clock    func() time.Duration
	jumped   time.Duration
	store    storeModel
	acked    [][]time.Duration // acked holds when each revision of each era was acknowledged.
	calls    []int             // calls counts the calls to the store by entry.
	lag      uint64            // lag is by how many revisions a stale read is behind.
	silent   []bool            // silent is set for the entries to which the store does not answer.
	frozen   []bool            // frozen is set for the entries that answer nobody.
	delay    []time.Duration   // delay is how long each message to or from an entry takes.
	mirrors  []*mirror.Mirror
	entries  []*mirror.Follower
	peerOf   []int // peerOf is the entry that each entry asks while the store does not answer.
	readerOf []int // readerOf is the reader of each entry; -1 for none.
}

func (s *site) uptime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock() + s.jumped
}

func (s *site) locked(f func()) { s.mu.Lock(); defer s.mu.Unlock(); f() }

// siteStore is the store as one entry reaches it.
type siteStore struct {
	s     *site
	entry int
}

func (o siteStore) Changes(ctx context.Context, after mirror.Position, wait time.Duration) (b mirror.Batch, err error) {
	s := o.s
	var delay time.Duration
	s.locked(func() {
		delay = s.delay[o.entry]
		s.calls[o.entry]++
	})
	time.Sleep(delay)
	moved := false // A call that is held open does not see a restoration; the next one does.
	s.locked(func() { moved = after.Era != s.store.era() })
	for until := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
		answered, silent := false, false
		s.locked(func() {
			silent = s.silent[o.entry]
			revision := s.store.revision()
			switch {
			case silent:
			case after.Revision == 0:
				b, answered = s.store.snapshot(revision-min(s.lag, revision-1)), true
				b.Unconfirmed = true
			case moved || revision > after.Revision || !time.Now().Before(until):
				b, answered = s.store.changes(after), true
			}
		})
		if silent {
			<-ctx.Done()
		}
		if answered {
			time.Sleep(delay)
		}
		if answered || ctx.Err() != nil {
			return b, ctx.Err()
		}
	}
}

// sitePeer is one entry as another one reads from it.
type sitePeer struct {
	s     *site
	entry int
}

func (o sitePeer) Changes(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	s := o.s
	var delay time.Duration
	var frozen bool
	s.locked(func() { delay, frozen = s.delay[o.entry], s.frozen[o.entry] })
	if frozen {
		<-ctx.Done()
		return mirror.Batch{}, errors.New("frozen")
	}
	time.Sleep(delay)
	received := s.uptime()
	select {
	case <-s.mirrors[o.entry].ChangedAfter(after):
	case <-time.After(wait):
	}
	era := s.mirrors[o.entry].Position().Era
	held, age := s.uptime()-received, s.entries[o.entry].ConfirmedAge()
	time.Sleep(delay) // The process is paused between its clock and its mirror.
	b := s.mirrors[o.entry].Since(after)
	b.Held, b.ConfirmedAge, b.Unconfirmed = held, age, b.Era != era
	time.Sleep(delay)
	return b, ctx.Err()
}

// sitePeers are the sources of one entry other than the store.
type sitePeers struct {
	s     *site
	entry int
}

func (o sitePeers) Peer() mirror.Source {
	var p int
	o.s.locked(func() { p = o.s.peerOf[o.entry] })
	return sitePeer{o.s, p}
}

func (o sitePeers) Reader() (r mirror.Reader) {
	o.s.locked(func() {
		if p := o.s.readerOf[o.entry]; p >= 0 {
			r = mirror.Reader{Source: sitePeer{o.s, p}, Hops: p, Wait: time.Second}
		}
	})
	return r
}

// newSite returns a site of n entries; each reads from the one before it, and the first from the store.
func newSite(n int, bound time.Duration) *site {
	start := time.Now().Add(-time.Hour)
	s := &site{
		clock: func() time.Duration { return time.Since(start) }, silent: make([]bool, n), frozen: make([]bool, n), delay: make([]time.Duration, n),
		mirrors: make([]*mirror.Mirror, n), entries: make([]*mirror.Follower, n), peerOf: make([]int, n), readerOf: make([]int, n),
		calls: make([]int, n), acked: make([][]time.Duration, 1),
	}
	s.write(item("key", 1))
	for i := range n {
		s.readerOf[i] = i - 1
		s.restart(i, bound)
	}
	return s
}

// restart gives the entry an empty mirror; it stops nothing.
func (s *site) restart(i int, bound time.Duration) {
	s.mirrors[i] = mirror.New()
	s.entries[i] = mirror.NewFollower(s.mirrors[i], siteStore{s, i}, sitePeers{s, i}, event.New(log.NewNopLogger()), s.uptime, func([]mirror.Item) {})
	s.entries[i].RequireConfirmation(bound)
}

func (s *site) write(it mirror.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it.Revision, it.Value = s.store.revision()+1, fmt.Append(nil, s.store.era())
	era := s.store.era()
	s.store.history, s.acked[era] = append(s.store.history, it), append(s.acked[era], s.clock()+s.jumped)
}

// restore restores the store from a copy that lacks the last writes; the site must be locked.
func (s *site) restore(lost int) {
	era, revision := s.store.era(), max(1, int(s.store.revision())-lost)
	s.store.restore(uint64(revision))
	s.acked = append(s.acked, slices.Clone(s.acked[era][:revision]))
}

// check returns an error when an entry lacks something that was acknowledged in the era of its mirror, or in a later one,
// before the moment that it states.
func (s *site) check(i int) error {
	era := s.mirrors[i].Position().Era
	moment := s.uptime() - s.entries[i].ConfirmedAge()
	has := s.mirrors[i].Position()
	if has.Era != era {
		return nil // The age is that of the content of the earlier era.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for era := has.Era; era <= s.store.era(); era++ {
		for at, acked := range s.acked[era] {
			known := era == has.Era && uint64(at+1) <= has.Revision || era > has.Era && s.takenOver(era, at)
			if !known && acked < moment {
				return fmt.Errorf("entry %d states the moment %v at %v and lacks revision %d of era %d of %v", i, moment, has, at+1, era, acked)
			}
		}
	}
	return nil
}

// takenOver reports whether a write of the era was made in an earlier one.
func (s *site) takenOver(era uint64, at int) bool {
	before := s.acked[era-1]
	return at < len(before) && before[at] == s.acked[era][at]
}

// run runs all entries until f returns.
func (s *site) run(f func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, e := range s.entries {
		running.Go(func() { e.Run(ctx) })
	}
	f()
	cancel()
	running.Wait()
}

const siteEntries = 4

// siteStep is a disturbance of one entry.
type siteStep struct {
	entry, kind int
	amount      time.Duration
}

// drawSteps draws a schedule before it is played: a draw in a bubble of simulated time cannot be shrunk.
func drawSteps(r *rapid.T) []siteStep {
	steps := make([]siteStep, rapid.IntRange(5, 60).Draw(r, "steps"))
	for i := range steps {
		steps[i] = siteStep{
			rapid.IntRange(0, siteEntries-1).Draw(r, "entry"), rapid.IntRange(0, 6).Draw(r, "kind"),
			time.Duration(rapid.IntRange(0, 900).Draw(r, "amount")) * time.Millisecond,
		}
	}
	return steps
}

func (s *site) take(p siteStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch i := p.entry; p.kind {
	case 1:
		s.silent[i] = !s.silent[i]
	case 2:
		s.frozen[i] = !s.frozen[i]
	case 3:
		s.delay[i] = p.amount / 3
	case 4:
		s.jumped += 5 * p.amount
	case 5:
		s.peerOf[i] = int(p.amount/time.Millisecond) % siteEntries
	case 6:
		s.restore(int(p.amount / (100 * time.Millisecond)))
	}
}

// Guards against a confirmed age that is younger than the truth: through slow answers, calls that a peer held, pauses
// and suspensions, chains of readers, peers that are behind, a first read that may be stale, and a store
// that is restored from older copies. A request would then
// run with a key that was revoked long before.
func TestConfirmedAgeIsNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var failure error
		bound := time.Duration(rapid.IntRange(0, 1).Draw(r, "strict")) * 5 * time.Second
		lag := uint64(rapid.IntRange(0, 5).Draw(r, "lag"))
		steps := drawSteps(r)
		synctest.Test(t, func(*testing.T) {
			s := newSite(siteEntries, bound)
			s.lag = lag
			for range 5 {
				s.write(item("key", 0))
			}
			s.run(func() {
				for _, p := range steps {
					s.take(p)
					s.write(item("key", 0))
					time.Sleep(p.amount)
					for i := range siteEntries {
						if err := s.check(i); err != nil && failure == nil {
							failure = err
						}
					}
				}
			})
		})
		if failure != nil {
			r.Fatal(failure)
		}
	})
}

// Guards against a confirmed age that grows beyond 3 s, from which requests are refused, although only one reader is
// silent or does not hear from the store, while this entry's renewals are answered.
func TestConfirmedAgeStaysLowBehindOneSilentReader(t *testing.T) {
	for name, breakReader := range map[string]func(*site){
		"silent":       func(s *site) { s.frozen[0] = true },
		"disconnected": func(s *site) { s.silent[0] = true },
		"store silent to both": func(s *site) {
			s.silent[0], s.silent[1] = true, true
			s.peerOf[0], s.peerOf[1] = 2, 2
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(3, 5*time.Second)
			s.readerOf[2] = -1
			s.run(func() {
				for now := time.Duration(0); now < 30*time.Second; now += 50 * time.Millisecond {
					if now == 5*time.Second {
						s.locked(func() { breakReader(s) })
					}
					if now%(900*time.Millisecond) == 0 {
						s.entries[0].RecordStoreAnswer()
						s.entries[1].RecordStoreAnswer()
					}
					if age := s.entries[1].ConfirmedAge(); now > 2*time.Second && age >= 3*time.Second {
						t.Errorf("%s: confirmed age %v after %v", name, age, now)
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		})
	}
}
