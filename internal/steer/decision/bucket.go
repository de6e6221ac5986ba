package decision

import (
	"context"
	"sync/atomic"
	"time"
)

// Burst is how far a bucket may run ahead of its rate.
const Burst = 50 * time.Millisecond

// Bucket paces the bytes that this entry sends and receives over the link to a region.
type Bucket struct {
	epoch time.Time
	end   atomic.Int64 // end is when the rate ceases to be valid, in nanoseconds since the epoch; 0 means never.
	out   pacer
	in    pacer
}

// NewBucket returns a bucket without any rate.
func NewBucket(now time.Time) *Bucket { return &Bucket{epoch: now} }

// Used returns the bytes charged since the last call, in the direction with more of them.
func (b *Bucket) Used() int64 { return max(b.out.used.Swap(0), b.in.used.Swap(0)) }

// SetRate sets the bytes per second of each direction; 0 closes the bucket.
func (b *Bucket) SetRate(rate int64) {
	b.out.rate.Store(rate)
	b.in.rate.Store(rate)
}

// Expire closes the bucket after the given time unless it is called again before,
// so that streams of a paused process do not use a loan that has ended.
func (b *Bucket) Expire(at time.Time) { b.end.Store(int64(at.Sub(b.epoch))) }

// RateAt returns the bytes per second of each direction that may pass at the given time.
func (b *Bucket) RateAt(now time.Time) int64 {
	if end := b.end.Load(); end != 0 && int64(now.Sub(b.epoch)) > end {
		return 0
	}
	return b.Rate()
}

// Rate returns the bytes per second of each direction.
func (b *Bucket) Rate() int64 { return b.out.rate.Load() }

// Open reports whether a relay may start: the bucket has a rate and neither direction is in debt.
func (b *Bucket) Open(now time.Time) bool {
	at := int64(now.Sub(b.epoch))
	return b.RateAt(now) > 0 && b.out.due.Load() <= at && b.in.due.Load() <= at
}

// TakeOut charges n bytes sent and returns how long the stream has to wait before it goes on.
func (b *Bucket) TakeOut(now time.Time, n int64) time.Duration {
	d, _ := b.take(&b.out, now, n)
	return d
}

// TakeIn charges n bytes received and returns how long the stream has to wait before it goes on.
func (b *Bucket) TakeIn(now time.Time, n int64) time.Duration {
	d, _ := b.take(&b.in, now, n)
	return d
}

// WaitOut charges n bytes sent and waits until they fit the rate or the context ends.
func (b *Bucket) WaitOut(ctx context.Context, n int64) error { return b.pass(ctx, &b.out, n) }

// WaitIn charges n bytes received and waits until they fit the rate or the context ends.
func (b *Bucket) WaitIn(ctx context.Context, n int64) error { return b.pass(ctx, &b.in, n) }

// pass asks a closed bucket again until it takes the charge, so that no byte passes without one.
func (b *Bucket) pass(ctx context.Context, p *pacer, n int64) error {
	for {
		d, charged := b.take(p, time.Now(), n)
		if err := wait(ctx, d); err != nil || charged {
			return err
		}
	}
}

// take reports how long to wait and whether the bytes were charged, which a closed bucket does not do.
func (b *Bucket) take(p *pacer, now time.Time, n int64) (time.Duration, bool) {
	if n <= 0 {
		return 0, true
	}
	if b.RateAt(now) <= 0 {
		return closedWait, false
	}
	return p.take(int64(now.Sub(b.epoch)), n), true
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// pacer holds the time at which everything charged so far has been paid, in
// nanoseconds since the bucket's epoch.
type pacer struct {
	rate atomic.Int64
	due  atomic.Int64
	used atomic.Int64
}

// closedWait is how long a stream waits when the rate is zero before it may ask again.
const closedWait = 100 * time.Millisecond

func (p *pacer) take(at, n int64) time.Duration {
	rate := max(1, p.rate.Load())
	p.used.Add(n)
	cost := int64(float64(n) / float64(rate) * float64(time.Second))
	for {
		old := p.due.Load()
		next := max(old, at-int64(Burst)) + cost
		if p.due.CompareAndSwap(old, next) {
			return time.Duration(max(0, next-at))
		}
	}
}
