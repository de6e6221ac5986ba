package mirror

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tamarackspool/internal/record/event"
)

// Source answers what changed after a revision; revision 0 asks for everything.
type Source interface {
	// Changes waits up to the given time for a change.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Peers chooses an entry to ask while the store does not answer; nil when none is known.
type Peers interface{ Peer() Source }

// Times and waits of the follower.
const (
	wait      = 2 * time.Second        // wait is how long the store holds a call open; a silent connection is noticed soon after.
	grace     = 800 * time.Millisecond // grace is how long an answer may take beyond the wait, two round trips between regions and a slow store included.
	firstRead = 2500 * time.Millisecond
	spacing   = 250 * time.Millisecond // spacing is the least time between two calls, as each is counted.
	retry     = 500 * time.Millisecond // retry is the wait after a failed call, before jitter.
	peerEvery = 400 * time.Millisecond // peerEvery is how often a peer is asked while the store is silent.
	peerWait  = 600 * time.Millisecond // peerWait bounds one question to a peer.
)

// Stale is the age of the last answer from which an entry asks its peers too.
const Stale = wait + 200*time.Millisecond

// Follower keeps a mirror up to date.
type Follower struct {
	mirror *Mirror
	store  Source
	peers  Peers
	events *event.Log
	change func([]Item)

	heard atomic.Int64 // heard is when the store last answered, in nanoseconds since start.
	start time.Time
	lost  bool
}

// NewFollower returns a follower that calls change, from one goroutine at a
// time, with the items of each batch that changed something.
func NewFollower(m *Mirror, store Source, peers Peers, events *event.Log, change func([]Item)) *Follower {
	return &Follower{mirror: m, store: store, peers: peers, events: events, change: change, start: time.Now()}
}

// Age returns how long ago the store last answered.
func (f *Follower) Age() time.Duration {
	return time.Since(f.start) - time.Duration(f.heard.Load())
}

// Run follows the store, and the peers while it is silent, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	results := make(chan Batch)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.askPeers(ctx, results)
	}()
	go f.askStore(ctx, results)
	for {
		select {
		case <-ctx.Done():
			<-done
			return
		case b := <-results:
			if items := f.mirror.Apply(b); len(items) > 0 {
				f.change(items)
			}
		}
	}
}

func (f *Follower) askStore(ctx context.Context, results chan<- Batch) {
	for ctx.Err() == nil {
		began := time.Now()
		b, err := f.call(ctx)
		if err != nil {
			f.failed(ctx, err)
			sleep(ctx, retry/2+rand.N(retry))
			continue
		}
		f.heard.Store(int64(time.Since(f.start)))
		if f.lost {
			f.lost = false
			f.events.Log(event.StoreRestored, "revision", b.Revision)
		}
		select {
		case results <- b:
		case <-ctx.Done():
			return
		}
		sleep(ctx, spacing-time.Since(began))
	}
}

func (f *Follower) call(ctx context.Context) (Batch, error) {
	after := f.mirror.Revision()
	limit := wait + grace
	if after == 0 {
		limit = firstRead
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f.store.Changes(ctx, after, wait)
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || f.lost {
		return
	}
	f.lost = true
	f.events.Log(event.StoreUnavailable, "error", err, "revision", f.mirror.Revision(), "age", f.Age())
}

func (f *Follower) askPeers(ctx context.Context, results chan<- Batch) {
	for ctx.Err() == nil {
		sleep(ctx, peerEvery)
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
		if err != nil || b.Revision <= after {
			continue
		}
		f.events.Log(event.PeerRead, "after", after, "revision", b.Revision, "items", len(b.Items), "whole", b.Whole)
		select {
		case results <- b:
		case <-ctx.Done():
		}
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
