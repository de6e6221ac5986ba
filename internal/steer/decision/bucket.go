package decision

import (
	"context"
	"sync/atomic"
	"time"
)

// Burst is the burst allowance of a bucket, as the time that the burst takes at its rate.
const Burst = 50 * time.Millisecond

// Bucket is a rate limiter for the bytes that this entry sends and receives over the link to a region.
type Bucket struct {
	epoch  time.Time
	expiry atomic.Int64 // expiry is when the rate expires, in nanoseconds since the epoch; 0 means never.
	out    pacer
	in     pacer
}

// NewBucket returns a bucket with a rate of 0, which is closed.
func NewBucket(now time.Time) *Bucket { return &Bucket{epoch: now} }

// Used returns the bytes charged since the last call in the busier direction.
func (b *Bucket) Used() int64 { return max(b.out.used.Swap(0), b.in.used.Swap(0)) }

// SetRate sets the rate of each direction in bytes per second; 0 closes the bucket.
func (b *Bucket) SetRate(rate int64) {
	b.out.rate.Store(rate)
	b.in.rate.Store(rate)
}

// Expire closes the bucket at the given time unless it is called again before
// then, so that streams of a paused process do not use a loan that has ended.
func (b *Bucket) Expire(at time.Time) { b.expiry.Store(int64(at.Sub(b.epoch))) }

// RateAt returns the rate of each direction in bytes per second at the given time, or 0 when the rate has expired.
func (b *Bucket) RateAt(now time.Time) int64 {
	if end := b.expiry.Load(); end != 0 && int64(now.Sub(b.epoch)) > end {
		return 0
	}
	return b.Rate()
}

// Rate returns the rate of each direction in bytes per second, whether or not it has expired.
func (b *Bucket) Rate() int64 { return b.out.rate.Load() }

// Open reports whether a relay may start: the bucket has a rate and neither direction has exceeded it.
func (b *Bucket) Open(now time.Time) bool {
	at := int64(now.Sub(b.epoch))
	return b.RateAt(now) > 0 && b.out.paidUntil.Load() <= at && b.in.paidUntil.Load() <= at
}

// ChargeSent charges n bytes sent and returns how long the stream must wait before it continues.
func (b *Bucket) ChargeSent(now time.Time, n int64) time.Duration {
	d, _ := b.charge(&b.out, now, n)
	return d
}

// ChargeReceived charges n bytes received and returns how long the stream must wait before it continues.
func (b *Bucket) ChargeReceived(now time.Time, n int64) time.Duration {
	d, _ := b.charge(&b.in, now, n)
	return d
}

// WaitSent charges n bytes sent and waits until the rate allows them or the context ends.
func (b *Bucket) WaitSent(ctx context.Context, n int64) error { return b.waitCharged(ctx, &b.out, n) }

// WaitReceived charges n bytes received and waits until the rate allows them or the context ends.
func (b *Bucket) WaitReceived(ctx context.Context, n int64) error {
	return b.waitCharged(ctx, &b.in, n)
}

// waitCharged polls a closed bucket until it accepts the charge, so that no byte passes uncharged.
func (b *Bucket) waitCharged(ctx context.Context, p *pacer, n int64) error {
	for {
		d, charged := b.charge(p, time.Now(), n)
		if err := wait(ctx, d); err != nil || charged {
			return err
		}
	}
}

// charge returns how long to wait and whether the bytes were charged; a closed bucket does not charge them.
func (b *Bucket) charge(p *pacer, now time.Time, n int64) (time.Duration, bool) {
	if n <= 0 {
		return 0, true
	}
	if b.RateAt(now) <= 0 {
		return closedRetryInterval, false
	}
	return p.charge(int64(now.Sub(b.epoch)), n), true
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

// pacer limits the rate of one direction. paidUntil is the time up to which the
// bytes charged so far use up the rate, in nanoseconds since the bucket's epoch.
type pacer struct {
	rate      atomic.Int64
	paidUntil atomic.Int64
	used      atomic.Int64
}

// closedRetryInterval is the time between two attempts of a stream to charge a closed bucket.
const closedRetryInterval = 100 * time.Millisecond

func (p *pacer) charge(at, n int64) time.Duration {
	rate := max(1, p.rate.Load())
	p.used.Add(n)
	cost := int64(float64(n) / float64(rate) * float64(time.Second))
	for {
		old := p.paidUntil.Load()
		next := max(old, at-int64(Burst)) + cost
		if p.paidUntil.CompareAndSwap(old, next) {
			return time.Duration(max(0, next-at))
		}
	}
}
