package deployment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"tamarackspool/internal/demo/promise"
	"tamarackspool/internal/entry/node"
	"tamarackspool/internal/standin/caller"
	"tamarackspool/internal/standin/network"
	"tamarackspool/internal/standin/roster"
	"tamarackspool/internal/standin/store"
	"tamarackspool/internal/standin/target"
)

// Size describes a small deployment that a test controls.
type Size struct {
	Deployment string // Deployment is letters or cartridge, whose names and services it takes over.
	Regions    int    // Regions is 2 or 3.
	Entries    int    // Entries is the number of entries in each of a region's two zones.
	Targets    int    // Targets is the number of targets of each service.
	Slots      int    // Slots is the number of slots of each target.
	Shift      float64
	Rate       int64 // Rate is the limit of each link in bytes per second.
	Seed       uint64
	Log        io.Writer // Log receives the events of all entries; nil discards them.
	Loopback   Loopback  // Loopback carries all connections; nil means TCP.
}

// The work and the delays of a small deployment.
const (
	smallWork    = 10 * time.Millisecond
	smallBetween = 4 * time.Millisecond
	smallDelay   = time.Millisecond
)

// plan returns the plan of the named deployment at the size.
func (s Size) plan() (plan, error) {
	p, ok := plans()[s.Deployment]
	if !ok {
		return plan{}, fmt.Errorf("deployment: %q; accepted are letters and cartridge", s.Deployment)
	}
	if s.Regions < 2 || s.Regions > 3 || s.Entries < 1 || s.Targets < 1 || s.Slots < 1 {
		return plan{}, errors.New("deployment: 2 or 3 regions and at least one entry, target and slot are accepted")
	}
	p.regions = p.regions[:s.Regions]
	p.perZone, p.rate, p.blocks = s.Entries, s.Rate, true
	p.zones, p.between, p.clients = smallDelay, smallBetween, smallDelay
	for i := range p.services {
		v := &p.services[i]
		v.targets, v.slots, v.work, v.shift, v.loads = s.Targets, s.Slots, smallWork, s.Shift, nil
	}
	return p, nil
}

// Live is a running deployment that a test controls. Its methods are safe for
// concurrent use, but for Close, which is called once and last.
type Live struct {
	w        *world
	ctx      context.Context
	cancel   context.CancelFunc
	reverted chan []string
	unwatch  context.CancelFunc
	talks    sync.WaitGroup

	mu            sync.Mutex
	arrivals      context.CancelFunc
	placedCallers []placedCaller
	records       map[string]caller.Record // records are of requests that the test sent itself, by ID.
	homes         map[string]string
	count         int
	late          []string // late are the reverted versions once the watch has ended.
	leaving       map[string]time.Time
	stopped       map[string]span
}

// span is the time from the beginning of a planned stop to the end of the process.
type span struct{ start, end time.Time }

// Start starts a deployment and returns without waiting until it serves.
func Start(ctx context.Context, s Size) (*Live, error) {
	p, err := s.plan()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &Live{
		w:   newWorld(Settings{Deployment: s.Deployment, Seed: s.Seed, Log: s.Log, Loopback: s.Loopback}, p),
		ctx: ctx, cancel: cancel, reverted: make(chan []string, 1), homes: make(map[string]string),
		records: make(map[string]caller.Record),
		leaving: make(map[string]time.Time), stopped: make(map[string]span),
	}
	if err := l.w.build(ctx); err != nil {
		cancel()
		l.w.close()
		return nil, err
	}
	watching, unwatch := context.WithCancel(ctx)
	l.unwatch = unwatch
	go func() { l.reverted <- l.w.watch(watching) }()
	return l, nil
}

// Close ends all parts.
func (l *Live) Close() {
	l.Unload()
	l.unwatch()
	l.cancel()
	l.talks.Wait()
	l.w.close()
}

// Context ends when the deployment is closed.
func (l *Live) Context() context.Context { return l.ctx }

// Client returns the HTTP client of the operators.
func (l *Live) Client() *http.Client { return l.w.client }

// Store returns the stand-in of the key-value service.
func (l *Live) Store() *store.Server { return l.w.values }

