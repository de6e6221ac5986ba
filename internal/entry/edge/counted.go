package edge

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/site/mirror"
)

// counted counts the calls to the store, as each has its price and all
// entries share the store's rates.
type counted struct {
	Store
	calls    metrics.Counter // calls are those that read or write.
	renewals metrics.Counter
}

// Changes asks the store for changes.
func (c counted) Changes(ctx context.Context, after uint64, wait time.Duration) (mirror.Batch, error) {
	c.calls.Inc(1)
	return c.Store.Changes(ctx, after, wait)
}

// Grant asks the store for a lease.
func (c counted) Grant(ctx context.Context, ttl time.Duration) (uint64, time.Duration, error) {
	c.calls.Inc(1)
	return c.Store.Grant(ctx, ttl)
}

// Renew renews a lease.
func (c counted) Renew(ctx context.Context, lease uint64) error {
	c.renewals.Inc(1)
	return c.Store.Renew(ctx, lease)
}

// Revoke ends a lease.
func (c counted) Revoke(ctx context.Context, lease uint64) error {
	c.calls.Inc(1)
	return c.Store.Revoke(ctx, lease)
}

// Put writes a key.
func (c counted) Put(ctx context.Context, key string, value []byte, lease uint64) error {
	c.calls.Inc(1)
	return c.Store.Put(ctx, key, value, lease)
}
