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
	Deployment        string  // Deployment is letters or cartridge; it determines names and services.
	Regions           int     // Regions is 2 or 3.
	EntriesPerZone    int     // EntriesPerZone is the number of entries in each of a region's two zones.
	TargetsPerService int     // TargetsPerService is the number of targets of each service.
	SlotsPerTarget    int     // SlotsPerTarget is the number of slots of each target.
	ShiftCap          float64 // ShiftCap is the shift cap of each service in requests/s per second.
	LinkRate          int64   // LinkRate is the limit of each link in bytes per second.
	Seed              uint64
	Log               io.Writer // Log receives the events of all entries; nil discards them.
	Loopback          Loopback  // Loopback carries all connections; nil means TCP.
}

// The processing time of a request and the network delays in a small deployment.
const (
	smallWork        = 10 * time.Millisecond
	smallRegionDelay = 4 * time.Millisecond
	smallDelay       = time.Millisecond // between the zones of a region, and between a region and its clients
)

// plan returns the plan of the named deployment at the size.
func (s Size) plan() (plan, error) {
	p, ok := plans()[s.Deployment]
	if !ok {
		return plan{}, fmt.Errorf("deployment: %q; accepted are letters and cartridge", s.Deployment)
	}
	if s.Regions < 2 || s.Regions > 3 || s.EntriesPerZone < 1 || s.TargetsPerService < 1 || s.SlotsPerTarget < 1 {
		return plan{}, errors.New("deployment: 2 or 3 regions and at least one entry, target and slot are accepted")
	}
	p.regions = p.regions[:s.Regions]
	p.entriesPerZone, p.linkRate, p.hasClientBlocks = s.EntriesPerZone, s.LinkRate, true
	p.zoneDelay, p.regionDelay, p.clientDelay = smallDelay, smallRegionDelay, smallDelay
	for i := range p.services {
		v := &p.services[i]
		v.targets, v.slots, v.workTime, v.shiftCap, v.loads = s.TargetsPerService, s.SlotsPerTarget, smallWork, s.ShiftCap, nil
	}
	return p, nil
}

// Live is a running deployment that a test controls. Its methods are safe for
// concurrent use, except Close, which must be called once, as the last one.
type Live struct {
	cluster    *cluster
	ctx        context.Context
	cancel     context.CancelFunc
	reverted   chan []string
	stopWatch  context.CancelFunc
	callerRuns sync.WaitGroup

	mu             sync.Mutex
	stopArrivals   context.CancelFunc
	placedCallers  []placedCaller
	records        map[string]caller.Record // records holds the records of requests that the test sent itself, by ID.
	homes          map[string]string
	callerCount    int
	earlierReverts []string // earlierReverts holds the version reverts that ended watches reported.
	leavingSince   map[string]time.Time
	plannedStops   map[string]stopSpan
}

// stopSpan is the time from the start of a planned stop to the end of the process.
type stopSpan struct{ start, end time.Time }

// Start starts a deployment and returns before its entries serve.
func Start(ctx context.Context, s Size) (*Live, error) {
	p, err := s.plan()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &Live{
		cluster: newCluster(Settings{Deployment: s.Deployment, Seed: s.Seed, Log: s.Log, Loopback: s.Loopback}, p),
		ctx:     ctx, cancel: cancel, reverted: make(chan []string, 1), homes: make(map[string]string),
		records:      make(map[string]caller.Record),
		leavingSince: make(map[string]time.Time), plannedStops: make(map[string]stopSpan),
	}
	if err := l.cluster.build(ctx); err != nil {
		cancel()
		l.cluster.close()
		return nil, err
	}
	watching, stopWatch := context.WithCancel(ctx)
	l.stopWatch = stopWatch
	go func() { l.reverted <- l.cluster.watchVersions(watching) }()
	return l, nil
}

// Close stops all parts of the deployment and waits for them.
func (l *Live) Close() {
	l.StopLoads()
	l.stopWatch()
	l.cancel()
	l.callerRuns.Wait()
	l.cluster.close()
}

// Context returns a context that is cancelled when the deployment is closed.
func (l *Live) Context() context.Context { return l.ctx }

// Client returns the HTTP client of the operators.
func (l *Live) Client() *http.Client { return l.cluster.client }

// Store returns the stand-in of the key-value service.
func (l *Live) Store() *store.Server { return l.cluster.storeServer }

// VMList returns the stand-in of the VM list.
func (l *Live) VMList() *roster.Server { return l.cluster.vmList }

