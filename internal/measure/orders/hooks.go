package orders

import (
	"context"
	"time"

	"tamarackspool/internal/request/claim"
	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/request/verdict"
)

// Permit is the right to dispatch a key; *order.Permit and *order.Run have these methods.
type Permit interface {
	Finish(a *order.Answer, now time.Time)
	Fail(v verdict.Verdict, now time.Time)
}

// Decision is an entry's decision about a request; one field is set.
type Decision struct {
	Relay  string // Relay is the entry to which the request is relayed.
	Answer *order.Answer
	Permit Permit
}

// Placer decides how an entry handles a request with an idempotency key.
type Placer interface {
	Place(ctx context.Context, k order.Key, request uint64, now time.Time) (Decision, error)
}

// Components are the parts of an entry that a hook may use.
type Components struct {
	Keys   *ticket.Key
	Issuer *order.Issuer
	Claims order.Claims
}

// Hooks replace components of each entry, so that a test can disable a mechanism; nil leaves a component unchanged.
type Hooks struct {
	Store  func(claim.Store) claim.Store
	Placer func(Placer, Components) Placer
	Issuer func(*ticket.Key, *order.Issuer) *order.Issuer // Issuer returns the issuer from which the registry gets the lowest valid serial.
}

// registryPlacer adapts the product's registry to Placer.
type registryPlacer struct{ orders *order.Registry }

// Place returns the registry's decision.
func (r registryPlacer) Place(ctx context.Context, k order.Key, request uint64, now time.Time) (Decision, error) {
	p, err := r.orders.Decide(ctx, k, request, now)
	d := Decision{Relay: p.RelayEntry(), Answer: p.Answer()}
	if p.Permit() != nil {
		d.Permit = p.Permit()
	}
	return d, err
}
