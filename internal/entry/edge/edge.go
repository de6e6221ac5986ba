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
	"tamarackspool/internal/request/backlog"
	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/site/census"
	"tamarackspool/internal/site/mirror"
	"tamarackspool/internal/steer/placement"
	"tamarackspool/internal/steer/spend"
)

// Edge is one entry: a proxy process that callers send their requests to.
type Edge struct {
	settings Settings
	deps     Dependencies
	self     census.Entry
	events   *event.Log

	mirror   *mirror.Mirror
	follower *mirror.Follower
	builder  *viewBuilder // builder is guarded by builderMu.
	view     atomic.Pointer[view]
	pool     *upstream.Pool
	server   *inbound.Server
	started  time.Time
	stopping atomic.Bool
	// configured is closed when the first configuration has been applied.
	configured  chan struct{}
	renewNow    chan struct{}     // renewNow has an element when the entry is to register again at once.
	callBacklog *backlog.Listener // callBacklog accepts from the listener for callers.
	accepted    chan struct{}     // accepted is closed when no further caller's connection is accepted.
	refusing    atomic.Bool       // refusing is set when new requests are refused during the graceful shutdown.

	builderMu sync.Mutex

	mu            sync.Mutex
	retryBudgets  map[string]*spend.Budget // retryBudgets is keyed by service.
	admission     *admissionControl
	hedges        *hedges
	splitSequence atomic.Uint64
	paceFrom      atomic.Int64 // paceFrom is the uptime from which this entry may pace cold targets, in nanoseconds.
	lastTick      atomic.Int64 // lastTick is the uptime at the last watchdog tick, in nanoseconds.
	affinity      *placement.Memory
	meters        *meters
	peerAnswers   answerCache
	healthChecks  healthChecks
	zoneCoolings  zoneCoolings
	keyChecks     keyChecks
	quotas        *quotas
	// peerTraffic counts the bytes exchanged with other entries; dialPeer opens connections whose bytes it counts.
	peerTraffic traffic.Meter
	dialPeer    traffic.DialFunc
	readerPeer  *peer // readerPeer is the entry that reads the store for this one; only the follower's goroutine uses it.

	listeners listeners
}

// listeners are the listening sockets of an entry; nil for an address that is not set.
type listeners struct{ call, ready, directory, peer, metrics net.Listener }

// New returns an entry whose listeners are open, or an error that names the flag of the address that it cannot listen on.
func New(s Settings, d Dependencies) (*Edge, error) {
	e := &Edge{
		settings: s, deps: d, events: d.Events, mirror: mirror.New(), retryBudgets: make(map[string]*spend.Budget),
		affinity: placement.NewMemory(), meters: newMeters(), started: time.Now(), configured: make(chan struct{}), renewNow: make(chan struct{}, 1), accepted: make(chan struct{}),
		self: census.Entry{Name: s.Name, Zone: s.Zone, Region: s.Region, Call: s.CallAddress, Peer: s.PeerAddress, Strength: s.Strength},
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.callBacklog = backlog.New(e.listeners.call)
	e.admission = newAdmissionControl(s.RetryBudget, s.OverloadShare, e.meters.registry)
	e.hedges = newHedges(s.HedgeShare, e.meters.registry)
	// With port 0 the system chooses the port; the registration must name the chosen one.
	e.self.Call, e.self.Peer = e.listeners.call.Addr().String(), e.listeners.peer.Addr().String()
	e.deps.Store = countingStore{
		d.Store, metrics.NewRegisteredCounter("store.calls", e.meters.registry),
		metrics.NewRegisteredCounter("store.renewals", e.meters.registry),
		metrics.NewRegisteredCounter("store.invalid-heads", e.meters.registry),
	}
	e.lastTick.Store(int64(d.Uptime()))
	e.dialPeer = e.peerTraffic.WrapDial(d.Dial)
	e.builder = newViewBuilder(d.Keys, d.Events, e.self, s.RegionCount, func() bool { return e.follower.RecentOutage(lapseWindow) })
	e.builder.uptime = d.Uptime
	e.builder.confirmed = func() time.Duration { return d.Uptime() - e.follower.ConfirmedAge() }
	e.view.Store(e.builder.buildView(0, e.started))
	e.pool = upstream.New(d.Dial, e.noteClosedConnection)
	e.pool.LimitHeldBytes(s.MemoryLimit / answerMemoryDivisor)
	e.server = inbound.New(e, func(err error) {
		e.events.Log(event.AcceptFailed, "error", err, "connections", e.server.OpenConnections())
	})
	e.follower = mirror.NewFollower(e.mirror, e.deps.Store, (*peerSelector)(e), d.Events, d.Uptime, e.applyChanges)
	e.registerGauges()
	e.initKeyChecks()
	e.initQuotas()
	return e, nil
}

func (e *Edge) listen() error {
	for _, l := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"call", e.settings.CallAddress, &e.listeners.call},
		{"ready", e.settings.ReadyAddress, &e.listeners.ready},
		{"directory", e.settings.DirectoryAddress, &e.listeners.directory},
		{"peer", e.settings.PeerAddress, &e.listeners.peer},
		{"metrics", e.settings.MetricsAddress, &e.listeners.metrics},
	} {
		if l.address == "" {
			continue
		}
		opened, err := e.deps.Listen("tcp", l.address)
		if err != nil {
			e.listeners.closeAll()
			return fmt.Errorf("edge: --%s: %w", l.name, err)
		}
		*l.to = opened
	}
	return nil
}