// Network returns the network between the parts.
func (l *Live) Network() *network.Network { return l.cluster.network }

// Regions returns the names of the regions.
func (l *Live) Regions() []string { return slices.Clone(l.cluster.plan.regions) }

// RegionOf returns the region of an entry, a target or a zone, or an empty string.
func (l *Live) RegionOf(name string) string {
	if s := l.cluster.entryVM(name); s != nil {
		return s.region
	}
	if m, ok := l.cluster.targetVMs[name]; ok {
		return m.region
	}
	return l.cluster.plan.regionOf(name)
}

// Entries returns the names of the running entries in order.
func (l *Live) Entries() []string {
	var all []string
	for _, s := range l.cluster.allEntryVMs() {
		if s.running() {
			all = append(all, s.name)
		}
	}
	slices.Sort(all)
	return all
}

// Node returns the running process of an entry, or nil if none runs.
func (l *Live) Node(name string) *node.Node {
	s := l.cluster.entryVM(name)
	if s == nil || !s.running() {
		return nil
	}
	return s.node
}

// Targets returns the names of all targets in order.
func (l *Live) Targets() []string {
	var all []string
	for _, s := range l.cluster.plan.plannedTargets() {
		all = append(all, s.name)
	}
	return all
}

// Target returns the stand-in of a target, or nil if the name is unknown.
func (l *Live) Target(name string) *target.Target {
	if m, ok := l.cluster.targetVMs[name]; ok {
		return m.target
	}
	return nil
}

// Err returns the first failure of a part of the deployment itself.
func (l *Live) Err() error {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	return l.cluster.firstErr
}

// ServiceFor returns the name of the service for requests of the kind.
func (l *Live) ServiceFor(k caller.Kind) string {
	i := map[caller.Kind]int{caller.Read: 0, caller.Order: 1, caller.Upload: 2}[k]
	return l.cluster.plan.services[i].name
}

// RunCount returns how many requests ran at the target, or at all targets of the region.
func (l *Live) RunCount(name string) int {
	count := 0
	for _, m := range l.cluster.targetVMs {
		if m.planned.name == name || m.region == name {
			count += len(m.target.Runs())
		}
	}
	return count
}

// Tenant returns the tenant of the callers that the test controls.
func (l *Live) Tenant() string { return l.cluster.plan.tenants[0] }

// Token returns the operators' token.
func (l *Live) Token() string { return operatorKey }

// RecordRequest stores the record of a request that the test sent itself from a region.
// It replaces an earlier record with the same ID.
func (l *Live) RecordRequest(r caller.Record, home string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[r.ID] = r
	for _, t := range r.Attempts {
		l.homes[t.ID] = home
	}
}

// CheckPromises compares the records of all callers with those of the targets and returns
// the breaches of promises. Requests of running loads that are still in flight are
// not included; StopLoads waits for their end. Promise P1 is checked only if shift
// is set.
func (l *Live) CheckPromises(shift bool) []promise.Breach {
	records, homes := l.allRecords()
	var runs, intervals []promise.Run
	for _, m := range l.cluster.targetVMs {
		runs = append(runs, m.Runs()...)
		intervals = append(intervals, m.Intervals()...)
	}
	checker := promise.NewChecker(records, runs)
	checker.CheckRequests()
	l.mu.Lock()
	for name, since := range l.leavingSince {
		checker.CheckLeaving(name, since)
	}
	for name, s := range l.plannedStops {
		if s.end.IsZero() {
			s.end = time.Now()
		}
		checker.CheckStop(name, s.start, s.end, ttl)
	}
	l.mu.Unlock()
	if shift {
		shiftCaps := make(map[string]float64)
		for _, s := range l.cluster.plan.services {
			shiftCaps[s.name] = s.shiftCap
		}
		checker.CheckShift(homes, shiftCaps)
	}
	for _, text := range l.revertedVersions() {
		checker.AddBreach(promise.MonotonicVersions, "%s", text)
	}
	l.cluster.checkUsage(checker, intervals)
	return checker.Breaches()
}

// revertedVersions returns all version reverts so far. It ends the version watch
// to collect its result and starts a new one.
func (l *Live) revertedVersions() []string {
	l.stopWatch()
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.earlierReverts = <-l.reverted:
		watching, stopWatch := context.WithCancel(l.ctx)
		l.stopWatch = stopWatch
		go func() { l.reverted <- append(l.earlierReverts, l.cluster.watchVersions(watching)...) }()
	case <-l.ctx.Done():
	}
	return l.earlierReverts
}
