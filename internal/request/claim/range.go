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

// keyState is the state of a key in a range that this process owns.
type keyState uint8

const (
	// keyClaimed means that the claim is stored and that this process has not dispatched the request.
	keyClaimed keyState = iota
	// keySpent means that this process dispatched the request or that an earlier owner claimed the key.
	keySpent
)

// keyRecord is the state of a key and the time of its claim, counted from keyRange.startedAt.
type keyRecord struct {
	state     keyState
	claimedAt time.Duration
}

// errFenced is returned after another entry has acquired the range.
var errFenced = errors.New("claim: another entry has acquired the key range")

// batch is a group of keys that are added by one write.
type batch struct {
	keys []hash
	done chan struct{}
	err  error
}

// keyRange holds the claims of one range. Only the holder of the token in
// writeToken calls the store. mu guards keyRecords and pending and is never held
// during a call to the store.
type keyRange struct {
	number     int
	settings   Settings
	store      Store
	writes     atomic.Int64
	writeToken chan struct{}
	startedAt  time.Time

	mu         sync.Mutex
	keyRecords map[hash]keyRecord
	pending    *batch

	// Only the holder of the write token uses the fields below.
	owned           bool
	head            head
	currentSegment  segment
	currentRevision uint64 // currentRevision is the store revision of the current segment.
	currentLease    uint64
	loadedSegments  map[uint64]segment // loadedSegments holds all known segments, whose keys are dropped when the lease expires.
	lastWriteTime   time.Time
}

func newKeyRange(n int, s Settings, st Store) *keyRange {
	r := &keyRange{
		number: n, settings: s, store: st,
		writeToken: make(chan struct{}, 1), startedAt: time.Now(),
		keyRecords: make(map[hash]keyRecord), loadedSegments: make(map[uint64]segment),
	}
	r.writeToken <- struct{}{}
	return r
}

func (r *keyRange) prefix() string { return fmt.Sprintf("claim/%02d/", r.number) }

func (r *keyRange) headKey() string { return r.prefix() + "head" }

func (r *keyRange) segmentKey(n uint64) string { return fmt.Sprintf("%ssegment/%010d", r.prefix(), n) }

// claim reports whether this process may dispatch the request of the key, and marks the key as spent if so.
func (r *keyRange) claim(ctx context.Context, h hash) (bool, error) {
	for {
		known, fresh := r.spendIfKnown(h)
		if known {
			return fresh, nil
		}
		b, err := r.enqueue(h)
		if err != nil {
			return false, err
		}
		if err := r.waitForBatch(ctx, b); err != nil {
			return false, err
		}
	}
}

// spendIfKnown marks a key with a record as spent. It reports whether the key has a
// record and whether the caller may dispatch the request of the key. A claim that is
// older than the retention counts as spent: its lease may expire, and then another
// entry can claim the key.
func (r *keyRange) spendIfKnown(h hash) (known, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.keyRecords[h]
	if !known {
		return false, false
	}
	fresh = c.state == keyClaimed && time.Since(r.startedAt)-c.claimedAt <= r.settings.Retention
	c.state = keySpent
	r.keyRecords[h] = c
	return true, fresh
}

func (r *keyRange) release(h hash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, known := r.keyRecords[h]; known {
		c.state = keyClaimed
		r.keyRecords[h] = c
	}
}

func (r *keyRange) enqueue(h hash) (*batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keyRecords) >= r.settings.MaxKeys/RangeCount {
		return nil, ErrFull
	}
	if r.pending == nil || len(r.pending.keys) >= maxBatch {
		r.pending = &batch{done: make(chan struct{})}
	}
	r.pending.keys = append(r.pending.keys, h)
	return r.pending, nil
}

// waitForBatch returns when the batch has been stored or has failed. The first waiter
// that gets the write token writes the whole batch, so no background goroutine is needed.
func (r *keyRange) waitForBatch(ctx context.Context, b *batch) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return fmt.Errorf("claim: %w", ctx.Err())
	case <-r.writeToken:
	}
	defer func() { r.writeToken <- struct{}{} }()
	select {
	case <-b.done:
		return b.err
	default:
	}
	if err := r.waitWriteInterval(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	if r.pending == b {
		r.pending = nil
	}
	r.mu.Unlock()
	// The batch contains keys of other callers, so this caller's deadline must not cancel the write.
	b.err = r.storeKeys(context.WithoutCancel(ctx), b.keys)
	close(b.done)
	return b.err
}

// waitWriteInterval waits until WriteInterval has passed since the last write.
func (r *keyRange) waitWriteInterval(ctx context.Context) error {
	wait := WriteInterval - time.Since(r.lastWriteTime)
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

// storeKeys appends the keys to the range, and acquires the range first if this
// process does not own it. It retries once if another entry has acquired the range meanwhile.
func (r *keyRange) storeKeys(ctx context.Context, keys []hash) error {
	err := r.tryStoreKeys(ctx, keys)
	if errors.Is(err, errFenced) {
		err = r.tryStoreKeys(ctx, keys)
	}
	return err
}

func (r *keyRange) tryStoreKeys(ctx context.Context, keys []hash) error {
	if !r.owned {
		if err := r.acquire(ctx); err != nil {
			return err
		}
	}
	r.dropExpiredSegments()
	unknown := r.unknownKeys(keys)
	if len(unknown) == 0 {
		return nil
	}
	at := time.Since(r.startedAt)
	err := r.appendKeys(ctx, unknown)
	if errors.Is(err, errFenced) {
		r.owned = false
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range unknown {
		r.keyRecords[h] = keyRecord{keyClaimed, at}
	}
	return nil
}

// unknownKeys returns the keys without a record, without duplicates.
func (r *keyRange) unknownKeys(keys []hash) []hash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unknown []hash
	seen := make(map[hash]bool, len(keys))
	for _, h := range keys {
		if _, known := r.keyRecords[h]; !known && !seen[h] {
			seen[h] = true
			unknown = append(unknown, h)
		}
	}
	return unknown
}

// dropExpiredSegments removes from memory the keys of segments whose lease has expired.
func (r *keyRange) dropExpiredSegments() {
	limit := time.Now().Add(-segmentLeaseFactor * r.settings.Retention)
	for n, s := range r.loadedSegments {
		if s.created.After(limit) {
			continue
		}
		delete(r.loadedSegments, n)
		r.mu.Lock()
		for _, h := range s.keys {
			delete(r.keyRecords, h)
		}
		r.mu.Unlock()
	}
}

func (r *keyRange) put(ctx context.Context, key string, data []byte, revision, lease uint64) (uint64, error) {
	r.writes.Add(1)
	r.lastWriteTime = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	return r.store.Put(ctx, key, data, revision, lease)
}

func (r *keyRange) get(ctx context.Context, key string) (store.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	return r.store.Get(ctx, key)
}
