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

// mutations break one mechanism each.
func mutations() map[string]orders.Hooks {
	placer := func(f func(orders.Placer, orders.Parts) orders.Placer) orders.Hooks { return orders.Hooks{Placer: f} }
	return map[string]orders.Hooks{
		"issuer check":         placer(anyIssuer),
		"record of the table":  placer(settle(func(p permit) orders.Permit { return forgetful{p} })),
		"floor of old tickets": {Issuer: withoutFloor},
		"closed before export": placer(openAfterExport),
		"claim release":        placer(settle(func(p permit) orders.Permit { return releasing{p} })),
		"segment fencing":      {Store: func(s claim.Store) claim.Store { return unfenced{s} }},
		"loading of claims":    {Store: func(s claim.Store) claim.Store { return unread{s} }},
	}
}

// Guards against a check that passes although a mechanism of at-most-once is
// missing: each one, broken alone, must make the check fail.
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

type place func(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error)

func (p place) Place(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
	return p(ctx, k, request, now)
}

// begin places a key by a table alone.
func begin(ctx context.Context, t *order.Table, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
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

// anyIssuer runs the tickets of other entries that the registry would relay or refuse.
func anyIssuer(next orders.Placer, p orders.Parts) orders.Placer {
	foreign := newTable()
	return place(func(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
		tk, err := p.Keys.Parse(k.Text(), k.Tenant(), k.Service())
		if err == nil && tk.Issuer() != p.Issuer.Incarnation() {
			return begin(ctx, foreign, k, request, now)
		}
		return next.Place(ctx, k, request, now)
	})
}

// withoutFloor returns an issuer that never learns which tickets are old, because it issues none.
func withoutFloor(k *ticket.Key, i *order.Issuer) *order.Issuer {
	return order.NewIssuer(k, i.Incarnation())
}

// openAfterExport starts keys that the closed table refuses.
func openAfterExport(next orders.Placer, _ orders.Parts) orders.Placer {
	open := newTable()
	return place(func(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
		d, err := next.Place(ctx, k, request, now)
		if e, ok := errors.AsType[*verdict.Error](err); ok && e.Reason() == verdict.ReasonShuttingDown && ticket.IsTicket(k.Text()) {
			return begin(ctx, open, k, request, now)
		}
		return d, err
	})
}

// permit changes how the dispatch of a key is settled.
type permit struct {
	orders.Permit
	key    order.Key
	claims order.Claims
}

// forgetful drops the record of a ticket that has run.
type forgetful struct{ permit }

func (f forgetful) Finish(a *order.Answer, now time.Time) {
	if ticket.IsTicket(f.key.Text()) {
		f.Fail(verdict.NotRun, now)
		return
	}
	f.permit.Finish(a, now)
}

// releasing releases the claim of a key that may have run.
type releasing struct{ permit }

func (r releasing) Fail(v verdict.Verdict, now time.Time) {
	if v == verdict.MayHaveRun && !ticket.IsTicket(r.key.Text()) {
		r.claims.Release(r.key.Tenant(), r.key.Service(), r.key.Text())
	}
	r.permit.Fail(v, now)
}

// settle replaces the permits of a placer.
func settle(f func(permit) orders.Permit) func(orders.Placer, orders.Parts) orders.Placer {
	return func(next orders.Placer, p orders.Parts) orders.Placer {
		return place(func(ctx context.Context, k order.Key, request uint64, now time.Time) (orders.Decision, error) {
			d, err := next.Place(ctx, k, request, now)
			if d.Permit != nil {
				d.Permit = f(permit{d.Permit, k, p.Claims})
			}
			return d, err
		})
	}
}

// unfenced writes segments whatever their revision is.
type unfenced struct{ claim.Store }

func (u unfenced) Put(ctx context.Context, key string, data []byte, revision, lease uint64) (uint64, error) {
	if strings.Contains(key, "/segment/") {
		if v, err := u.Get(ctx, key); err == nil {
			revision = v.Revision()
		} else if errors.Is(err, store.ErrNotFound) {
			revision = 0
		}
	}
	return u.Store.Put(ctx, key, data, revision, lease)
}

// unread lists no claims of earlier keepers.
type unread struct{ claim.Store }

func (unread) List(context.Context, string) ([]store.Value, error) { return nil, nil }
