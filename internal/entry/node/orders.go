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

// orders lets the request path run each key once.
type orders struct{ n *Node }

// Begin says where the key runs or what its outcome was.
func (o orders) Begin(ctx context.Context, k forward.IdempotencyKey) (forward.Grant, error) {
	p, err := o.n.registry.Decide(ctx, order.NewKey(k.Tenant, k.Service, k.Value), k.RequestHash, time.Now())
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

// permit is the right to dispatch an order once.
type permit struct{ p *order.Permit }

// Finish records the target's response; of one that is too long only the verdict is kept.
func (p permit) Finish(a forward.RecordedAnswer) {
	if !a.Complete {
		p.p.Finish(nil, time.Now())
		return
	}
	p.p.Finish(order.NewAnswer(a.Status, a.Header, a.Body), time.Now())
}

// Fail records that the dispatch ended without a response.
func (p permit) Fail(v verdict.Verdict) { p.p.Fail(v, time.Now()) }

// homes tells where the home of a key is.
type homes struct{ n *Node }

// EntryForIssuer returns the entry that runs as the incarnation, or one that holds its outcomes.
func (h homes) EntryForIssuer(i ticket.Incarnation) (string, bool) {
	r := h.n.view.Load()
	successors := h.n.gossip.Successors(i)
	if name, ok := r.holders[i]; ok && len(successors) == 0 {
		return name, true
	}
	for _, name := range successors {
		if r.alive[name] {
			return name, true
		}
	}
	return "", false
}

// EntryForKey returns the live entry with the highest rendezvous rank for the key's range.
func (h homes) EntryForKey(tenant, service, text string) (string, bool) {
	name := h.n.view.Load().keepers[claim.RangeOf(tenant, service, text)]
	return name, name != ""
}

// inherit takes over the ticket outcomes of a stopping peer.
func (n *Node) inherit(_ context.Context, _ member.Member, data []byte) error {
	_, err := n.handovers.Add(data, time.Now())
	return err
}

// handover closes the order table, sends its outcomes to other entries of the
// region and announces them as successors.
func (n *Node) handover(ctx context.Context) {
	data, err := n.orders.Export(n.incarnation, n.issuer.LowestValidSerial(time.Now()))
	var successors []string
	if err == nil {
		successors = n.gossip.HandOverTickets(ctx, data)
	}
	if len(successors) == 0 {
		n.d.Events.Log(event.HandoverLost, "entry", n.s.Name(), "err", err)
		return
	}
	n.gossip.SetSuccessors(successors)
	n.d.Events.Log(event.HandedOver, "entry", n.s.Name(), "successors", fmt.Sprint(successors))
}
