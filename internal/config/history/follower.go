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

// longestBackoff bounds the pause between reads while the store is away; short enough for the 2 s of
// promise P8 after the store is back, because other entries are told by peers at once.
const longestBackoff = time.Second

// Source gives the committed versions; *History is one.
type Source interface {
	Load(ctx context.Context) (Record, error)
	Watch(ctx context.Context, after uint64) (Record, error)
}

// Logger writes numbered events; *event.Log is one.
type Logger interface {
	Log(n event.Number, keyvals ...any)
}

// FollowerSettings are the dependencies of a follower.
type FollowerSettings struct {
	Source  Source
	Current *current.Current
	Log     Logger
	Adopted func(version uint64) // Adopted is called after each adoption; nil means nothing to do.
}

// Follower adopts the committed versions while this entry is one of the few that watch the head.
// Its methods may be called by several goroutines; Run is called once.
type Follower struct {
	s        FollowerSettings
	watching atomic.Bool
	changed  chan struct{} // wakes Run after a change of watching
	down     atomic.Bool
}

// NewFollower returns a follower that does not watch yet.
func NewFollower(s FollowerSettings) *Follower {
	return &Follower{s: s, changed: make(chan struct{}, 1)}
}

// SetWatching tells the follower whether this entry is one of the watchers.
func (f *Follower) SetWatching(on bool) {
	if f.watching.Swap(on) == on {
		return
	}
	select {
	case f.changed <- struct{}{}:
	default: // Run has not seen the previous change and reads the newest state anyway
	}
}

// Reachable reports whether the last call to the store had a response.
func (f *Follower) Reachable() bool { return !f.down.Load() }

// Refresh reads the head once and adopts it; a new entry calls it at its start.
func (f *Follower) Refresh(ctx context.Context) error {
	_, err := f.refresh(ctx)
	return err
}

// Run watches the head while it is told to, until ctx ends; it returns the cause of the end.
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
		case <-f.changed:
		}
	}
}

// watch follows the head until ctx ends or this entry stops being a watcher.
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
			case <-f.changed:
			}
		}
		cancel()
	}()
	f.loop(ctx)
}

func (f *Follower) loop(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestBackoff
	var after uint64
	fresh := false // the head has been read since the last fault
	for ctx.Err() == nil {
		var r Record
		var err error
		if fresh {
			r, err = f.s.Source.Watch(ctx, after)
		} else {
			r, err = f.s.Source.Load(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if f.note(err); err != nil {
			fresh = false
			if !errors.Is(err, store.ErrSilent) {
				_ = sleep(ctx, pause.NextBackOff()) // the loop checks ctx itself
			}
			continue
		}
		pause.Reset()
		f.adopt(r)
		// A read after a restart of the store may be stale; the watch goes on from the newest revision seen.
		after, fresh = max(after, r.revision), true
	}
}

func (f *Follower) refresh(ctx context.Context) (Record, error) {
	r, err := f.s.Source.Load(ctx)
	f.note(err)
	if err == nil {
		f.adopt(r)
	}
	return r, err
}

// note logs the changes between a reachable and an unreachable store.
func (f *Follower) note(err error) {
	switch {
	case err == nil || errors.Is(err, store.ErrNotFound):
		if f.down.Swap(false) {
			f.s.Log.Log(event.StoreRestored)
		}
	case errors.Is(err, store.ErrSilent):
		f.s.Log.Log(event.WatchSilent)
	case !f.down.Swap(true):
		f.s.Log.Log(event.StoreUnavailable, "err", err)
	}
}

func (f *Follower) adopt(r Record) {
	adopted, err := f.s.Current.Adopt(r.version, r.hash, r.data)
	switch {
	case errors.Is(err, current.ErrFork):
		f.s.Log.Log(event.VersionFork, "version", r.version)
	case err != nil:
		f.s.Log.Log(event.VersionInvalid, "version", r.version, "err", err)
	case adopted:
		f.s.Log.Log(event.VersionAdopted, "version", r.version)
		if f.s.Adopted != nil {
			f.s.Adopted(r.version)
		}
	}
}
