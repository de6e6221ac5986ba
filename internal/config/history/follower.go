package history

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tamarackspool/internal/config/current"
	"tamarackspool/internal/platform/store"
	"tamarackspool/internal/record/event"
)

// maxStoreBackoff limits the backoff between reads while the store is unavailable. It is short enough for all
// entries to adopt the newest version within 2 s after the store returns (promise P8), because peers
// immediately forward the version to the entries that do not watch.
const maxStoreBackoff = time.Second

// Source provides the committed versions; *History implements it.
type Source interface {
	Load(ctx context.Context) (Record, error)
	Watch(ctx context.Context, after uint64) (Record, error)
}

// Logger writes numbered events; *event.Log implements it.
type Logger interface {
	Log(n event.Number, keyvals ...any)
}

// FollowerSettings are the dependencies of a follower.
type FollowerSettings struct {
	Source    Source
	Current   *current.Current
	Log       Logger
	OnAdopted func(version uint64) // OnAdopted is called after each adoption; it may be nil.
}

// Follower adopts the committed versions while this entry is one of the few entries that watch the head.
// Its methods are safe for concurrent use; Run must be called once.
type Follower struct {
	settings        FollowerSettings
	watching        atomic.Bool
	watchingChanged chan struct{} // wakes Run after a change of watching
	storeDown       atomic.Bool
}

// NewFollower returns a follower that does not watch the head until SetWatching(true).
func NewFollower(s FollowerSettings) *Follower {
	return &Follower{settings: s, watchingChanged: make(chan struct{}, 1)}
}

// SetWatching sets whether this entry watches the head.
func (f *Follower) SetWatching(on bool) {
	if f.watching.Swap(on) == on {
		return
	}
	select {
	case f.watchingChanged <- struct{}{}:
	default: // Run has not received the previous signal yet and then reads the newest state
	}
}

// StoreReachable reports whether the last call to the store had a response.
func (f *Follower) StoreReachable() bool { return !f.storeDown.Load() }

// Refresh reads the head once and adopts its version; a new entry calls it when it starts.
func (f *Follower) Refresh(ctx context.Context) error {
	_, err := f.loadAndAdopt(ctx)
	return err
}

// Run watches the head while SetWatching(true) is in effect, until ctx ends. It returns the error of ctx.
func (f *Follower) Run(ctx context.Context) error {
	for {
		if f.watching.Load() {
			f.watch(ctx)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if f.watching.Load() {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.watchingChanged:
		}
	}
}

// watch follows the head until ctx ends or SetWatching(false) is called.
func (f *Follower) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer func() { cancel(); <-done }()
	go func() {
		defer close(done)
		for f.watching.Load() {
			select {
			case <-ctx.Done():
				return
			case <-f.watchingChanged:
			}
		}
		cancel()
	}()
	f.followHead(ctx)
}

func (f *Follower) followHead(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minPause, maxStoreBackoff
	var after uint64
	fresh := false // the head has been read since the last error
	for ctx.Err() == nil {
		var r Record
		var err error
		if fresh {
			r, err = f.settings.Source.Watch(ctx, after)
		} else {
			r, err = f.settings.Source.Load(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if f.logStoreState(err); err != nil {
			fresh = false
			if !errors.Is(err, store.ErrWatchTimeout) {
				_ = sleep(ctx, pause.NextBackOff()) // the loop condition checks ctx
			}
			continue
		}
		pause.Reset()
		f.adopt(r)
		// A read after a restart of the store may be stale; the watch continues from the newest revision seen.
		after, fresh = max(after, r.revision), true
	}
}

func (f *Follower) loadAndAdopt(ctx context.Context) (Record, error) {
	r, err := f.settings.Source.Load(ctx)
	f.logStoreState(err)
	if err == nil {
		f.adopt(r)
	}
	return r, err
}

// logStoreState logs the changes between a reachable and an unreachable store.
func (f *Follower) logStoreState(err error) {
	switch {
	case err == nil || errors.Is(err, store.ErrNotFound):
		if f.storeDown.Swap(false) {
			f.settings.Log.Log(event.StoreRestored)
		}
	case errors.Is(err, store.ErrWatchTimeout):
		f.settings.Log.Log(event.WatchSilent)
	case !f.storeDown.Swap(true):
		f.settings.Log.Log(event.StoreUnavailable, "err", err)
	}
}

func (f *Follower) adopt(r Record) {
	adopted, err := f.settings.Current.Adopt(r.version, r.hash, r.data)
	switch {
	case errors.Is(err, current.ErrFork):
		f.settings.Log.Log(event.VersionFork, "version", r.version)
	case err != nil:
		f.settings.Log.Log(event.VersionInvalid, "version", r.version, "err", err)
	case adopted:
		f.settings.Log.Log(event.VersionAdopted, "version", r.version)
		if f.settings.OnAdopted != nil {
			f.settings.OnAdopted(r.version)
		}
	}
}
