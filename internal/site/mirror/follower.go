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

// Source provides the changes after a position; revision 0 requests all keys.
type Source interface {
	// Changes returns the changes after a position and waits up to the given time for the first.
	Changes(ctx context.Context, after Position, wait time.Duration) (Batch, error)
}

// Peers chooses the other entries to read from.
type Peers interface {
	// Reader returns the entry that reads the store for this one, if there is one.
	Reader() Reader
	// Peer returns an entry to read from while the store does not answer; nil when none is known.
	Peer() Source
}

// Reader is an entry that reads the store for others, as a source for one of them.
type Reader struct {
	Source Source        // Source is nil for an entry that reads the store itself.
	Hops   int           // Hops is the number of entries between the reader and the store.
	Wait   time.Duration // Wait is how long the reader holds a call open.
}

// Timeouts and intervals of the follower.
const (
	watchWait           = 2 * time.Second         // watchWait is how long the store holds a long poll open; a dead connection is noticed soon after.
	watchGrace          = 800 * time.Millisecond  // watchGrace is how long an answer may take beyond watchWait, which covers two round trips between regions and a slow store.
	firstReadTimeout    = 2500 * time.Millisecond // firstReadTimeout bounds the first read of all keys in an era; it doubles with each failure.
	maxFirstReadTimeout = 20 * time.Second        // maxFirstReadTimeout bounds the doubled timeout.
	minCallInterval     = 250 * time.Millisecond  // minCallInterval is the least time between the starts of two calls, because the store counts every call.
	retryDelay          = 500 * time.Millisecond  // retryDelay is the delay after a failed call, before jitter.
	maxRetryDelay       = 2 * time.Second         // maxRetryDelay bounds the backoff while renewals, which detect the store's recovery, fail too.
	peerInterval        = 400 * time.Millisecond  // peerInterval is the time between polls of peers while the store does not answer.
	startPeerInterval   = 150 * time.Millisecond  // startPeerInterval is the same for an entry that has no data yet.
	peerTimeout         = 600 * time.Millisecond  // peerTimeout bounds one call to a peer.

	readerGrace      = 400 * time.Millisecond // readerGrace is how long a reader's answer may take beyond Reader.Wait.
	readerRetryDelay = 3 * time.Second        // readerRetryDelay is how long an entry reads the store itself after its reader failed.

	// outageReadInterval is the least time between calls to the store while neither it nor its reader hears from the
	// store: renewals, which cost a tenth, detect its recovery. With many entries their calls would add up.
	outageReadInterval = 10 * time.Second
)

// StaleAfter is the time since the store's last answer from which an entry polls its peers
// too. Each renewal of the entry's lease, about one per second, counts as an answer. It is short
// enough to abandon a reader cut off from the store before a configuration version arrives late.
const StaleAfter = 1250 * time.Millisecond

// OutageAfter is the time without an answer from the store after which registrations may have lapsed. It is above the
// time between two renewals of the entry's lease and above the time to replace a lost reader.
const OutageAfter = 2 * time.Second

// maxReadAge is the time without a read of the changes from which the answers to other calls no longer count: above the
// time of two calls for changes, one of which was lost.
const maxReadAge = 2 * (watchWait + watchGrace)

// startStaleAge is StaleAfter for a store that has not answered since the entry's start:
// more than the round trips of a first call.
const startStaleAge = 250 * time.Millisecond

// Follower keeps a mirror up to date with the store.
type Follower struct {
	mirror    *Mirror
	store     Source
	peers     Peers
	events    *event.Log
	onChange  func([]Item)
	recovered chan struct{} // recovered has an element once the store answers again after a pause.

	uptime    func() time.Duration // uptime is the time of a monotonic clock that advances while the machine is suspended.
	confirmed atomic.Int64         // confirmed is the uptime of the last confirmation, in nanoseconds; see ConfirmedAge.
	bound     atomic.Int64         // bound is the bound of RequireConfirmation, in nanoseconds; 0 for none.

	newestEra atomic.Uint64 // newestEra is the newest era of the store that any answer has shown.
	eraSeen   atomic.Int64  // eraSeen is when newestEra was first shown, in nanoseconds since start.

	mu        sync.Mutex   // mu is held while a batch is applied.
	lastHeard atomic.Int64 // lastHeard is when the store last answered, in nanoseconds since start.
	lastRead  atomic.Int64 // lastRead is when the changes were last read, from the store or a reader, in nanoseconds since start.
	// recoveredAt is when the store last answered again after an outage, in nanoseconds since start; 0 for never.
	recoveredAt atomic.Int64
	start       time.Time
	storeLost   bool
	// failures counts consecutive failed calls to the store.
	failures int
}

