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
	// renewEvery is the time between renewals of an entry that reads the store
	// for others, which judge by it whether the store is silent.
	renewEvery = 900 * time.Millisecond
	// restfulEvery is the same for all others; it leaves room for four renewals that are sent again.
	restfulEvery = 1400 * time.Millisecond
	// callTimeout bounds a call that registers or renews.
	callTimeout = 1200 * time.Millisecond
	// hedgeAfter is when a grant or renewal without an answer is sent once more over another
	// connection: three round trips between regions.
	hedgeAfter = 350 * time.Millisecond
	// retryEvery is the time between renewals while they fail; they cost a tenth
	// of a read and tell when the store is back.
	retryEvery = 450 * time.Millisecond
)

// register keeps the entry registered until ctx ends, as leaving once stop has ended.
func (e *Edge) register(ctx, stop context.Context) {
	var lease uint64
	for ctx.Err() == nil && stop.Err() == nil {
		var ok bool
		lease, ok = e.renew(ctx, lease)
		every := renewEvery
		if e.view.Load().led {
			every = restfulEvery
		}
		if !ok {
			every = retryEvery
		}
		t := time.NewTimer(every*9/10 + rand.N(every/5))
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

// renew keeps the lease or takes a new one. It returns the lease in force, 0
// for none, and whether the entry is registered under it.
func (e *Edge) renew(ctx context.Context, lease uint64) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		err := e.keep(ctx, lease)
		if err == nil || e.d.Store.Ended(err) {
			e.follower.Heard()
		}
		if err == nil && e.registered() {
			return lease, true
		}
		if err == nil {
			// The key is gone though the lease lives, as after a revocation by the platform.
			return lease, e.enrol(ctx, lease)
		}
		if !e.d.Store.Ended(err) {
			e.events.Log(event.RenewalFailed, "lease", lease, "error", err, "store-age", e.follower.Age())
			return lease, false
		}
		e.events.Log(event.LeaseLost, "lease", lease, "error", err)
	}
	lease, err := e.grant(ctx)
	if err != nil {
		e.events.Log(event.RenewalFailed, "error", err, "store-age", e.follower.Age())
		return 0, false
	}
	e.follower.Heard()
	if !e.enrol(ctx, lease) {
		return 0, false
	}
	e.events.Log(event.LeaseGranted, "lease", lease)
	return lease, true
}

func (e *Edge) keep(ctx context.Context, lease uint64) error {
	_, err := e.hedged(ctx, func(ctx context.Context) (uint64, error) { return lease, e.d.Store.Renew(ctx, lease) })
	return err
}

func (e *Edge) grant(ctx context.Context) (uint64, error) {
	return e.hedged(ctx, func(ctx context.Context) (uint64, error) {
		lease, _, err := e.d.Store.Grant(ctx, leaseTime)
		return lease, err
	})
}

// hedged calls the store, and once more each time that hedgeAfter has passed
// without an answer: a store that has just come back may never answer a call
// of the outage. The call must do no harm when it is done twice: a lease that
// nobody renews ends by itself.
func (e *Edge) hedged(ctx context.Context, call func(context.Context) (uint64, error)) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		lease uint64
		err   error
	}
	answers := make(chan answer, callTimeout/hedgeAfter+1)
	open, sent := 0, 0
	send := func() {
		open++
		sent++
		go func() {
			lease, err := call(ctx)
			answers <- answer{lease, err}
		}()
	}
	send()
	again := time.NewTicker(hedgeAfter)
	defer again.Stop()
	for {
		select {
		case a := <-answers:
			open--
			if a.err == nil || e.d.Store.Ended(a.err) || open == 0 {
				return a.lease, a.err
			}
		case <-again.C:
			if sent < cap(answers) {
				send()
			}
		}
	}
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
