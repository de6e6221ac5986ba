package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tamarackspool/internal/platform/store"
)

// fate is what this process knows of a key in a range that it keeps.
type fate uint8

const (
	// free means that the claim is stored and that this process has not dispatched the key.
	free fate = iota
	// spent means that the key was dispatched here or claimed by an earlier keeper.
	spent
)

// claimed is the fate of a key and the age of the log when its claim was written.
type claimed struct {
	fate fate
	at   time.Duration
}

// errFenced is returned after another entry has taken the range over.
var errFenced = errors.New("claim: another entry has taken the key range over")

// batch is a group of keys that one write adds.
type batch struct {
	keys []hash
	done chan struct{}
	err  error
}

// keyRange is the log of one range. The token in writer orders all writes to
// the store; mu guards the rest and is never held during a call to the store.
type keyRange struct {
	number   int
	settings Settings
	store    Store
	writes   atomic.Int64
	writer   chan struct{}
	started  time.Time

	mu      sync.Mutex
	fates   map[hash]claimed
	pending *batch

	// Only the holder of the writer token uses the fields below.
	owned     bool
	head      head
	current   segment
	revision  uint64 // revision is that of the current segment.
	lease     uint64
	loaded    map[uint64]segment // loaded holds the older segments, to forget their keys in time.
	lastWrite time.Time
}

func newKeyRange(n int, s Settings, st Store) *keyRange {
	r := &keyRange{
		number: n, settings: s, store: st,
		writer: make(chan struct{}, 1), started: time.Now(),
		fates: make(map[hash]claimed), loaded: make(map[uint64]segment),
	}
	r.writer <- struct{}{}
	return r
}

func (r *keyRange) prefix() string { return fmt.Sprintf("claim/%02d/", r.number) }

func (r *keyRange) headKey() string { return r.prefix() + "head" }

func (r *keyRange) segmentKey(n uint64) string { return fmt.Sprintf("%ssegment/%010d", r.prefix(), n) }

// claim reports whether the key may be dispatched here, and marks it as dispatched if so.
func (r *keyRange) claim(ctx context.Context, h hash) (bool, error) {
	for {
		known, fresh := r.take(h)
		if known {
			return fresh, nil
		}
		b, err := r.enqueue(h)
		if err != nil {
			return false, err
		}
		if err := r.await(ctx, b); err != nil {
			return false, err
		}
	}
}

// take reports whether the fate of a key is known, and whether it was free. A
// claim that is older than the retention counts as spent: its lease may lapse,
// and then another entry can claim the key.
func (r *keyRange) take(h hash) (known, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.fates[h]
	if !known {
		return false, false
	}
	fresh = c.fate == free && time.Since(r.started)-c.at <= r.settings.Retention
	c.fate = spent
	r.fates[h] = c
	return true, fresh
}

func (r *keyRange) release(h hash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, known := r.fates[h]; known {
		c.fate = free
		r.fates[h] = c
	}
}

func (r *keyRange) enqueue(h hash) (*batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.fates) >= r.settings.Keys/Ranges {
		return nil, ErrFull
	}
	if r.pending == nil || len(r.pending.keys) >= maxBatch {
		r.pending = &batch{done: make(chan struct{})}
	}
	r.pending.keys = append(r.pending.keys, h)
	return r.pending, nil
}

// await returns when the batch was stored or failed. The first waiter that gets
// the writer token writes for all, so no goroutine of the log's own is needed.
func (r *keyRange) await(ctx context.Context, b *batch) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return fmt.Errorf("claim: %w", ctx.Err())
	case <-r.writer:
	}
	defer func() { r.writer <- struct{}{} }()
	select {
	case <-b.done:
		return b.err
	default:
	}
	if err := r.pause(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	if r.pending == b {
		r.pending = nil
	}
	r.mu.Unlock()
	// The batch is also other callers' work, so this caller's deadline must not end it.
	b.err = r.record(context.WithoutCancel(ctx), b.keys)
	close(b.done)
	return b.err
}

// pause waits until the interval since the last write has passed.
func (r *keyRange) pause(ctx context.Context) error {
	wait := Interval - time.Since(r.lastWrite)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("claim: %w", ctx.Err())
	}
}

// record appends the keys and takes the range over first where needed, once
// more when another entry has taken it over in between.
func (r *keyRange) record(ctx context.Context, keys []hash) error {
	err := r.tryRecord(ctx, keys)
	if errors.Is(err, errFenced) {
		err = r.tryRecord(ctx, keys)
	}
	return err
}

func (r *keyRange) tryRecord(ctx context.Context, keys []hash) error {
	if !r.owned {
		if err := r.acquire(ctx); err != nil {
			return err
		}
	}
	r.expire()
	fresh := r.unknown(keys)
	if len(fresh) == 0 {
		return nil
	}
	at := time.Since(r.started)
	err := r.append(ctx, fresh)
	if errors.Is(err, errFenced) {
		r.owned = false
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range fresh {
		r.fates[h] = claimed{free, at}
	}
	return nil
}

// unknown returns each key without a known fate once.
func (r *keyRange) unknown(keys []hash) []hash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fresh []hash
	seen := make(map[hash]bool, len(keys))
	for _, h := range keys {
		if _, known := r.fates[h]; !known && !seen[h] {
			seen[h] = true
			fresh = append(fresh, h)
		}
	}
	return fresh
}

// expire forgets the keys of segments whose lease has lapsed.
func (r *keyRange) expire() {
	limit := time.Now().Add(-leaseFactor * r.settings.Retention)
	for n, s := range r.loaded {
		if s.created.After(limit) {
			continue
		}
		delete(r.loaded, n)
		r.mu.Lock()
		for _, h := range s.keys {
			delete(r.fates, h)
		}
		r.mu.Unlock()
	}
}

func (r *keyRange) put(ctx context.Context, key string, data []byte, revision, lease uint64) (uint64, error) {
	r.writes.Add(1)
	r.lastWrite = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timeout)
	defer cancel()
	return r.store.Put(ctx, key, data, revision, lease)
}

func (r *keyRange) get(ctx context.Context, key string) (store.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timeout)
	defer cancel()
	return r.store.Get(ctx, key)
}
