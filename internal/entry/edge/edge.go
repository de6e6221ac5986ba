package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/record/traffic"
	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/site/census"
	"tamarackspool/internal/site/mirror"
	"tamarackspool/internal/steer/placement"
	"tamarackspool/internal/steer/spend"
)

// Edge is one entry.
type Edge struct {
	s      Settings
	d      Dependencies
	self   census.Entry
	events *event.Log

	mirror   *mirror.Mirror
	follower *mirror.Follower
	belief   *belief // belief is guarded by believing.
	view     atomic.Pointer[view]
	pool     *upstream.Pool
	server   *inbound.Server
	started  time.Time
	stopping atomic.Bool
	// configured is closed once a configuration is known.
	configured chan struct{}
	refusing   atomic.Bool // refusing is set when requests that arrive are no longer begun.

	believing sync.Mutex

	mu       sync.Mutex
	budgets  map[string]*spend.Budget // budgets is by service.
	draws    atomic.Uint64
	beaten   atomic.Int64 // beaten is the uptime of the last beat, in nanoseconds.
	memory   *placement.Memory
	meters   *meters
	packs    packs
	checks   checks
	coolings coolings
	// peerTraffic counts the bytes between this entry and others, dialPeer opens connections that it counts.
	peerTraffic traffic.Meter
	dialPeer    traffic.Dial
	reader      *peer // reader is the entry that reads the store for this one; the follower's goroutine uses it.

	listeners listeners
}

// listeners are the sockets of an entry.
type listeners struct{ call, ready, directory, peer, metrics net.Listener }

// New returns an entry whose listeners are open, or an error that names the address that cannot be used.
func New(s Settings, d Dependencies) (*Edge, error) {
	e := &Edge{
		s: s, d: d, events: d.Events, mirror: mirror.New(), budgets: make(map[string]*spend.Budget),
		memory: placement.NewMemory(), meters: newMeters(), started: time.Now(), configured: make(chan struct{}),
		self: census.Entry{Name: s.Name, Zone: s.Zone, Region: s.Region, Call: s.Call, Peer: s.Peer, Strength: s.Strength},
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	// Where a port was left to the system, others must know the one that it chose.
	e.self.Call, e.self.Peer = e.listeners.call.Addr().String(), e.listeners.peer.Addr().String()
	e.d.Store = counted{
		d.Store, metrics.NewRegisteredCounter("store.calls", e.meters.registry),
		metrics.NewRegisteredCounter("store.renewals", e.meters.registry),
	}
	e.beaten.Store(int64(d.Uptime()))
	e.dialPeer = e.peerTraffic.Dial(d.Dial)
	e.belief = newBelief(d.Keys, d.Events, e.self, s.Regions, func() bool { return e.follower.Disturbed(lapseTime) })
	e.view.Store(e.belief.view(0, e.started))
	e.pool = upstream.New(d.Dial, e.lost)
	e.server = inbound.New(e, func(err error) { e.events.Log(event.AcceptFailed, "error", err, "connections", e.server.Open()) })
	e.follower = mirror.NewFollower(e.mirror, e.d.Store, (*peers)(e), d.Events, e.changed)
	e.measure()
	return e, nil
}

func (e *Edge) listen() error {
	for _, l := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"call", e.s.Call, &e.listeners.call},
		{"ready", e.s.Ready, &e.listeners.ready},
		{"directory", e.s.Directory, &e.listeners.directory},
		{"peer", e.s.Peer, &e.listeners.peer},
		{"metrics", e.s.Metrics, &e.listeners.metrics},
	} {
		if l.address == "" {
			continue
		}
		opened, err := e.d.Listen("tcp", l.address)
		if err != nil {
			e.listeners.close()
			return fmt.Errorf("edge: --%s: %w", l.name, err)
		}
		*l.to = opened
	}
	return nil
}

// metricsAddress returns where the metrics page is served; empty for nowhere.
func (l *listeners) metricsAddress() string {
	if l.metrics == nil {
		return ""
	}
	return l.metrics.Addr().String()
}

func (l *listeners) close() {
	for _, o := range []net.Listener{l.call, l.ready, l.directory, l.peer, l.metrics} {
		if o != nil {
			_ = o.Close()
		}
	}
}

// changed publishes what the changed items make of the view.
func (e *Edge) changed(items []mirror.Item) {
	e.believing.Lock()
	defer e.believing.Unlock()
	now := time.Now()
	e.belief.apply(items, now)
	v := e.belief.view(e.mirror.Revision(), now)
	first := v.book != nil && e.view.Load().book == nil
	e.view.Store(v)
	if first {
		e.events.Log(event.Serving, "version", v.book.Version(), "revision", v.revision, "after", time.Since(e.started))
		close(e.configured)
	}
}

