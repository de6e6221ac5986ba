package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tamarackspool/internal/record/event"
)

// Source answers what changed after a revision; revision 0 asks for everything.
type Source interface {
	// Changes waits up to the given time for a change.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Peers chooses other entries to ask.
type Peers interface {
	// Reader returns the entry that reads the store for this one.
	Reader() Reader
	// Peer returns an entry to ask while the store is silent; nil when none is known.
	Peer() Source
}

// Reader is an entry that reads the store for others.
type Reader struct {
	Source  Source        // Source is nil for an entry that reads the store itself.
	Between int           // Between is the number of entries between the reader and the store.
	Wait    time.Duration // Wait is how long the reader holds a call open.
}

// Times and waits of the follower.
const (
	wait       = 2 * time.Second         // wait is how long the store holds a call open; a silent connection is noticed soon after.
	grace      = 800 * time.Millisecond  // grace is how long an answer may take beyond the wait, two round trips between regions and a slow store included.
	firstRead  = 2500 * time.Millisecond // firstRead is the limit of the first read of everything, which doubles with each that fails.
	longRead   = 20 * time.Second        // longRead is the most that it grows to.
	spacing    = 250 * time.Millisecond  // spacing is the least time between two calls, as each is counted.
	retry      = 500 * time.Millisecond  // retry is the wait after a failed call, before jitter.
	longRetry  = 2 * time.Second         // longRetry is the same while renewals fail too, which tell when the store is back.
	peerEvery  = 400 * time.Millisecond  // peerEvery is how often a peer is asked while the store is silent.
	startEvery = 150 * time.Millisecond  // startEvery is the same for an entry that knows nothing yet.
	peerWait   = 600 * time.Millisecond  // peerWait bounds one question to a peer.

	readerGrace = 400 * time.Millisecond // readerGrace is how long the answer of a reader may take beyond its wait.
	distrust    = 3 * time.Second        // distrust is how long an entry reads the store itself after its reader failed.
)

// Stale is the age of the store's last word from which an entry asks its peers
// too. The store is heard with each renewal of the entry's lease, about once a
// second; a reader out of touch is left before a version is late.
const Stale = 1250 * time.Millisecond

// Outage is the silence of the store from which registrations may have lapsed. It is above the
// time between two renewals of the entry's lease, and above what the loss of a reader takes.
const Outage = 2 * time.Second

// startStale is the same for a store that has not been heard since the start:
// more than the round trips of a first call.
const startStale = 250 * time.Millisecond

// Follower keeps a mirror up to date.
type Follower struct {
	mirror *Mirror
	store  Source
	peers  Peers
	events *event.Log
	change func([]Item)
	back   chan struct{} // back has an element once the store is heard again after a silence.

	mu    sync.Mutex   // mu is held while a batch is taken over.
	heard atomic.Int64 // heard is when the store last answered, in nanoseconds since start.
	// returned is when the store was last heard again after an outage, in nanoseconds since start; 0 for never.
	returned atomic.Int64
	start    time.Time
	lost     bool
	// failures counts the calls to the store that failed in a row.
	failures int
}

// NewFollower returns a follower that calls change, from one goroutine at a
// time, with the items of each batch that changed something.
func NewFollower(m *Mirror, store Source, peers Peers, events *event.Log, change func([]Item)) *Follower {
	return &Follower{mirror: m, store: store, peers: peers, events: events, change: change, start: time.Now(), back: make(chan struct{}, 1)}
}

// Heard notes that the store has answered another call of this entry. After a
// silence it ends the call for changes that is in progress, which may be one
// that the store never received.
func (f *Follower) Heard() {
	age := f.Age()
	if age >= Stale || age >= startStale && f.heard.Load() == 0 {
		select {
		case f.back <- struct{}{}:
		default:
		}
	}
	f.hear(int64(time.Since(f.start)))
}

// hear notes when the store answered.
func (f *Follower) hear(at int64) {
	if last := f.heard.Swap(at); last > 0 && time.Duration(at-last) >= Outage {
		f.returned.Store(int64(time.Since(f.start)))
	}
}

// Disturbed reports whether the store has been silent for the time of an outage, or was so until less than d ago.
func (f *Follower) Disturbed(d time.Duration) bool {
	returned := time.Duration(f.returned.Load())
	return f.Age() >= Outage || returned > 0 && time.Since(f.start)-returned < d
}

// Age returns how long ago the store last answered.
func (f *Follower) Age() time.Duration {
	return time.Since(f.start) - time.Duration(f.heard.Load())
}

// Run follows the store, and the peers while it is silent, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var asking sync.WaitGroup
	asking.Go(func() { f.askStore(ctx) })
	asking.Go(func() { f.askPeers(ctx) })
	asking.Wait()
}

