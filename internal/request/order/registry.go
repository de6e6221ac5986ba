package order

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/request/verdict"
)

const maxKeyLength = 128

// Fleet tells where the home of a key is.
type Fleet interface {
	// Holder returns the entry that runs as the incarnation, or one that holds its outcomes.
	Holder(ticket.Incarnation) (entry string, ok bool)
	// Keeper returns the entry that keeps the claims of a caller-chosen key.
	Keeper(tenant, service, text string) (entry string, ok bool)
}

// Claims records caller-chosen keys in the key-value service before they run.
type Claims interface {
	// Claim reports whether this process alone may run the key; false means that it may have run.
	// An error means that the claim could not be made and proves nothing about earlier requests.
	Claim(ctx context.Context, tenant, service, text string) (bool, error)
	// Release makes a claimed key, which is proven not to have run, available again.
	Release(tenant, service, text string)
}

// Registry decides for each idempotency key whether it runs here, runs elsewhere or has an answer already.
type Registry struct {
	name      string
	keys      *ticket.Key
	issuer    *Issuer
	table     *Table
	handovers *Handovers
	fleet     Fleet
	claims    Claims
}

// NewRegistry returns the registry of the entry with the given name.
func NewRegistry(name string, keys *ticket.Key, issuer *Issuer, table *Table, handovers *Handovers, fleet Fleet, claims Claims) *Registry {
	return &Registry{name, keys, issuer, table, handovers, fleet, claims}
}

// Place says what to do with a request: relay it, send the answer, or dispatch it and settle the permit.
type Place struct {
	relay  string
	answer *Answer
	permit *Permit
}

// Relay returns the entry that must handle the request, or an empty string.
func (p Place) Relay() string { return p.relay }

// Answer returns the recorded answer, or nil.
func (p Place) Answer() *Answer { return p.answer }

// Permit returns the right to dispatch the request here, or nil.
func (p Place) Permit() *Permit { return p.permit }

// Permit is the right to dispatch a key once; exactly one of Finish and Fail must be called.
type Permit struct {
	run     *Run
	release func()
}

// Finish records the complete answer of the target; of a nil answer only the verdict is kept.
func (p *Permit) Finish(a *Answer, now time.Time) { p.run.Finish(a, now) }

// Fail records that the dispatch ended without a complete answer; after NotRun the key may run again.
func (p *Permit) Fail(v verdict.Verdict, now time.Time) {
	// The claim is released first: once the table forgets the key, a waiting
	// repeat asks for the claim again.
	if v == verdict.NotRun && p.release != nil {
		p.release()
	}
	p.run.Fail(v, now)
}

// Place decides about a request with an idempotency key; request identifies its method and path.
// Any error is a *verdict.Error.
func (g *Registry) Place(ctx context.Context, k Key, request uint64, now time.Time) (Place, error) {
	if ticket.IsTicket(k.text) {
		return g.placeTicket(ctx, k, request, now)
	}
	if err := checkText(k.text); err != nil {
		return Place{}, err
	}
	return g.placeChosen(ctx, k, request, now)
}

func checkText(text string) error {
	if len(text) == 0 || len(text) > maxKeyLength {
		return verdict.New(verdict.NotRun, verdict.ReasonInput, http.StatusBadRequest,
			fmt.Errorf("order: Idempotency-Key has %d characters, want 1 to %d", len(text), maxKeyLength))
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return verdict.New(verdict.NotRun, verdict.ReasonInput, http.StatusBadRequest,
				errors.New("order: Idempotency-Key holds a character that is not visible ASCII"))
		}
	}
	return nil
}

