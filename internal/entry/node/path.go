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

// chooser acquires target slots from the newest snapshot for the request path.
type chooser struct{ n *Node }

// Choose acquires a slot, waiting a limited time if none is free.
func (c chooser) Choose(ctx context.Context, r forward.Request, draw uint64) (forward.Choice, error) {
	q := decision.Request{
		Service: r.Service, Home: r.HomeRegion, Hops: r.Hops, Avoid: r.Avoid, Deadline: r.Deadline, Relayed: r.LocalOnly,
	}
	var selected decision.Choice
	var err error
	try := func() bool {
		s := c.n.snapshot.Load()
		if s == nil {
			err = verdict.NewError(verdict.NotRun, verdict.ReasonIsolated, 503, errors.New("node: no decision yet"))
			return true
		}
		q.Now = time.Now()
		selected, err = s.Choose(q, draw)
		return err == nil || !isCapacityError(err)
	}
	if !try() {
		maxWait, priority := c.waitLimit(r)
		c.n.waitQueue.Wait(ctx, queue.Rank{Priority: priority, Deadline: r.Deadline}, maxWait, try)
	}
	if err != nil {
		return nil, err
	}
	return &choice{Choice: selected, waitQueue: c.n.waitQueue}, nil
}

// waitLimit returns how long a request of the service may wait for a slot, and its priority.
func (c chooser) waitLimit(r forward.Request) (time.Duration, int) {
	s := c.n.snapshot.Load()
	maxWait := s.MaxWait(r.Service)
	if !r.Deadline.IsZero() {
		maxWait = min(maxWait, time.Until(r.Deadline)/2)
	}
	if d := c.n.current.Document(); d != nil {
		if sv, ok := d.Service(r.Service); ok {
			return maxWait, sv.Priority()
		}
	}
	return maxWait, 0
}

// isCapacityError reports whether the refusal is due to a lack of capacity, which can end within a short wait.
func isCapacityError(err error) bool {
	e, ok := errors.AsType[*verdict.Error](err)
	return ok && (e.Reason() == verdict.ReasonNoCapacity || e.Reason() == verdict.ReasonRegionLimit)
}

// choice is an acquired slot that wakes a waiting request when it is released.
type choice struct {
	decision.Choice
	waitQueue *queue.Queue
}

// Done releases the slot and records the outcome.
func (c *choice) Done(r forward.Result) {
	c.Choice.Release(decision.Result{
		Kind: kindOf(r.Outcome), Latency: r.Latency, In: r.BytesIn, Out: r.BytesOut, Unopened: r.ConnectFailed,
		FreeKnown: r.FreeKnown, Free: r.FreeSlots,
	})
	c.waitQueue.Wake()
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

// peers finds the relay addresses of other entries.
type peers struct{ n *Node }

// RelayAddress returns the relay address of the entry, and false if the entry is unknown or dead.
func (p peers) RelayAddress(entry string) (netip.AddrPort, bool) {
	at, ok := p.n.view.Load().relayAddrs[entry]
	return at, ok
}

// serviceFreeSlots returns the free slots of a service at this entry, which answers to relayed requests carry.
func (n *Node) serviceFreeSlots(service string) (int, bool) {
	s := n.snapshot.Load()
	if s == nil {
		return 0, false
	}
	r, ok := s.Capacity(service)
	return r.Free, ok
}

// links finds the token buckets of links in the newest snapshot.
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

// pacer takes bytes from a token bucket.
type pacer struct{ b *decision.Bucket }

// WaitOut waits until n bytes may be sent.
func (p pacer) WaitOut(ctx context.Context, n int) error { return p.b.WaitSent(ctx, int64(n)) }

// WaitIn waits until n more bytes may be received.
func (p pacer) WaitIn(ctx context.Context, n int) error { return p.b.WaitReceived(ctx, int64(n)) }
