package node

import (
	"context"
	"sync"
	"time"

	"tamarackspool/internal/record/event"
)

const (
	// bootstrapTimeout bounds one round of requests to the store and the peers at the start.
	bootstrapTimeout = 2 * time.Second
	// bootstrapPause is the pause before the next round.
	bootstrapPause = 200 * time.Millisecond
)

// bootstrap requests the configuration from the store and the peers until the entry has a version at or above its floor.
func (n *Node) bootstrap(ctx context.Context) {
	isolated := false
	for ctx.Err() == nil {
		reached := n.bootstrapOnce(ctx)
		// The first peer to gossip may hold an older version than the previous incarnation
		// of this entry served, so the entry serves nothing before the floor is known.
		n.bootstrapped.Store(reached || len(n.settings.PeerAddrs()) == 0)
		if n.Ready() {
			n.deps.Events.Log(event.Serving, "entry", n.settings.Name(), "version", n.Version())
			return
		}
		if !reached && !isolated {
			isolated = true
			n.deps.Events.Log(event.Isolated, "entry", n.settings.Name())
		}
		pause(ctx, bootstrapPause)
	}
}

// bootstrapOnce requests the configuration from the store and the peers in parallel and reports whether any of them answered.
func (n *Node) bootstrapOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var storeErr error
	var answered int
	wg.Go(func() { storeErr = n.follower.Refresh(ctx) })
	wg.Go(func() {
		if len(n.settings.PeerAddrs()) > 0 {
			answered = n.gossip.Bootstrap(ctx)
		}
	})
	wg.Wait()
	return storeErr == nil || answered > 0
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