func (g *Registry) placeTicket(ctx context.Context, k Key, request uint64, now time.Time) (Place, error) {
	tk, err := g.keys.Parse(k.text, k.tenant, k.service)
	if err != nil {
		return Place{}, verdict.New(verdict.NotRun, verdict.ReasonInput, http.StatusForbidden, err)
	}
	if tk.Issuer() == g.issuer.Self() {
		return g.placeOwn(ctx, tk, k, request, now)
	}
	if answer, ok, err := g.handovers.Recall(tk, k, request, now); ok {
		return Place{answer: answer}, err
	}
	entry, ok := g.fleet.Holder(tk.Issuer())
	if !ok || entry == g.name {
		return Place{}, issuerGone()
	}
	return Place{relay: entry}, nil
}

func (g *Registry) placeOwn(ctx context.Context, tk ticket.Ticket, k Key, request uint64, now time.Time) (Place, error) {
	if tk.Serial() >= g.issuer.Floor(now) {
		place, err := g.begin(ctx, k, request, now)
		if !g.outdated(tk, place, err) {
			return place, err
		}
		if place.permit != nil {
			place.permit.run.Fail(verdict.NotRun, now)
		}
		return Place{}, expired()
	}
	answer, ok, err := g.table.Recall(ctx, k, request)
	if !ok {
		return Place{}, expired()
	}
	return Place{answer: answer}, err
}

// outdated reports whether a decision that rests on a missing record comes from
// a request that read the clock too long ago, for example before its process was
// paused: another request may have dropped the record of the ticket's run since.
func (g *Registry) outdated(tk ticket.Ticket, place Place, err error) bool {
	missing := place.permit != nil || err != nil && verdict.Of(err) == verdict.NotRun
	return missing && tk.Serial() < g.issuer.Floor(g.table.latest())
}

func expired() error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonIssuer, http.StatusBadGateway,
		fmt.Errorf("order: the ticket is older than %v; the order may have run and will not run again", Validity))
}

func (g *Registry) begin(ctx context.Context, k Key, request uint64, now time.Time) (Place, error) {
	run, answer, err := g.table.Begin(ctx, k, request, now)
	if err != nil || run == nil {
		return Place{answer: answer}, err
	}
	return Place{permit: &Permit{run: run}}, nil
}

// placeChosen begins the key in the table before it claims it, so that of two
// requests at once one claims and the other waits for the first's answer.
func (g *Registry) placeChosen(ctx context.Context, k Key, request uint64, now time.Time) (Place, error) {
	keeper, ok := g.fleet.Keeper(k.tenant, k.service, k.text)
	if !ok {
		return Place{}, verdict.New(verdict.MayHaveRun, verdict.ReasonIsolated, http.StatusBadGateway,
			errors.New("order: no entry keeps this key; repeat with the same key later"))
	}
	if keeper != g.name {
		return Place{relay: keeper}, nil
	}
	place, err := g.begin(ctx, k, request, now)
	if err != nil {
		return Place{}, unproven(err)
	}
	if place.permit == nil {
		return place, nil
	}
	fresh, err := g.claims.Claim(ctx, k.tenant, k.service, k.text)
	switch {
	case err != nil:
		// The record is dropped, so that a repeat can claim the key again.
		place.permit.run.Fail(verdict.NotRun, now)
		return Place{}, verdict.New(verdict.MayHaveRun, verdict.ReasonStore, http.StatusServiceUnavailable, err)
	case !fresh:
		place.permit.run.Fail(verdict.MayHaveRun, now)
		return Place{}, verdict.New(verdict.MayHaveRun, verdict.ReasonRepeat, http.StatusBadGateway,
			errors.New("order: an earlier request with this key may have run"))
	}
	place.permit.release = func() { g.claims.Release(k.tenant, k.service, k.text) }
	return place, nil
}

// unproven turns a refusal made before the claim was looked up into MayHaveRun:
// an earlier keeper may have run the key.
func unproven(err error) error {
	e, ok := errors.AsType[*verdict.Error](err)
	if !ok || e.Verdict() != verdict.NotRun {
		return err
	}
	return verdict.New(verdict.MayHaveRun, e.Reason(), e.Status(), err)
}
