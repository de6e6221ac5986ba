package orders_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/measure/orders"
	"tamarackspool/internal/platform/store"
	"tamarackspool/internal/request/claim"
	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/request/verdict"
)

// mutations returns hooks that each disable one mechanism.
func mutations() map[string]orders.Hooks {
	placer := func(f func(orders.Placer, orders.Components) orders.Placer) orders.Hooks {
		return orders.Hooks{Placer: f}
	}
	return map[string]orders.Hooks{
		"issuer check":         placer(acceptForeignTickets),
		"record of the table":  placer(wrapPermits(func(p wrappedPermit) orders.Permit { return forgetRun{p} })),
		"floor of old tickets": {Issuer: issuerWithoutTickets},
		"closed before export": placer(acceptAfterClose),
		"claim release":        placer(wrapPermits(func(p wrappedPermit) orders.Permit { return releaseClaim{p} })),
		"segment fencing":      {Store: func(s claim.Store) claim.Store { return unfencedStore{s} }},
		"loading of claims":    {Store: func(s claim.Store) claim.Store { return unreadStore{s} }},
	}
}

// Guards against a check that passes although a mechanism of at-most-once execution
// is missing: disabling any single one must make the check fail.
func TestEachBrokenMechanismIsFound(t *testing.T) {
	for name, h := range mutations() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if o := check(t, seed, h); len(o.Violations) > 0 {
					t.Logf("found with seed %d: %s", seed, o.Violations[0])
					return
				}
			}
			t.Error("no violation in 200 clusters")
		})
	}
}

type placerFunc func(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error)

func (p placerFunc) Place(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
	return p(ctx, k, request, now)
}

// beginInTable decides about a key with a table alone, without the registry's checks.
func beginInTable(ctx context.Context, t *order.Table, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
	run, answer, err := t.Begin(ctx, k, request, now)
	d := orders.Decision{Answer: answer}
	if run != nil {
		d.Permit = run
	}
	return d, err
}

func newTable() *order.Table {
	return order.NewTable(order.Settings{MaxKeys: 10_000, MaxAnswerBytes: 1 << 20})
}

// acceptForeignTickets runs tickets of other issuers, which the registry would relay or refuse.
func acceptForeignTickets(next orders.Placer, p orders.Components) orders.Placer {
	foreign := newTable()
	return placerFunc(func(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
		tk, err := p.Keys.Parse(k.Text(), k.Tenant(), k.Service())
		if err == nil && tk.Issuer() != p.Issuer.Incarnation() {
			return beginInTable(ctx, foreign, k, request, now)
		}
		return next.Place(ctx, k, request, now)
	})
}

// issuerWithoutTickets returns an issuer whose lowest valid serial never rises, because it issues no tickets.
func issuerWithoutTickets(k *ticket.Key, i *order.Issuer) *order.Issuer {
	return order.NewIssuer(k, i.Incarnation())
}

// acceptAfterClose starts keys that the closed table refuses.
func acceptAfterClose(next orders.Placer, _ orders.Components) orders.Placer {
	open := newTable()
	return placerFunc(func(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
		d, err := next.Place(ctx, k, request, now)
		if e, ok := errors.AsType[*verdict.Error](err); ok && e.Reason() == verdict.ReasonShuttingDown && ticket.IsTicket(k.Text()) {
			return beginInTable(ctx, open, k, request, now)
		}
		return d, err
	})
}

// wrappedPermit is a permit whose settlement a mutation changes.
type wrappedPermit struct {
	orders.Permit
	key    order.Key
	claims order.Claims
}

// forgetRun drops the record of a ticket that has run.
type forgetRun struct{ wrappedPermit }

func (f forgetRun) Finish(a *order.Answer, now time.Time) {
	if ticket.IsTicket(f.key.Text()) {
		f.Fail(verdict.NotRun, now)
		return
	}
	f.wrappedPermit.Finish(a, now)
}

// releaseClaim releases the claim of a key that may have run.
type releaseClaim struct{ wrappedPermit }

func (r releaseClaim) Fail(v verdict.Verdict, now time.Time) {
	if v == verdict.MayHaveRun && !ticket.IsTicket(r.key.Text()) {
		r.claims.Release(r.key.Tenant(), r.key.Service(), r.key.Text())
	}
	r.wrappedPermit.Fail(v, now)
}

// wrapPermits wraps the permits that a placer returns.
func wrapPermits(f func(wrappedPermit) orders.Permit) func(orders.Placer, orders.Components) orders.Placer {
	return func(next orders.Placer, p orders.Components) orders.Placer {
		return placerFunc(func(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
			d, err := next.Place(ctx, k, request, now)
			if d.Permit != nil {
				d.Permit = f(wrappedPermit{d.Permit, k, p.Claims})
			}
			return d, err
		})
	}
}

// unfencedStore writes segments regardless of their revision.
type unfencedStore struct{ claim.Store }

func (u unfencedStore) Put(ctx context.Context, key string, data []byte, revision, lease uint64) (uint64, error) {
	if strings.Contains(key, "/segment/") {
		if v, err := u.Get(ctx, key); err == nil {
			revision = v.Revision()
		} else if errors.Is(err, store.ErrNotFound) {
			revision = 0
		}
	}
	return u.Store.Put(ctx, key, data, revision, lease)
}

// unreadStore lists no claims of earlier owners.
type unreadStore struct{ claim.Store }

func (unreadStore) List(context.Context, string) ([]store.Value, error) { return nil, nil }
