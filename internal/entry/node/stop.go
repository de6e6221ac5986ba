package node

import (
	"context"
	"time"

	"tamarackspool/internal/record/event"
)

const (
	// inFlightPollInterval is how often a leaving entry checks for requests in flight.
	inFlightPollInterval = 20 * time.Millisecond
	// successorGossipTime is how long a leaving entry keeps running to gossip its successors:
	// several gossip intervals of 200 ms.
	successorGossipTime = time.Second
)

// Drain shuts the entry down gracefully and returns when Run is about to end.
// The entry announces its shutdown, serves until callers' look-ups have
// expired and no request is in flight, and hands over the outcomes of its tickets.
// The stop limit of the settings or the end of ctx ends this early.
func (n *Node) Drain(ctx context.Context) {
	if n.leaving.Swap(true) {
		<-n.drainDone
		return
	}
	defer close(n.drainDone)
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopLimit())
	defer cancel()
	n.deps.Events.Log(event.Stopping, "entry", n.settings.Name(), "flight", n.inFlight.Load())
	n.gossip.AnnounceShutdown()
	pause(ctx, n.settings.LookupTTL())
	n.waitIdle(ctx)
	n.orderTable.Close()
	n.waitIdle(ctx)
	if ctx.Err() != nil {
		n.deps.Events.Log(event.StopLimit, "entry", n.settings.Name(), "flight", n.inFlight.Load())
		return
	}
	n.handOverTickets(ctx)
	pause(ctx, successorGossipTime)
	n.waitIdle(ctx)
	n.drained.Store(ctx.Err() == nil)
}

// waitIdle waits until no request is in flight or ctx ends.
func (n *Node) waitIdle(ctx context.Context) {
	for n.inFlight.Load() > 0 && ctx.Err() == nil {
		pause(ctx, inFlightPollInterval)
	}
}
