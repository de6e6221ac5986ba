package node

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"tamarackspool/internal/entry/queue"
	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/steer/decision"
)

// chooser lets the request path take slots of the newest snapshot.
type chooser struct{ n *Node }

// Choose takes a slot and waits for one for a short time when none is free.
func (c chooser) Choose(ctx context.Context, r forward.Request, draw uint64) (forward.Choice, error) {
	q := decision.Request{
		Service: r.Service, Home: r.HomeRegion, Hops: r.Hops, Avoid: r.Avoid, Deadline: r.Deadline, Relayed: r.LocalOnly,
	}
	var taken decision.Choice
	var err error
	try := func() bool {
		s := c.n.snapshot.Load()
		if s == nil {
			err = verdict.NewError(verdict.NotRun, verdict.ReasonIsolated, 503, errors.New("node: no decision yet"))
			return true
		}
		q.Now = time.Now()
		taken, err = s.Choose(q, draw)
		return err == nil || !full(err)
	}
	if !try() {
		patience, priority := c.bounds(r)
		c.n.waiting.Wait(ctx, queue.Rank{Priority: priority, Deadline: r.Deadline}, patience, try)
	}
	if err != nil {
		return nil, err
	}
	return &choice{Choice: taken, waiting: c.n.waiting}, nil
}

// bounds returns how long a request of the service may wait and its priority.
func (c chooser) bounds(r forward.Request) (time.Duration, int) {
	s := c.n.snapshot.Load()
	patience := s.MaxWait(r.Service)
	if !r.Deadline.IsZero() {
		patience = min(patience, time.Until(r.Deadline)/2)
	}
	if d := c.n.current.Document(); d != nil {
		if sv, ok := d.Service(r.Service); ok {
			return patience, sv.Priority()
		}
	}
	return patience, 0
}

// full reports whether the refusal can end within a short wait.
func full(err error) bool {
	e, ok := errors.AsType[*verdict.Error](err)
	return ok && (e.Reason() == verdict.ReasonNoCapacity || e.Reason() == verdict.ReasonRegionLimit)
}

// choice gives its slot to a waiting request when it is done.
type choice struct {
	decision.Choice
	waiting *queue.Queue
}

// Done gives the slot back and records the outcome.
func (c *choice) Done(r forward.Result) {
	c.Choice.Release(decision.Result{
		Kind: kindOf(r.Outcome), Latency: r.Latency, In: r.BytesIn, Out: r.BytesOut, Unopened: r.ConnectFailed,
		FreeKnown: r.FreeKnown, Free: r.FreeSlots,
	})
	c.waiting.Wake()
}

func kindOf(k forward.Outcome) decision.Kind {
	switch k {
	case forward.Answered:
		return decision.Answered
	case forward.Shed:
		return decision.Shed
	case forward.Cancelled:
		return decision.Cancelled
	case forward.Silent:
		return decision.Silent
	default:
		return decision.Failed
	}
}

// peers knows where other entries take relayed requests.
type peers struct{ n *Node }

// RelayAddress returns the address and whether the entry is known and not dead.
func (p peers) RelayAddress(entry string) (netip.AddrPort, bool) {
	at, ok := p.n.view.Load().pass[entry]
	return at, ok
}

// free returns the free slots of a service here, which answers to relayed requests carry.
func (n *Node) free(service string) (int, bool) {
	s := n.snapshot.Load()
	if s == nil {
		return 0, false
	}
	r, ok := s.Capacity(service)
	return r.Free, ok
}

// links finds the buckets of the newest snapshot.
type links struct{ n *Node }

// Link returns the pacer of the link to the region, or nil when there is none.
func (l links) Link(region string) forward.Pacer {
	s := l.n.snapshot.Load()
	if s == nil {
		return nil
	}
	b := s.Link(region)
	if b == nil {
		return nil
	}
	return pacer{b}
}

// pacer charges bytes to a bucket.
type pacer struct{ b *decision.Bucket }

// WaitOut waits until n bytes may be sent.
func (p pacer) WaitOut(ctx context.Context, n int) error { return p.b.WaitSent(ctx, int64(n)) }

// WaitIn waits until n more bytes may be received.
func (p pacer) WaitIn(ctx context.Context, n int) error { return p.b.WaitReceived(ctx, int64(n)) }