// List returns the stand-in of the VM list.
func (l *Live) List() *roster.Server { return l.w.list }

// Network returns the network between the parts.
func (l *Live) Network() *network.Network { return l.w.network }

// Regions returns the names of the regions.
func (l *Live) Regions() []string { return slices.Clone(l.w.plan.regions) }

// Region returns the region of an entry, a target or a zone, or an empty text.
func (l *Live) Region(name string) string {
	if s := l.w.site(name); s != nil {
		return s.region
	}
	if m, ok := l.w.targetVMs[name]; ok {
		return m.region
	}
	return l.w.plan.regionOf(name)
}

// Entries returns the names of the running entries in order.
func (l *Live) Entries() []string {
	var all []string
	for _, s := range l.w.all() {
		if s.running() {
			all = append(all, s.name)
		}
	}
	slices.Sort(all)
	return all
}

// Node returns the process of an entry, or nil when none runs.
func (l *Live) Node(name string) *node.Node {
	s := l.w.site(name)
	if s == nil || !s.running() {
		return nil
	}
	return s.node
}

// Targets returns the names of all targets in order.
func (l *Live) Targets() []string {
	var all []string
	for _, s := range l.w.plan.spots() {
		all = append(all, s.name)
	}
	return all
}

// Target returns a target's stand-in, or nil.
func (l *Live) Target(name string) *target.Target {
	if m, ok := l.w.targetVMs[name]; ok {
		return m.target
	}
	return nil
}

// Err returns the first failure of a part of the deployment itself.
func (l *Live) Err() error {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.w.failed
}

// Service returns the name of the service that takes requests of the kind.
func (l *Live) Service(k caller.Kind) string {
	i := map[caller.Kind]int{caller.Read: 0, caller.Order: 1, caller.Upload: 2}[k]
	return l.w.plan.services[i].name
}

// Runs returns how many requests ran at the target, or at all targets of the region.
func (l *Live) Runs(name string) int {
	count := 0
	for _, m := range l.w.targetVMs {
		if m.spot.name == name || m.region == name {
			count += len(m.target.Runs())
		}
	}
	return count
}

// Tenant returns the tenant of the callers.
func (l *Live) Tenant() string { return l.w.plan.tenants[0] }

// Token returns the operators' token.
func (l *Live) Token() string { return operatorKey }

// Note keeps the record of a request that the test sent itself from a region,
// in place of an earlier one with the same ID.
func (l *Live) Note(r caller.Record, home string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[r.ID] = r
	for _, t := range r.Tries {
		l.homes[t.ID] = home
	}
}

// Judge compares the records of all callers with those of the targets. The
// requests of running loads are not among them until Unload.
func (l *Live) Judge(shift bool) []promise.Breach {
	records, homes := l.collect()
	var runs, stays []promise.Run
	for _, m := range l.w.targetVMs {
		runs = append(runs, m.Runs()...)
		stays = append(stays, m.Stays()...)
	}
	g := promise.New(records, runs)
	g.CheckRequests()
	l.mu.Lock()
	for name, since := range l.leaving {
		g.CheckLeaving(name, since)
	}
	for name, s := range l.stopped {
		if s.end.IsZero() {
			s.end = time.Now()
		}
		g.CheckStop(name, s.start, s.end, ttl)
	}
	l.mu.Unlock()
	if shift {
		caps := make(map[string]float64)
		for _, s := range l.w.plan.services {
			caps[s.name] = s.shift
		}
		g.CheckShift(homes, caps)
	}
	for _, text := range l.versions() {
		g.Breach(promise.Versions, "%s", text)
	}
	l.w.usage(g, stays)
	return g.Breaches()
}

// versions ends the watch of the versions and returns each that went back.
func (l *Live) versions() []string {
	l.unwatch()
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.late = <-l.reverted:
		watching, unwatch := context.WithCancel(l.ctx)
		l.unwatch = unwatch
		go func() { l.reverted <- append(l.late, l.w.watch(watching)...) }()
	case <-l.ctx.Done():
	}
	return l.late
}