// NewFollower returns a follower that calls onChange, from one goroutine at a time, with the changed items of each
// batch. uptime returns the time of a monotonic clock that advances while the machine is suspended.
func NewFollower(m *Mirror, store Source, peers Peers, events *event.Log, uptime func() time.Duration, onChange func([]Item)) *Follower {
	f := &Follower{
		mirror: m, store: store, peers: peers, events: events, uptime: uptime, onChange: onChange, start: time.Now(), recovered: make(chan struct{}, 1),
	}
	f.confirmed.Store(int64(uptime() - neverConfirmed))
	return f
}

// RecordStoreAnswer records that the store has answered another call of this entry. After a
// pause without answers it aborts the read of changes in flight, which the store may
// never have received, so that it is sent again.
func (f *Follower) RecordStoreAnswer() {
	age := f.heardAge()
	if age >= StaleAfter || age >= startStaleAge && f.lastHeard.Load() == 0 {
		select {
		case f.recovered <- struct{}{}:
		default:
		}
	}
	f.recordHeard(int64(time.Since(f.start)))
}

// recordHeard records the time of an answer from the store, and the recovery if it follows an outage.
func (f *Follower) recordHeard(at int64) {
	if last := f.lastHeard.Swap(at); last > 0 && time.Duration(at-last) >= OutageAfter {
		f.recoveredAt.Store(int64(time.Since(f.start)))
	}
}

// RecentOutage reports whether the store has not answered for at least OutageAfter, or has recovered from that less than d ago.
func (f *Follower) RecentOutage(d time.Duration) bool {
	recoveredAt := time.Duration(f.recoveredAt.Load())
	return f.Age() >= OutageAfter || recoveredAt > 0 && time.Since(f.start)-recoveredAt < d
}

// Age returns how long ago the store last answered. Answers to other calls count only while the changes are read too:
// without them, the mirror would count as fresh although it misses what has changed.
func (f *Follower) Age() time.Duration {
	if last := f.lastRead.Load(); last > 0 && time.Since(f.start)-time.Duration(last) >= maxReadAge {
		return time.Since(f.start) - time.Duration(last)
	}
	return f.heardAge()
}

// heardAge returns how long ago the store last answered any call.
func (f *Follower) heardAge() time.Duration {
	return time.Since(f.start) - time.Duration(f.lastHeard.Load())
}

// Run reads from the store, and from peers while the store does not answer, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.followStore(ctx) })
	running.Go(func() { f.pollPeers(ctx) })
	running.Wait()
}

// applyBatch applies the batch of a call that began at the given uptime, before the next call requests the changes
// after it. It drops a snapshot that is older than the mirror, which a peer may have updated meanwhile: it
// may contain keys that were removed since.
func (f *Follower) applyBatch(b Batch, began time.Duration) {
	defer f.RecordEra(b.Era)
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.mirror.Position()
	if b.Era < before.Era || b.Era > before.Era && !b.Snapshot && before.Revision > 0 {
		return
	}
	// The confirmation follows the change, so that the age is never younger than what onChange has made visible.
	moment := f.moment(b, began)
	defer f.confirm(moment)
	if b.Snapshot && b.Position().Before(before) {
		return
	}
	if b.Era > before.Era {
		f.withdraw(moment)
	}
	if items := f.mirror.Apply(b); len(items) > 0 || b.Era > before.Era {
		f.onChange(items)
	}
}

func (f *Follower) followStore(ctx context.Context) {
	var readerRetryAt, storeRead time.Time
	for ctx.Err() == nil {
		began := time.Now()
		if began.After(readerRetryAt) {
			state := f.pollReader(ctx)
			if state == readerStale && f.Age() >= OutageAfter && time.Since(storeRead) < outageReadInterval {
				// Neither the reader nor this entry's renewals reach the store, so calls for changes would not either.
				sleep(ctx, minCallInterval-time.Since(began))
				continue
			}
			if state == readerStale || state == readerLost {
				readerRetryAt = time.Now().Add(readerRetryDelay)
			}
			if state != noReader {
				continue
			}
		}
		storeRead = began
		callBegan := f.uptime()
		b, err := f.pollStore(ctx)
		if errors.Is(err, errStoreRecovered) {
			readerRetryAt = time.Time{} // The reader recovers at the same time, and every entry would read the store itself.
			continue
		}
		if err != nil {
			f.failures++
			f.logUnavailable(ctx, err)
			f.waitBeforeRetry(ctx, f.backoff())
			continue
		}
		f.failures = 0
		f.recordRead(b)
		f.applyBatch(b, callBegan)
		sleep(ctx, minCallInterval-time.Since(began))
	}
}

// readerState is the result of a read from the entry that reads the store for this one.
type readerState int

const (
	noReader    readerState = iota // noReader means that this entry reads the store itself.
	readerFresh                    // readerFresh means that the reader's data is as fresh as the store's.
	readerStale                    // readerStale means that the store does not answer the reader.
	readerLost                     // readerLost means that the reader does not answer or knows less than this entry.
)

