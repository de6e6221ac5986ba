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

// Decision says what an entry does with a request; one field is set.
type Decision struct {
	Relay  string
	Answer *order.Answer
	Permit Permit
}

// Placer decides about a request with an idempotency key.
type Placer interface {
	Place(ctx context.Context, k order.Key, request uint64, now time.Time) (Decision, error)
}

// Parts are the pieces of an entry that a hook may use.
type Parts struct {
	Keys   *ticket.Key
	Issuer *order.Issuer
	Claims order.Claims
}

// Hooks replace parts of each entry, so that a test can break a mechanism; nil leaves a part as it is.
type Hooks struct {
	Store  func(claim.Store) claim.Store
	Placer func(Placer, Parts) Placer
	Issuer func(*ticket.Key, *order.Issuer) *order.Issuer // Issuer gives the one that the registry asks for the floor.
}

// registry adapts the product's registry to Placer.
type registry struct{ inner *order.Registry }

// Place returns the registry's decision.
func (r registry) Place(ctx context.Context, k order.Key, request uint64, now time.Time) (Decision, error) {
	p, err := r.inner.Decide(ctx, k, request, now)
	d := Decision{Relay: p.RelayEntry(), Answer: p.Answer()}
	if p.Permit() != nil {
		d.Permit = p.Permit()
	}
	return d, err
}
