package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/site/census"
)

const (
	// leaseTTL bounds how long lookups name an entry that was killed.
	leaseTTL = 3 * time.Second
	// readerRenewInterval is the time between renewals of an entry that reads the store
	// for others: its renewals show whether the store answers.
	readerRenewInterval = 900 * time.Millisecond
	// renewInterval is the same for all other entries; within leaseTTL it leaves time for four retries of a renewal.
	renewInterval = 1400 * time.Millisecond
	// leaseCallTimeout bounds the store calls of one registration or renewal.
	leaseCallTimeout = 1200 * time.Millisecond
	// hedgeDelay is the time without an answer after which a grant or renewal is sent again over another
	// connection: three round trips between regions.
	hedgeDelay = 350 * time.Millisecond
	// renewRetryInterval is the time between renewals while they fail. A renewal costs a tenth
	// of a read and detects the store's recovery.
	renewRetryInterval = 450 * time.Millisecond
)

// keepRegistered keeps the entry registered until ctx or stop ends, then revokes its lease.
func (e *Edge) keepRegistered(ctx, stop context.Context) {
	e.resumeOwning(stop)
	var lease, leaseEra uint64 // leaseEra is the era of the store in which the lease was granted.
	for ctx.Err() == nil && stop.Err() == nil {
		current, ok := e.renewOrGrant(ctx, lease)
		if current != lease {
			lease, leaseEra = current, e.deps.Store.Era()
		}
		interval := readerRenewInterval
		if e.view.Load().hasReader {
			interval = renewInterval
		}
		if !ok {
			interval = renewRetryInterval
		}
		t := time.NewTimer(interval*9/10 + rand.N(interval/5))
		select {
		case <-t.C:
		case <-e.renewNow:
			if leaseEra < e.deps.Store.Era() {
				lease = 0 // The store may have granted the number of the lost lease to another entry.
			}
		case <-stop.Done():
		case <-ctx.Done():
		}
		t.Stop()
	}
	if lease == 0 {
		return
	}
	// The revocation removes this entry from the lookups of the others.
	bounded, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	if err := e.deps.Store.Revoke(bounded, lease); err != nil {
		e.events.Log(event.LeaseLost, "lease", lease, "error", err, "leaving", true)
	}
}

// renewOrGrant renews the lease or registers under a new one. It returns the current lease, 0
// for none, and whether the entry is registered under it.
func (e *Edge) renewOrGrant(ctx context.Context, lease uint64) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	defer func() { e.follower.RecordEra(e.deps.Store.Era()) }()
	if lease != 0 {
		err := e.renewLease(ctx, lease)
		if err == nil || e.deps.Store.LeaseEnded(err) {
			e.follower.RecordStoreAnswer()
		}
		if err == nil && e.isRegistered() {
			return lease, true
		}
		if err == nil {
			// The key was removed although the lease is still valid, for example by the platform.
			return lease, e.putRegistration(ctx, lease)
		}
		if !e.deps.Store.LeaseEnded(err) {
			e.events.Log(event.RenewalFailed, "lease", lease, "error", err, "store-age", e.follower.Age())
			return lease, false
		}
		e.events.Log(event.LeaseLost, "lease", lease, "error", err)
		e.suspendPacing()
	}
	lease, err := e.grantLease(ctx)
	if err != nil {
		e.events.Log(event.RenewalFailed, "error", err, "store-age", e.follower.Age())
		return 0, false
	}
	e.follower.RecordStoreAnswer()
	if !e.putRegistration(ctx, lease) {
		return 0, false
	}
	e.events.Log(event.LeaseGranted, "lease", lease)
	return lease, true
}

func (e *Edge) renewLease(ctx context.Context, lease uint64) error {
	_, err := e.hedgedCall(ctx, func(ctx context.Context) (uint64, error) { return lease, e.deps.Store.Renew(ctx, lease) })
	return err
}

func (e *Edge) grantLease(ctx context.Context) (uint64, error) {
	return e.hedgedCall(ctx, func(ctx context.Context) (uint64, error) {
		lease, _, err := e.deps.Store.Grant(ctx, leaseTTL)
		return lease, err
	})
}

// hedgedCall calls the store, and again each time hedgeDelay has passed without an answer: a store that has
// just recovered may never answer a call made during the outage. The call must be safe to execute twice:
// an unused second lease expires.
func (e *Edge) hedgedCall(ctx context.Context, call func(context.Context) (uint64, error)) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		lease uint64
		err   error
	}
	answers := make(chan answer, leaseCallTimeout/hedgeDelay+1)
	pending, sent := 0, 0
	send := func() {
		pending++
		sent++
		go func() {
			lease, err := call(ctx)
			answers <- answer{lease, err}
		}()
	}
	send()
	hedgeTicker := time.NewTicker(hedgeDelay)
	defer hedgeTicker.Stop()
	for {
		select {
		case a := <-answers:
			pending--
			if a.err == nil || e.deps.Store.LeaseEnded(a.err) || pending == 0 {
				return a.lease, a.err
			}
		case <-hedgeTicker.C:
			if sent < cap(answers) {
				send()
			}
		}
	}
}

// renewAfterLoss makes the entry register again at once when the store has lost its registration by a restoration.
func (e *Edge) renewAfterLoss(now time.Time) {
	if e.builder.lostOwn && e.builder.hold.active(now) {
		select {
		case e.renewNow <- struct{}{}:
		default:
		}
	}
	e.builder.lostOwn = false
}

// isRegistered reports whether the current view contains the entry's own registration.
func (e *Edge) isRegistered() bool {
	for _, o := range e.view.Load().registeredNames {
		if o == e.settings.Name {
			return true
		}
	}
	return false
}

func (e *Edge) putRegistration(ctx context.Context, lease uint64) bool {
	if !e.takeResumed() {
		e.suspendOwning()
		defer e.suspendOwning()
	}
	value, err := census.Encode(e.registration())
	if err == nil {
		err = e.deps.Store.Put(ctx, e.deps.Keys.EntryKey(e.settings.Name), value, lease)
	}
	if err != nil {
		e.events.Log(event.LeaseLost, "lease", lease, "error", err)
	}
	return err == nil
}