// metricsAddress returns the address of the metrics page; empty if it is not served.
func (l *listeners) metricsAddress() string {
	if l.metrics == nil {
		return ""
	}
	return l.metrics.Addr().String()
}

func (l *listeners) closeAll() {
	for _, o := range []net.Listener{l.call, l.ready, l.directory, l.peer, l.metrics} {
		if o != nil {
			_ = o.Close()
		}
	}
}

// applyChanges applies the changed items and publishes the resulting view.
func (e *Edge) applyChanges(items []mirror.Item) {
	e.builderMu.Lock()
	defer e.builderMu.Unlock()
	now := time.Now()
	at, previous := e.mirror.Position(), e.builder.hold.era
	e.builder.enterEra(at.Era, now)
	e.builder.apply(items, now)
	e.builder.leaveFirstRead(previous, at.Revision)
	v := e.builder.buildView(at.Revision, now)
	first := v.book != nil && e.view.Load().book == nil
	e.view.Store(v)
	e.renewAfterLoss(now)
	e.requireConfirmation(v)
	if first {
		e.events.Log(event.Serving, "version", v.book.Version(), "revision", v.revision, "after", time.Since(e.started))
		close(e.configured)
	}
}

// removeLapsed publishes a view without the targets that have not registered again in time after an outage, and with
// what was kept back after a restoration of the store.
func (e *Edge) removeLapsed(now time.Time) {
	e.builderMu.Lock()
	defer e.builderMu.Unlock()
	lapsed := e.builder.removeLapsed(now)
	if e.builder.releaseHeld(now) || lapsed {
		e.view.Store(e.builder.buildView(e.mirror.Revision(), now))
	}
}

// Run serves until ctx ends, then shuts down gracefully: requests in flight may complete within the grace period.
func (e *Edge) Run(ctx context.Context) error {
	e.events.Log(event.Started, "entry", e.settings.Name, "zone", e.settings.Zone, "region", e.settings.Region, "strength", e.settings.Strength,
		"call", e.self.Call, "directory", e.listeners.directory.Addr(), "peer", e.self.Peer, "metrics", e.listeners.metricsAddress())
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, _ := errgroup.WithContext(work)
	closePages := e.servePages(g)
	g.Go(func() error {
		defer close(e.accepted)
		return e.server.Serve(e.callBacklog)
	})
	g.Go(func() error { return e.servePeers(work) })
	g.Go(func() error { e.follower.Run(work); return nil })
	g.Go(func() error { e.keepRegistered(work, ctx); return nil })
	g.Go(func() error { e.runExpiry(work); return nil })
	g.Go(func() error { e.runWatchdog(work); return nil })
	g.Go(func() error { e.runHealthChecks(work); return nil })
	<-ctx.Done()
	e.stop(ctx)
	stop()
	closePages()
	e.quotas.links.close()
	e.listeners.closeAll()
	err := g.Wait()
	e.pool.Close()
	e.events.Log(event.Stopped, "entry", e.settings.Name)
	return err
}