// pollReader reads from the entry that reads the store for this one.
func (f *Follower) pollReader(ctx context.Context) readerState {
	after := f.mirror.Position()
	reader := f.peers.Reader()
	if reader.Source == nil || after.Revision == 0 {
		return noReader
	}
	wait := f.limitFirstWait(f.limitWait(reader.Wait))
	bounded, cancel := context.WithTimeout(ctx, wait+readerGrace)
	defer cancel()
	began := f.uptime()
	b, err := reader.Source.Changes(bounded, after, wait)
	if ctx.Err() != nil {
		return readerFresh
	}
	f.applyKept(b)
	stale := b.Age > StaleAfter+time.Duration(reader.Hops)*reader.Wait ||
		f.lacksConfirmation(b.ConfirmedAge-time.Duration(reader.Hops)*strictWait)
	// An answer of another era that is no snapshot cannot be applied, and the next one would be the same.
	unusable := b.Position().Before(after) || b.Era > after.Era && !b.Snapshot
	if err != nil || unusable || stale && f.Age() < OutageAfter {
		f.events.Log(event.ReaderLeft, "error", err, "age", b.Age, "revision", b.Revision, "after", after.Revision, "era", b.Era)
	}
	switch {
	case err != nil || unusable:
		return readerLost
	case stale:
		f.applyBatch(b, began)
		return readerStale
	}
	f.recordRead(b)
	f.applyBatch(b, began)
	return readerFresh
}

// recordRead records that the store answered, directly or through a reader.
func (f *Follower) recordRead(b Batch) {
	f.lastRead.Store(max(f.lastRead.Load(), int64(time.Since(f.start)-b.Age)))
	if at := int64(time.Since(f.start) - b.Age); at > f.lastHeard.Load() {
		f.recordHeard(at)
	}
	if f.storeLost {
		f.storeLost = false
		f.events.Log(event.StoreRestored, "revision", b.Revision)
	}
}

func (f *Follower) pollStore(ctx context.Context) (Batch, error) {
	after := f.mirror.Position()
	wait := f.limitFirstWait(f.limitWait(watchWait))
	limit := wait + watchGrace
	if after.Revision == 0 || after.Era < f.newestEra.Load() {
		limit = min(firstReadTimeout<<min(f.failures, 8), maxFirstReadTimeout)
	}
	select {
	case <-f.recovered:
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, cancelCall := context.WithCancelCause(ctx)
	defer cancelCall(nil)
	go func() {
		select {
		case <-f.recovered:
			cancelCall(errStoreRecovered)
		case <-ctx.Done():
		}
	}()
	b, err := f.store.Changes(ctx, after, wait)
	if err != nil && errors.Is(context.Cause(ctx), errStoreRecovered) {
		return Batch{}, errStoreRecovered
	}
	return b, err
}

// errStoreRecovered aborts a call because the store has answered another one after a pause.
var errStoreRecovered = errors.New("mirror: the store has recovered")

// backoff returns the jittered delay after a failed call. It grows exponentially while the store
// does not answer other calls either.
func (f *Follower) backoff() time.Duration {
	d := retryDelay
	if f.heardAge() >= StaleAfter {
		d = min(retryDelay<<min(f.failures, 8), maxRetryDelay)
	}
	return d/2 + rand.N(d)
}

// waitBeforeRetry waits for the delay, or until another call shows that the store answers again.
func (f *Follower) waitBeforeRetry(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-f.recovered:
	case <-ctx.Done():
	}
}

func (f *Follower) logUnavailable(ctx context.Context, err error) {
	if ctx.Err() != nil || f.storeLost {
		return
	}
	f.storeLost = true
	f.events.Log(event.StoreUnavailable, "error", err, "revision", f.mirror.Revision(), "age", f.Age())
}

func (f *Follower) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if f.mirror.Revision() > 0 {
			sleep(ctx, peerInterval)
		} else {
			sleep(ctx, startPeerInterval)
		}
		if f.Age() < StaleAfter && f.mirror.Revision() > 0 && !f.lacksConfirmation(f.ConfirmedAge()) && !f.mayLackKept() {
			continue
		}
		p := f.peers.Peer()
		if p == nil {
			continue
		}
		after := f.mirror.Position()
		bounded, cancel := context.WithTimeout(ctx, peerTimeout)
		began := f.uptime()
		b, err := p.Changes(bounded, after, 0)
		cancel()
		if err != nil {
			f.events.Log(event.PeerSilent, "error", err, "after", after.Revision)
			continue
		}
		f.applyKept(b)
		if b.Position().Before(after) {
			continue
		}
		if after.Before(b.Position()) {
			f.events.Log(event.PeerRead, "after", after.Revision, "revision", b.Revision, "items", len(b.Items), "whole", b.Snapshot, "era", b.Era)
		}
		f.applyBatch(b, began)
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
