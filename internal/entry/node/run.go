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

// idleCheckInterval is how often the pools close idle connections.
const idleCheckInterval = 5 * time.Second

// Run serves until ctx ends, which aborts all requests, or until a graceful
// shutdown has finished. It returns after all goroutines of the node have ended.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.deps.Events.Log(event.Started, "entry", n.settings.Name(), "incarnation", n.incarnation)
	g, ctx := errgroup.WithContext(ctx)
	calls, callsAccepted := n.serve(ctx, g, n.listeners.call, n.gateway())
	n.serve(ctx, g, n.listeners.relay, n.countInFlight(http.HandlerFunc(n.forwarder.ServePeer)))
	n.serve(ctx, g, n.listeners.admin, n.operator)
	g.Go(func() error { return n.gossip.Serve(ctx, n.listeners.peer) })
	g.Go(func() error { return n.gossip.Run(ctx) })
	g.Go(func() error { n.bootstrap(ctx); return nil })
	g.Go(func() error { return ignoreCanceled(n.follower.Run(ctx)) })
	g.Go(func() error { n.pushLoop(ctx); return nil })
	g.Go(func() error { n.tickLoop(ctx); return nil })
	g.Go(func() error { n.pollLoop(ctx); return nil })
	g.Go(func() error { n.vmListLoop(ctx); return nil })
	g.Go(func() error { n.idleLoop(ctx); return nil })
	g.Go(func() error { n.blockLoop(ctx); return nil })
	g.Go(func() error {
		select {
		case <-n.drainDone:
			n.finishCalls(ctx, calls, callsAccepted)
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	err := g.Wait()
	n.targetPool.Close()
	n.entryPool.Close()
	n.transport.CloseIdleConnections()
	n.deps.Events.Log(event.Stopped, "entry", n.settings.Name())
	return err
}

// ignoreCanceled returns nil for context.Canceled and err otherwise.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// lastCallsTimeout bounds the requests that arrive while the listener for callers closes.
const lastCallsTimeout = time.Second

// finishCalls serves, at the end of a planned stop, the callers whose connections are
// established but not accepted or whose requests have just arrived.
func (n *Node) finishCalls(ctx context.Context, server *http.Server, accepted <-chan struct{}) {
	if !n.drained.Load() {
		return
	}
	n.listeners.callBacklog.Stop()
	ctx, cancel := context.WithTimeout(ctx, lastCallsTimeout)
	defer cancel()
	select {
	case <-accepted:
	case <-ctx.Done():
	}
	_ = server.Shutdown(ctx) // The error means that a request takes longer; it is cut as at the stop limit.
}

// serve runs an HTTP server on the listener until ctx ends. It returns the server and a channel
// that is closed when the server accepts no further connection.
func (n *Node) serve(ctx context.Context, g *errgroup.Group, l net.Listener, h http.Handler) (*http.Server, <-chan struct{}) {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute,
		// The handler refuses headers above the limit with a verdict; the server rejects those above twice the limit.
		MaxHeaderBytes: 2 * n.settings.MaxHeaderBytes(),
		BaseContext:    func(net.Listener) context.Context { return ctx },
	}
	accepted := make(chan struct{})
	g.Go(func() error {
		defer close(accepted)
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil || n.drained.Load() && errors.Is(err, net.ErrClosed) {
			return nil
		}
		n.deps.Events.Log(event.ListenerEnded, "address", l.Addr(), "err", err)
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return server, accepted
}

func (n *Node) gateway() http.Handler {
	return gateway.New(gateway.Dependencies{
		Entry: state{n}, Directory: n.lookups, Issuer: n.issuer, Name: n.settings.Name(), LookupTTL: n.settings.LookupTTL(),
		Forward: n.countInFlight(http.HandlerFunc(n.forwarder.ServeCaller)).ServeHTTP,
	})
}

// InFlight returns the number of requests in flight at this entry, relayed ones included.
func (n *Node) InFlight() int64 { return n.inFlight.Load() }

// countInFlight counts the requests in flight, which a graceful shutdown waits for.
func (n *Node) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// pushLoop pushes each new version that this entry has read from the store to peers.
func (n *Node) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pushSignal:
			n.gossip.Push(ctx)
		}
	}
}

func (n *Node) idleLoop(ctx context.Context) {
	every(ctx, idleCheckInterval, func() {
		n.targetPool.CloseIdle()
		n.entryPool.CloseIdle()
	})
}

// every calls f at each interval until ctx ends.
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
