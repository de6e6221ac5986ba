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

// Fleet finds the entry that is responsible for a key.
type Fleet interface {
	// EntryForIssuer returns the entry that runs as the incarnation, or an entry that received its handover.
	EntryForIssuer(ticket.Incarnation) (entry string, ok bool)
	// EntryForKey returns the entry that owns the range of a caller-chosen key in the log of claims.
	EntryForKey(tenant, service, text string) (entry string, ok bool)
}

// Claims records caller-chosen keys in the key-value service before their requests are dispatched.
type Claims interface {
	// Claim reports whether this process, and no other, may dispatch the request of the key; false means
	// that the request may have run. An error means that the claim could not be stored and proves nothing
	// about earlier requests.
	Claim(ctx context.Context, tenant, service, text string) (bool, error)
	// Release makes a claimed key claimable again; the caller must have proof that its request has not run.
	Release(tenant, service, text string)
}

// Registry decides for each request with an idempotency key whether this entry dispatches it, relays it
// to another entry or responds with the recorded answer.
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

// Decision states what to do with a request: relay it, respond with the recorded answer, or
// dispatch it and report the outcome to the permit.
type Decision struct {
	relay  string
	answer *Answer
	permit *Permit
}

// RelayEntry returns the entry that must handle the request, or an empty string.
func (d Decision) RelayEntry() string { return d.relay }

// Answer returns the recorded answer, or nil.
func (d Decision) Answer() *Answer { return d.answer }

// Permit returns the right to dispatch the request here, or nil.
func (d Decision) Permit() *Permit { return d.permit }

// Permit is the right to dispatch the request of a key once; the holder must call exactly one of Finish and Fail.
type Permit struct {
	run     *Run
	release func()
}

// Finish records the complete response of the target; for a nil answer only the verdict Ran is recorded.
func (p *Permit) Finish(a *Answer, now time.Time) { p.run.Finish(a, now) }

// Fail records that the dispatch ended without a complete response; after NotRun the request may be dispatched again.
func (p *Permit) Fail(v verdict.Verdict, now time.Time) {
	// The claim is released first, because a waiting repeat claims the key again
	// as soon as the table has dropped its record.
	if v == verdict.NotRun && p.release != nil {
		p.release()
	}
	p.run.Fail(v, now)
}

// Decide returns the decision about a request with an idempotency key; request is a hash of its method and path.
// Any error is a *verdict.Error.
func (g *Registry) Decide(ctx context.Context, k Key, request uint64, now time.Time) (Decision, error) {
	if ticket.IsTicket(k.text) {
		return g.decideTicket(ctx, k, request, now)
	}
	if err := checkKeyText(k.text); err != nil {
		return Decision{}, err
	}
	return g.decideCallerKey(ctx, k, request, now)
}

func checkKeyText(text string) error {
	if len(text) == 0 || len(text) > maxKeyLength {
		return verdict.NewError(verdict.NotRun, verdict.ReasonBadInput, http.StatusBadRequest,
			fmt.Errorf("order: Idempotency-Key has %d characters, want 1 to %d", len(text), maxKeyLength))
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return verdict.NewError(verdict.NotRun, verdict.ReasonBadInput, http.StatusBadRequest,
				errors.New("order: Idempotency-Key contains a character that is not visible ASCII"))
		}
	}
	return nil
}

func (g *Registry) decideTicket(ctx context.Context, k Key, request uint64, now time.Time) (Decision, error) {
	tk, err := g.keys.Parse(k.text, k.tenant, k.service)
	if err != nil {
		return Decision{}, verdict.NewError(verdict.NotRun, verdict.ReasonBadInput, http.StatusForbidden, err)
	}
	if tk.Issuer() == g.issuer.Incarnation() {
		return g.decideOwnTicket(ctx, tk, k, request, now)
	}
	if answer, ok, err := g.handovers.Lookup(tk, k, request, now); ok {
		return Decision{answer: answer}, err
	}
	entry, ok := g.fleet.EntryForIssuer(tk.Issuer())
	if !ok || entry == g.name {
		return Decision{}, issuerGoneError()
	}
	return Decision{relay: entry}, nil
}