// sweep publishes a view without the targets that are not back after an outage.
func (e *Edge) sweep(now time.Time) {
	e.believing.Lock()
	defer e.believing.Unlock()
	if e.belief.sweep(now) {
		e.view.Store(e.belief.view(e.mirror.Revision(), now))
	}
}

// Run serves until ctx ends and then stops without cutting a request.
func (e *Edge) Run(ctx context.Context) error {
	e.events.Log(event.Started, "entry", e.s.Name, "zone", e.s.Zone, "region", e.s.Region, "strength", e.s.Strength,
		"call", e.self.Call, "directory", e.listeners.directory.Addr(), "peer", e.self.Peer, "metrics", e.listeners.metricsAddress())
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, _ := errgroup.WithContext(work)
	closePages := e.servePages(g)
	g.Go(func() error { return e.server.Serve(e.listeners.call) })
	g.Go(func() error { return e.servePeers(work) })
	g.Go(func() error { e.follower.Run(work); return nil })
	g.Go(func() error { e.register(work, ctx); return nil })
	g.Go(func() error { e.expire(work); return nil })
	g.Go(func() error { e.beats(work); return nil })
	g.Go(func() error { e.checkTargets(work); return nil })
	<-ctx.Done()
	e.stop(ctx)
	stop()
	closePages()
	e.listeners.close()
	err := g.Wait()
	e.pool.Close()
	e.events.Log(event.Stopped, "entry", e.s.Name)
	return err
}

// pageTimeout bounds the header of a look-up or readiness check.
const pageTimeout = 5 * time.Second

// servePages serves look-ups, the readiness check and the metrics, and returns what ends them.
func (e *Edge) servePages(g *errgroup.Group) (end func()) {
	var servers []*http.Server
	for _, p := range []struct {
		l net.Listener
		h http.Handler
	}{
		{e.listeners.directory, e.d.Pages.Directory(e.near, e.s.LookupTTL)},
		{e.listeners.ready, e.d.Pages.Ready(e.ready)},
		{e.listeners.metrics, e.meters},
	} {
		if p.l == nil {
			continue
		}
		s := &http.Server{Handler: p.h, ReadHeaderTimeout: pageTimeout}
		servers = append(servers, s)
		g.Go(func() error { return serve(s, p.l) })
	}
	return func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

const (
	// leadTime is how long new requests are still taken after the signal to stop: callers that looked up
	// before it use the entry until they look up again.
	leadTime = 2500 * time.Millisecond
	// endMargin is kept free at the end of the grace period for the end of the process.
	endMargin = 300 * time.Millisecond
)

// stop ends the entry's work within the grace period.
func (e *Edge) stop(ctx context.Context) {
	began := time.Now()
	e.events.Log(event.Stopping, "entry", e.s.Name, "connections", e.server.Open())
	e.stopping.Store(true)
	e.server.Drain()
	time.Sleep(min(leadTime, e.s.Grace/2))
	e.refusing.Store(true)
	_ = e.listeners.call.Close()
	limit, cancel := context.WithDeadline(context.WithoutCancel(ctx), began.Add(e.s.Grace-endMargin))
	defer cancel()
	e.server.Close(limit)
	if limit.Err() != nil {
		e.events.Log(event.StopLimit, "entry", e.s.Name, "grace", e.s.Grace)
	}
}

// ready reports whether callers may be sent here.
func (e *Edge) ready() bool { return e.view.Load().book != nil && !e.stopping.Load() }

// spread is the least number of entries that a look-up names when the zone has fewer.
const spread = 2

func (e *Edge) near(region, zone, caller string) []string {
	entries := e.view.Load().entries
	if e.stopping.Load() {
		entries = without(entries, e.s.Name)
	}
	return census.Near(entries, region, zone, caller, spread)
}

func without(entries []census.Entry, name string) []census.Entry {
	var left []census.Entry
	for _, o := range entries {
		if o.Name != name {
			left = append(left, o)
		}
	}
	return left
}

// expireEvery is how often unused connections are looked through and dropped log lines are reported.
const expireEvery = time.Second

func (e *Edge) expire(ctx context.Context) {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	dropped := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			e.pool.Expire(now)
			e.sweep(now)
			if n := e.d.Dropped(); n > dropped {
				e.events.Log(event.LinesDropped, "lines", n-dropped, "since-start", n)
				dropped = n
			}
		}
	}
}

// lost notes that a target closed a connection that was used just before, as one that ends does.
func (e *Edge) lost(address string) {
	now := time.Now()
	for _, b := range e.view.Load().seats {
		for _, s := range b.seats {
			if s.target.Address() == address {
				s.gauge.Broke(now)
				e.events.Log(event.TargetCold, "target", s.target.ID(), "reason", "it closed a connection that was just used", "confirmed", now.Sub(s.confirmed))
			}
		}
	}
}
