package history

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/platform/store"
)

// The keys and key prefixes in the store.
const (
	headKey     = "config/head"
	partPrefix  = "config/part/"
	pagePrefix  = "audit/"
	refusalsKey = "audit/refused"
)

// maxStaleReads limits how often the head is read without a pause while it is older than one seen before.
const maxStaleReads = 3

// Store is the part of the key-value service's client that the history needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Put(ctx context.Context, key string, data []byte, revision, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, revision uint64) error
	Watch(ctx context.Context, key string, after uint64) (store.Value, error)
}

// Settings are the dependencies of a history.
type Settings struct {
	Store Store
	Now   func() time.Time                                 // Now returns the time of audit records; nil means time.Now.
	Wait  func(ctx context.Context, d time.Duration) error // Wait waits between attempts; nil means a timer.
}

// History reads and changes the configuration in the store. It is safe for concurrent use.
type History struct {
	store          Store
	now            func() time.Time
	wait           func(ctx context.Context, d time.Duration) error
	highestVersion atomic.Uint64 // the highest version read or written; a read below it is stale
}

// New returns a history stored in s.Store.
func New(s Settings) *History {
	h := &History{store: s.Store, now: s.Now, wait: s.Wait}
	if h.now == nil {
		h.now = time.Now
	}
	if h.wait == nil {
		h.wait = sleep
	}
	return h
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Create commits data as version 1 if the store has no configuration yet, and returns the committed version.
func (h *History) Create(ctx context.Context, data []byte, blocks [][]byte) (Record, error) {
	data, d, err := codec.WithVersion(data, 1)
	if err != nil {
		return Record{}, fmt.Errorf("history: %w", err)
	}
	next := head{version: 1, hash: sha256.Sum256(data)}
	if err := h.writeParts(ctx, &next, data, d, blocks, nil); err != nil {
		return Record{}, err
	}
	value, err := next.encode()
	if err != nil {
		return Record{}, err
	}
	_, err = h.store.Put(ctx, headKey, value, 0, 0)
	if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
		return Record{}, fmt.Errorf("history: create: %w", err)
	}
	return h.Load(ctx)
}

// Load returns the committed version, or an error that matches store.ErrNotFound or store.ErrUnavailable.
func (h *History) Load(ctx context.Context) (Record, error) {
	current, err := h.readHead(ctx)
	if err != nil {
		return Record{}, err
	}
	return h.readRecord(ctx, current)
}

// Watch blocks until the revision of the head is above after and returns the version committed there.
func (h *History) Watch(ctx context.Context, after uint64) (Record, error) {
	v, err := h.store.Watch(ctx, headKey, after)
	if err != nil {
		return Record{}, fmt.Errorf("history: watch: %w", err)
	}
	current, err := decodeHead(v.Data(), v.Revision())
	if err != nil {
		return Record{}, err
	}
	h.raiseHighestVersion(current.version)
	return h.readRecord(ctx, current)
}

// Blocks returns the client address blocks of the version in r.
func (h *History) Blocks(ctx context.Context, r Record) ([]document.ClientBlock, error) {
	d, err := codec.Decode(r.data)
	if err != nil {
		return nil, err
	}
	names, err := codec.BlockPartNames(r.data)
	if err != nil {
		return nil, err
	}
	var blocks []document.ClientBlock
	for _, name := range names {
		data, err := h.Part(ctx, name)
		if err != nil {
			return nil, err
		}
		more, err := codec.DecodeBlocks(data, d)
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, more...)
	}
	return blocks, nil
}

// Part returns the content-addressed part with the given name.
func (h *History) Part(ctx context.Context, name string) ([]byte, error) {
	v, err := h.store.Get(ctx, partPrefix+name)
	if err != nil {
		return nil, fmt.Errorf("history: part %s: %w", name, err)
	}
	if codec.PartName(v.Data()) != name {
		return nil, fmt.Errorf("history: part %s: content does not match its name", name)
	}
	return v.Data(), nil
}

// readHead reads the head. After a restart of the store the read may be stale; it is then repeated.
func (h *History) readHead(ctx context.Context) (head, error) {
	var current head
	for range maxStaleReads {
		v, err := h.store.Get(ctx, headKey)
		if err != nil {
			return head{}, fmt.Errorf("history: head: %w", err)
		}
		if current, err = decodeHead(v.Data(), v.Revision()); err != nil {
			return head{}, err
		}
		if current.version >= h.highestVersion.Load() {
			h.raiseHighestVersion(current.version)
			return current, nil
		}
	}
	return head{}, fmt.Errorf("%w: stale head: version %d read after version %d", store.ErrUnavailable, current.version, h.highestVersion.Load())
}

// raiseHighestVersion raises highestVersion to at least the given version.
func (h *History) raiseHighestVersion(version uint64) {
	for {
		old := h.highestVersion.Load()
		if version <= old || h.highestVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// readRecord reads the pieces of the version that current names and checks their common hash.
func (h *History) readRecord(ctx context.Context, current head) (Record, error) {
	var data []byte
	for _, name := range current.pieces {
		piece, err := h.Part(ctx, name)
		if err != nil {
			return Record{}, err
		}
		data = append(data, piece...)
	}
	if sha256.Sum256(data) != current.hash {
		return Record{}, fmt.Errorf("history: version %d does not match its hash", current.version)
	}
	return Record{current.version, current.hash, data, current.revision}, nil
}
