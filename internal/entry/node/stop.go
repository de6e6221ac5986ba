package node

import (
	"context"
	"time"

	"tamarackspool/internal/record/event"
)

const (
	// quietCheck is how often a leaving entry looks for requests in flight.
	quietCheck = 20 * time.Millisecond
	// spread is how long a leaving entry stays to gossip its successors, several
	// exchanges of 200 ms.
	spread = time.Second
)

// Drain shuts the entry down gracefully and returns when Run is about to end.
// The entry announces that it leaves, serves until callers' look-ups have
// expired and no request is in flight, and hands over its tickets' outcomes.
// The stop limit of the settings or the end of ctx cuts this short.
func (n *Node) Drain(ctx context.Context) {
	if n.leaving.Swap(true) {
		<-n.drained
		return
	}
	defer close(n.drained)
	ctx, cancel := context.WithTimeout(ctx, n.s.Stop())
	defer cancel()
	n.d.Events.Log(event.Stopping, "entry", n.s.Name(), "flight", n.flight.Load())
	n.gossip.AnnounceShutdown()
	pause(ctx, n.s.TTL())
	n.quiet(ctx)
	n.orders.Close()
	n.quiet(ctx)
	if ctx.Err() != nil {
		n.d.Events.Log(event.StopLimit, "entry", n.s.Name(), "flight", n.flight.Load())
		return
	}
	n.handover(ctx)
	pause(ctx, spread)
	n.quiet(ctx)
}

// quiet waits until no request is in flight.
func (n *Node) quiet(ctx context.Context) {
	for n.flight.Load() > 0 && ctx.Err() == nil {
		pause(ctx, quietCheck)
	}
}