// pageTimeout bounds the reading of the request header of a lookup, readiness check or metrics request.
const pageTimeout = 5 * time.Second

// servePages serves lookups, the readiness check and the metrics, and returns a function that closes their servers.
func (e *Edge) servePages(g *errgroup.Group) (closeServers func()) {
	var servers []*http.Server
	for _, p := range []struct {
		l net.Listener
		h http.Handler
	}{
		{e.listeners.directory, e.deps.Pages.Directory(e.nearestEntries, e.settings.LookupTTL)},
		{e.listeners.ready, e.deps.Pages.Ready(e.ready)},
		{e.listeners.metrics, e.meters},
	} {
		if p.l == nil {
			continue
		}
		s := &http.Server{Handler: p.h, ReadHeaderTimeout: pageTimeout}
		servers = append(servers, s)
		g.Go(func() error { return servePage(s, p.l) })
	}
	return func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
}

func servePage(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

const (
	// stopLeadTime is how long new requests are still accepted after the signal to stop: callers with an
	// earlier lookup use the entry until they look up again.
	stopLeadTime = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 300 * time.Millisecond
)

// stop shuts the entry down gracefully within the grace period.
func (e *Edge) stop(ctx context.Context) {
	began := time.Now()
	e.events.Log(event.Stopping, "entry", e.settings.Name, "connections", e.server.OpenConnections())
	e.stopping.Store(true)
	e.server.Drain()
	time.Sleep(min(stopLeadTime, e.settings.GracePeriod/2))
	e.refusing.Store(true)
	e.callBacklog.Stop()
	<-e.accepted
	_ = e.listeners.call.Close()
	limit, cancel := context.WithDeadline(context.WithoutCancel(ctx), began.Add(e.settings.GracePeriod-exitMargin))
	defer cancel()
	e.server.Close(limit)
	if limit.Err() != nil {
		e.events.Log(event.StopLimit, "entry", e.settings.Name, "grace", e.settings.GracePeriod)
	}
}

// ready reports whether the entry passes the readiness check, so that callers may be sent to it.
func (e *Edge) ready() bool { return e.view.Load().book != nil && !e.stopping.Load() }

// minLookupEntries is the number of entries in the caller's zone below which a lookup names entries of the whole region.
const minLookupEntries = 2

func (e *Edge) nearestEntries(region, zone, caller string) []string {
	entries := e.view.Load().entries
	if e.stopping.Load() || e.keysStale() && len(entries) > 1 {
		entries = withoutEntry(entries, e.settings.Name)
	}
	return census.NearestAddresses(entries, region, zone, caller, minLookupEntries)
}

func withoutEntry(entries []census.Entry, name string) []census.Entry {
	var remaining []census.Entry
	for _, o := range entries {
		if o.Name != name {
			remaining = append(remaining, o)
		}
	}
	return remaining
}

// expiryInterval is the time between checks for idle connections, lapsed targets and dropped log lines.
const expiryInterval = time.Second

func (e *Edge) runExpiry(ctx context.Context) {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	dropped := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			e.pool.CloseExpired(now)
			e.removeLapsed(now)
			e.logEndedPauses(now)
			e.keysStale()
			if n := e.deps.Dropped(); n > dropped {
				e.events.Log(event.LinesDropped, "lines", n-dropped, "since-start", n)
				dropped = n
			}
		}
	}
}

// noteClosedConnection marks a target as possibly restarted: it closed a connection that was used
// just before, as a terminating target does.
func (e *Edge) noteClosedConnection(address string) {
	now := time.Now()
	for _, b := range e.view.Load().services {
		for _, s := range b.targets {
			if s.target.Address() == address {
				s.gauge.RecordPossibleExit(now)
				e.events.Log(event.TargetCold, "target", s.target.ID(), "reason", "it closed a connection that was just used", "confirmed", now.Sub(s.confirmed))
			}
		}
	}
}