// take takes a batch over before the next call asks for what comes after it. A
// whole batch that is older than what a peer has told meanwhile is left out: it
// may hold keys that were removed since.
func (f *Follower) take(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Whole && b.Revision < f.mirror.Revision() {
		return
	}
	if items := f.mirror.Apply(b); len(items) > 0 {
		f.change(items)
	}
}

func (f *Follower) askStore(ctx context.Context) {
	var trust time.Time
	for ctx.Err() == nil {
		began := time.Now()
		if began.After(trust) {
			if asked, ok := f.askReader(ctx); asked {
				if !ok {
					trust = time.Now().Add(distrust)
				}
				continue
			}
		}
		b, err := f.call(ctx)
		if errors.Is(err, errReturned) {
			continue
		}
		if err != nil {
			f.failures++
			f.failed(ctx, err)
			f.rest(ctx, f.backOff())
			continue
		}
		f.failures = 0
		f.listened(b)
		f.take(b)
		sleep(ctx, spacing-time.Since(began))
	}
}

// askReader asks the entry that reads the store for this one. It returns
// whether there is one, and whether what it holds is as good as the store's.
func (f *Follower) askReader(ctx context.Context) (asked, ok bool) {
	after := f.mirror.Revision()
	reader := f.peers.Reader()
	if reader.Source == nil || after == 0 {
		return false, false
	}
	bounded, cancel := context.WithTimeout(ctx, reader.Wait+readerGrace)
	defer cancel()
	b, err := reader.Source.Changes(bounded, after, reader.Wait)
	if ctx.Err() != nil {
		return true, true
	}
	if err != nil || b.Age > Stale+time.Duration(reader.Between)*reader.Wait || b.Revision < after {
		f.events.Log(event.ReaderLeft, "error", err, "age", b.Age, "revision", b.Revision, "after", after)
		return true, false
	}
	f.listened(b)
	f.take(b)
	return true, true
}

// listened notes that the store was heard from, directly or through a reader.
func (f *Follower) listened(b Batch) {
	if at := int64(time.Since(f.start) - b.Age); at > f.heard.Load() {
		f.hear(at)
	}
	if f.lost {
		f.lost = false
		f.events.Log(event.StoreRestored, "revision", b.Revision)
	}
}

func (f *Follower) call(ctx context.Context) (Batch, error) {
	after := f.mirror.Revision()
	limit := wait + grace
	if after == 0 {
		limit = min(firstRead<<min(f.failures, 8), longRead)
	}
	select {
	case <-f.back:
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	go func() {
		select {
		case <-f.back:
			abandon(errReturned)
		case <-ctx.Done():
		}
	}()
	b, err := f.store.Changes(ctx, after, wait)
	if err != nil && errors.Is(context.Cause(ctx), errReturned) {
		return Batch{}, errReturned
	}
	return b, err
}

// errReturned ends a call because the store was heard again after a silence.
var errReturned = errors.New("mirror: the store is back")

// backOff returns the wait after a failed call: it doubles while the store is
// heard by no other call either.
func (f *Follower) backOff() time.Duration {
	d := retry
	if f.Age() >= Stale {
		d = min(retry<<min(f.failures, 8), longRetry)
	}
	return d/2 + rand.N(d)
}

// rest waits before the next call, at most until the store is heard again.
func (f *Follower) rest(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-f.back:
	case <-ctx.Done():
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || f.lost {
		return
	}
	f.lost = true
	f.events.Log(event.StoreUnavailable, "error", err, "revision", f.mirror.Revision(), "age", f.Age())
}

func (f *Follower) askPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if f.mirror.Revision() > 0 {
			sleep(ctx, peerEvery)
		} else {
			sleep(ctx, startEvery)
		}
		if f.Age() < Stale && f.mirror.Revision() > 0 {
			continue
		}
		p := f.peers.Peer()
		if p == nil {
			continue
		}
		after := f.mirror.Revision()
		asked, cancel := context.WithTimeout(ctx, peerWait)
		b, err := p.Changes(asked, after, 0)
		cancel()
		if err != nil {
			f.events.Log(event.PeerSilent, "error", err, "after", after)
			continue
		}
		if b.Revision <= after {
			continue
		}
		f.events.Log(event.PeerRead, "after", after, "revision", b.Revision, "items", len(b.Items), "whole", b.Whole)
		f.take(b)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