func (g *Registry) decideOwnTicket(ctx context.Context, tk ticket.Ticket, k Key, request uint64, now time.Time) (Decision, error) {
	if tk.Serial() >= g.issuer.LowestValidSerial(now) {
		decision, err := g.beginRun(ctx, k, request, now)
		if !g.isStaleDecision(tk, decision, err) {
			return decision, err
		}
		if decision.permit != nil {
			decision.permit.run.Fail(verdict.NotRun, now)
		}
		return Decision{}, ticketExpiredError()
	}
	answer, ok, err := g.table.Lookup(ctx, k, request)
	if !ok {
		return Decision{}, ticketExpiredError()
	}
	return Decision{answer: answer}, err
}

// isStaleDecision reports whether a decision is unsafe because the ticket had no record and
// the request read the clock too long ago, for example before its process was paused. Another
// request may have dropped the record of the ticket since then.
func (g *Registry) isStaleDecision(tk ticket.Ticket, decision Decision, err error) bool {
	noRecord := decision.permit != nil || err != nil && verdict.Of(err) == verdict.NotRun
	return noRecord && tk.Serial() < g.issuer.LowestValidSerial(g.table.latestBeginTime())
}

func ticketExpiredError() error {
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonIssuerGone, http.StatusBadGateway,
		fmt.Errorf("order: the ticket is older than %v; the request may have run and will not run again", TicketValidity))
}

func (g *Registry) beginRun(ctx context.Context, k Key, request uint64, now time.Time) (Decision, error) {
	run, answer, err := g.table.Begin(ctx, k, request, now)
	if err != nil || run == nil {
		return Decision{answer: answer}, err
	}
	return Decision{permit: &Permit{run: run}}, nil
}

// decideCallerKey begins the key in the table before it claims the key, so that of two
// concurrent requests one claims the key and the other waits for the answer to the first.
func (g *Registry) decideCallerKey(ctx context.Context, k Key, request uint64, now time.Time) (Decision, error) {
	owner, ok := g.fleet.EntryForKey(k.tenant, k.service, k.text)
	if !ok {
		return Decision{}, verdict.NewError(verdict.MayHaveRun, verdict.ReasonIsolated, http.StatusBadGateway,
			errors.New("order: no entry owns the range of this key; retry later with the same key"))
	}
	if owner != g.name {
		return Decision{relay: owner}, nil
	}
	decision, err := g.beginRun(ctx, k, request, now)
	if err != nil {
		return Decision{}, withdrawNotRun(err)
	}
	if decision.permit == nil {
		return decision, nil
	}
	fresh, err := g.claims.Claim(ctx, k.tenant, k.service, k.text)
	switch {
	case err != nil:
		// Fail with NotRun drops the record, so that a repeat can claim the key again.
		decision.permit.run.Fail(verdict.NotRun, now)
		return Decision{}, verdict.NewError(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, http.StatusServiceUnavailable, err)
	case !fresh:
		decision.permit.run.Fail(verdict.MayHaveRun, now)
		return Decision{}, verdict.NewError(verdict.MayHaveRun, verdict.ReasonRepeat, http.StatusBadGateway,
			errors.New("order: an earlier request with this key may have run"))
	}
	decision.permit.release = func() { g.claims.Release(k.tenant, k.service, k.text) }
	return decision, nil
}

// withdrawNotRun changes the verdict NotRun of a refusal to MayHaveRun. The refusal was made
// before the claim was read, and an earlier owner of the range may have dispatched the request.
func withdrawNotRun(err error) error {
	e, ok := errors.AsType[*verdict.Error](err)
	if !ok || e.Verdict() != verdict.NotRun {
		return err
	}
	return verdict.NewError(verdict.MayHaveRun, e.Reason(), e.Status(), err)
}
