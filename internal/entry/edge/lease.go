package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/site/census"
)

const (
	// leaseTime bounds how long a killed entry is named by look-ups.
	leaseTime = 3 * time.Second
	// renewEvery leaves room for two lost renewals.
	renewEvery = 900 * time.Millisecond
	// callTimeout bounds a call that registers or renews.
	callTimeout = 1200 * time.Millisecond
)

// register keeps the entry registered until ctx ends, as leaving once stop has ended.
func (e *Edge) register(ctx, stop context.Context) {
	var lease uint64
	for ctx.Err() == nil && stop.Err() == nil {
		lease = e.renew(ctx, lease)
		t := time.NewTimer(renewEvery*9/10 + rand.N(renewEvery/5))
		select {
		case <-t.C:
		case <-stop.Done():
		case <-ctx.Done():
		}
		t.Stop()
	}
	if lease == 0 {
		return
	}
	// Look-ups of the other entries leave this one out from here on.
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.d.Store.Revoke(bounded, lease); err != nil {
		e.events.Log(event.LeaseLost, "lease", lease, "error", err, "leaving", true)
	}
}

// renew keeps the lease or takes a new one, and returns the lease in force, 0 for none.
func (e *Edge) renew(ctx context.Context, lease uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		err := e.d.Store.Renew(ctx, lease)
		if err == nil {
			e.follower.Heard()
		}
		if err == nil && e.registered() {
			return lease
		}
		if err == nil {
			// The key is gone though the lease lives, as after a revocation by the platform.
			e.enrol(ctx, lease)
			return lease
		}
		if !e.d.Store.Ended(err) {
			e.events.Log(event.RenewalFailed, "lease", lease, "error", err, "store-age", e.follower.Age())
			return lease
		}
		e.events.Log(event.LeaseLost, "lease", lease, "error", err)
	}
	lease, _, err := e.d.Store.Grant(ctx, leaseTime)
	if err != nil {
		e.events.Log(event.RenewalFailed, "error", err, "store-age", e.follower.Age())
		return 0
	}
	if !e.enrol(ctx, lease) {
		return 0
	}
	e.events.Log(event.LeaseGranted, "lease", lease)
	return lease
}

// registered reports whether the entry's key stands in the store as far as is known.
func (e *Edge) registered() bool {
	for _, o := range e.view.Load().stored {
		if o == e.s.Name {
			return true
		}
	}
	return false
}

func (e *Edge) enrol(ctx context.Context, lease uint64) bool {
	value, err := census.Encode(e.self)
	if err == nil {
		err = e.d.Store.Put(ctx, e.d.Keys.EntryKey(e.s.Name), value, lease)
	}
	if err != nil {
		e.events.Log(event.LeaseLost, "lease", lease, "error", err)
	}
	return err == nil
}
