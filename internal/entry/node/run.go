package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"tamarackspool/internal/entry/gateway"
	"tamarackspool/internal/record/event"
)

// expiry is how often unused connections are looked at.
const expiry = 5 * time.Second

// Run serves until ctx ends, which cuts everything, or until a graceful
// shutdown has finished. It returns after all goroutines of the node have ended.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.d.Events.Log(event.Started, "entry", n.s.Name(), "incarnation", n.incarnation)
	g, ctx := errgroup.WithContext(ctx)
	n.serve(ctx, g, n.listeners.call, n.gateway())
	n.serve(ctx, g, n.listeners.pass, n.counted(http.HandlerFunc(n.forward.ServePeer)))
	n.serve(ctx, g, n.listeners.admin, n.operator)
	g.Go(func() error { return n.gossip.Serve(ctx, n.listeners.peer) })
	g.Go(func() error { return n.gossip.Run(ctx) })
	g.Go(func() error { n.start(ctx); return nil })
	g.Go(func() error { return ended(n.follower.Run(ctx)) })
	g.Go(func() error { n.pushing(ctx); return nil })
	g.Go(func() error { n.ticking(ctx); return nil })
	g.Go(func() error { n.polling(ctx); return nil })
	g.Go(func() error { n.reading(ctx); return nil })
	g.Go(func() error { n.expiring(ctx); return nil })
	g.Go(func() error { n.locating(ctx); return nil })
	g.Go(func() error {
		select {
		case <-n.drained:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	err := g.Wait()
	n.targets.Close()
	n.entries.Close()
	n.transport.CloseIdleConnections()
	n.d.Events.Log(event.Stopped, "entry", n.s.Name())
	return err
}

// ended turns the end of a context into success.
func ended(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve runs an HTTP server on the listener until ctx ends.
func (n *Node) serve(ctx context.Context, g *errgroup.Group, l net.Listener, h http.Handler) {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute,
		// The handler refuses with a verdict above the limit; the server cuts what is far beyond it.
		MaxHeaderBytes: 2 * n.s.Header(),
		BaseContext:    func(net.Listener) context.Context { return ctx },
	}
	g.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
			return nil
		}
		n.d.Events.Log(event.ListenerEnded, "address", l.Addr(), "err", err)
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}

func (n *Node) gateway() http.Handler {
	return gateway.New(gateway.Dependencies{
		Entry: state{n}, Directory: n.lookups, Issuer: n.issuer, Name: n.s.Name(), LookupTTL: n.s.TTL(),
		Forward: n.counted(http.HandlerFunc(n.forward.ServeCaller)).ServeHTTP,
	})
}

// Flight returns the number of requests in flight at this entry, relayed ones included.
func (n *Node) Flight() int64 { return n.flight.Load() }

// counted counts the requests in flight, which a graceful shutdown waits for.
func (n *Node) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.flight.Add(1)
		defer n.flight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// pushing tells peers of each new version that this entry read from the store.
func (n *Node) pushing(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.push:
			n.gossip.Push(ctx)
		}
	}
}

func (n *Node) expiring(ctx context.Context) {
	every(ctx, expiry, func() {
		n.targets.CloseIdle()
		n.entries.CloseIdle()
	})
}

// every calls f at the interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
