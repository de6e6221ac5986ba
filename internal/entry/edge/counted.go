package edge

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/request/head"
	"tamarackspool/internal/site/mirror"
)

// countingStore counts the calls to the store: each call has a price, and all
// entries share the store's rate limits.
type countingStore struct {
	Store
	calls        metrics.Counter // calls counts all calls except renewals.
	renewals     metrics.Counter
	invalidHeads metrics.Counter // invalidHeads counts the calls whose answer was rejected because HTTP/1.1 does not allow its head.
}

// countInvalid counts the call if its error says that the answer's head was rejected, and returns the error.
func (c countingStore) countInvalid(err error) error {
	if errors.Is(err, head.ErrInvalid) {
		c.invalidHeads.Inc(1)
	}
	return err
}

// Changes counts and forwards a read of changes.
func (c countingStore) Changes(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	c.calls.Inc(1)
	b, err := c.Store.Changes(ctx, after, wait)
	return b, c.countInvalid(err)
}

// Grant counts and forwards the grant of a lease.
func (c countingStore) Grant(ctx context.Context, ttl time.Duration) (uint64, time.Duration, error) {
	c.calls.Inc(1)
	lease, ttl, err := c.Store.Grant(ctx, ttl)
	return lease, ttl, c.countInvalid(err)
}

// Renew counts and forwards a lease renewal.
func (c countingStore) Renew(ctx context.Context, lease uint64) error {
	c.renewals.Inc(1)
	return c.countInvalid(c.Store.Renew(ctx, lease))
}

// Revoke counts and forwards the revocation of a lease.
func (c countingStore) Revoke(ctx context.Context, lease uint64) error {
	c.calls.Inc(1)
	return c.countInvalid(c.Store.Revoke(ctx, lease))
}

// Put counts and forwards a write.
func (c countingStore) Put(ctx context.Context, key string, value []byte, lease uint64) error {
	c.calls.Inc(1)
	return c.countInvalid(c.Store.Put(ctx, key, value, lease))
}
