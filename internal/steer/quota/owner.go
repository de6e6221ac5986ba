package quota

import "time"

// maxWait bounds the waiting time that a refused caller is told; the demand of a longer time is unknown.
const maxWait = 4 * time.Second

// Owner is the token bucket of one account at the entry that owns it in a region. It is not safe for concurrent use.
type Owner struct {
	whole Limit // whole is the limit of the account over all regions.
	share Limit
	level float64
	at    time.Duration // at is the time up to which the bucket has accrued tokens.
	queue Queue
}

// NewOwner returns an empty bucket that begins to accrue at the given time, read from a clock that also runs while the machine is
// suspended.
func NewOwner(l Limit, regions int, now time.Duration) *Owner {
	return &Owner{whole: l, share: l.share(regions), at: now}
}

// SetLimit applies the limit in force and the number of regions that share it.
func (o *Owner) SetLimit(l Limit, regions int, now time.Duration) {
	share := l.share(regions)
	if o.whole == l && o.share == share {
		return
	}
	o.accrue(now)
	o.whole, o.share = l, share
	o.level = min(o.level, share.Burst)
}

func (o *Owner) accrue(now time.Duration) {
	if now <= o.at {
		return
	}
	o.level = min(o.share.Burst, o.level+o.share.Rate*(now-o.at).Seconds())
	o.at = now
}

// Grant takes up to want tokens from the bucket. When it has fewer, wait is the time until a request that is refused now will find
// one; waiting is the number of requests that are refused without a token.
func (o *Owner) Grant(want, waiting int, now time.Duration) (granted int, wait time.Duration) {
	o.accrue(now)
	if want < 1 {
		return 0, 0
	}
	// The sum of many small additions may be a little below the whole number.
	const rounding = 1e-9
	granted = min(want, int(o.level+rounding))
	o.level = max(0, o.level-float64(granted))
	if granted == want {
		return granted, 0
	}
	refill := time.Duration((1 - min(1, o.level)) / o.share.Rate * float64(time.Second))
	return granted, o.queue.Wait(refill, waiting-granted, o.whole.Rate, now)
}

// Queue estimates when refused requests of one account will find a token, if they return in the order of their refusal. The zero
// value has refused none.
type Queue struct {
	next time.Duration // next is when the first request after those refused so far will find a token.
}

// Wait returns the time until the next request will find a token, at least the given one, and moves the estimate by refused
// requests, which use the whole rate.
func (q *Queue) Wait(least time.Duration, refused int, rate float64, now time.Duration) time.Duration {
	wait := min(max(least, q.next-now), maxWait)
	q.next = now + wait
	if refused > 0 {
		q.next = now + min(maxWait, wait+time.Duration(float64(refused)/rate*float64(time.Second)))
	}
	return wait
}
