package node

import (
	"context"
	"fmt"
	"time"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/claim"
	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/request/verdict"
)

// deduplicator makes the request path run each idempotency key at most once.
type deduplicator struct{ n *Node }

// Begin returns the owner of the key, the recorded answer, or a permit to dispatch the order.
func (d deduplicator) Begin(ctx context.Context, k forward.IdempotencyKey) (forward.Grant, error) {
	p, err := d.n.orderRegistry.Decide(ctx, order.NewKey(k.Tenant, k.Service, k.Value), k.RequestHash, time.Now())
	switch {
	case err != nil:
		return forward.Grant{}, err
	case p.RelayEntry() != "":
		return forward.Grant{KeyOwner: p.RelayEntry()}, nil
	case p.Answer() != nil:
		a := p.Answer()
		return forward.Grant{Answer: &forward.RecordedAnswer{Status: a.Status(), Header: a.Header(), Body: a.Body(), Complete: true}}, nil
	default:
		return forward.Grant{Permit: permit{p.Permit()}}, nil
	}
}

// permit allows one dispatch of an order.
type permit struct{ p *order.Permit }

// Finish records the target's response; if it was too long to record, only the verdict is recorded.
func (p permit) Finish(a forward.RecordedAnswer) {
	if !a.Complete {
		p.p.Finish(nil, time.Now())
		return
	}
	p.p.Finish(order.NewAnswer(a.Status, a.Header, a.Body), time.Now())
}

// Fail records that the dispatch ended without a response.
func (p permit) Fail(v verdict.Verdict) { p.p.Fail(v, time.Now()) }

// ownerLookup finds the entry that owns an idempotency key.
type ownerLookup struct{ n *Node }

// EntryForIssuer returns the entry that runs as the incarnation, or a live successor that holds its ticket outcomes.
func (l ownerLookup) EntryForIssuer(i ticket.Incarnation) (string, bool) {
	v := l.n.view.Load()
	successors := l.n.gossip.Successors(i)
	if name, ok := v.byIncarnation[i]; ok && len(successors) == 0 {
		return name, true
	}
	for _, name := range successors {
		if v.alive[name] {
			return name, true
		}
	}
	return "", false
}

// EntryForKey returns the live entry with the highest rendezvous rank for the key's range.
func (l ownerLookup) EntryForKey(tenant, service, text string) (string, bool) {
	name := l.n.view.Load().keyOwners[claim.RangeOf(tenant, service, text)]
	return name, name != ""
}

// acceptTickets stores the ticket outcomes that a stopping peer hands over.
func (n *Node) acceptTickets(_ context.Context, _ member.Member, data []byte) error {
	_, err := n.handovers.Add(data, time.Now())
	return err
}

// handOverTickets exports the outcomes of the order table, sends them to other entries of the
// region and announces those entries as successors.
func (n *Node) handOverTickets(ctx context.Context) {
	data, err := n.orderTable.Export(n.incarnation, n.issuer.LowestValidSerial(time.Now()))
	var successors []string
	if err == nil {
		successors = n.gossip.HandOverTickets(ctx, data)
	}
	if len(successors) == 0 {
		n.deps.Events.Log(event.HandoverLost, "entry", n.settings.Name(), "err", err)
		return
	}
	n.gossip.SetSuccessors(successors)
	n.deps.Events.Log(event.HandedOver, "entry", n.settings.Name(), "successors", fmt.Sprint(successors))
}
