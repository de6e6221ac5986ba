package node

import (
	"context"
	"sync"
	"time"

	"tamarackspool/internal/record/event"
)

const (
	// askTime bounds one round of questions to the store and the peers at the start.
	askTime = 2 * time.Second
	// askAgain is the pause before the next round.
	askAgain = 200 * time.Millisecond
)

// start asks the store and the peers for the configuration until the entry has one at or above its floor.
func (n *Node) start(ctx context.Context) {
	isolated := false
	for ctx.Err() == nil {
		reached := n.ask(ctx)
		// A peer that gossips first may hold an older version than this entry's
		// predecessor served, so nothing is served before the floor is known.
		n.asked.Store(reached || len(n.s.Peers()) == 0)
		if n.Ready() {
			n.d.Events.Log(event.Serving, "entry", n.s.Name(), "version", n.Version())
			return
		}
		if !reached && !isolated {
			isolated = true
			n.d.Events.Log(event.Isolated, "entry", n.s.Name())
		}
		pause(ctx, askAgain)
	}
}

// ask asks the store and the peers at the same time and reports whether any of them answered.
func (n *Node) ask(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var wg sync.WaitGroup
	var stored error
	var answered int
	wg.Go(func() { stored = n.follower.Refresh(ctx) })
	wg.Go(func() {
		if len(n.s.Peers()) > 0 {
			answered = n.gossip.Bootstrap(ctx)
		}
	})
	wg.Wait()
	return stored == nil || answered > 0
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
