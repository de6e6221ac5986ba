package deployment

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"

	"tamarackspool/internal/standin/caller"
	"tamarackspool/internal/standin/network"
)

// entryHost is the suffix of an address that names an entry instead of its
// current port, so that callers reach a replaced entry.
const entryHost = ".entry:80"

// Dial returns a dial function for a client of the region. It accepts the address
// of a process, or an entry's name followed by ".entry:80".
func (l *Live) Dial(region string) func(ctx context.Context, network, address string) (net.Conn, error) {
	direct := l.cluster.network.Dialer(network.Place{
		Name: "client-" + region, Region: region, Address: l.cluster.plan.clientAddress(region),
	})
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		name, ok := strings.CutSuffix(address, entryHost)
		if !ok {
			return direct(ctx, network, address)
		}
		s := l.cluster.entryVM(name)
		if s == nil {
			return nil, fmt.Errorf("deployment: no entry %q", name)
		}
		call, _, _, _ := s.node.Addresses()
		return direct(ctx, network, call)
	}
}

// StartLoad starts one caller in each of the given regions, or in all if none is
// given. The callers send the load until StopLoads is called.
func (l *Live) StartLoad(load caller.Load, regions ...string) {
	if len(regions) == 0 {
		regions = l.cluster.plan.regions
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	arrivals, stop := context.WithCancel(l.ctx)
	if before := l.stopArrivals; before != nil {
		l.stopArrivals = func() { before(); stop() }
	} else {
		l.stopArrivals = stop
	}
	load.Timeout = timeout
	for _, region := range regions {
		l.callerCount++
		tenant := l.cluster.plan.tenants[0]
		p := placedCaller{caller.New(caller.Settings{
			Name: fmt.Sprintf("%s-%d", region, l.callerCount), Tenant: tenant,
			Entries:           l.entryHosts(func(r string) bool { return r == region }),
			FallbackAddresses: l.entryHosts(func(r string) bool { return r != region }),
			Loads:             []caller.Load{load}, Seed: l.cluster.settings.Seed*100 + uint64(l.callerCount), MaxAttempts: maxAttempts,
			Dial: l.Dial(region), Check: responseCheck(tenant),
			Path: func(id string, l caller.Load) string {
				return fmt.Sprintf("%s/%s?size=%d", l.Kind, id, l.ResponseBytes)
			},
		}), region}
		l.placedCallers = append(l.placedCallers, p)
		l.callerRuns.Go(func() { p.caller.Run(l.ctx, arrivals) })
	}
}

// entryHosts returns an address that ends in entryHost for each entry of the accepted regions.
func (l *Live) entryHosts(accept func(region string) bool) []string {
	var all []string
	for _, r := range l.cluster.plan.regions {
		if !accept(r) {
			continue
		}
		for _, z := range zoneNames(r) {
			for _, e := range l.cluster.plan.entryNames(z) {
				all = append(all, e+entryHost)
			}
		}
	}
	return all
}

// StopLoads stops all loads and returns once their requests have ended.
func (l *Live) StopLoads() {
	l.mu.Lock()
	stop := l.stopArrivals
	l.stopArrivals = nil
	l.mu.Unlock()
	if stop != nil {
		stop()
	}
	l.callerRuns.Wait()
}

// Records returns the records of all requests that have ended so far.
func (l *Live) Records() []caller.Record {
	records, _ := l.allRecords()
	return records
}

func (l *Live) allRecords() ([]caller.Record, map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := slices.Collect(maps.Values(l.records))
	homes := maps.Clone(l.homes)
	for _, p := range l.placedCallers {
		for _, r := range p.caller.Records() {
			records = append(records, r)
			for _, t := range r.Attempts {
				homes[t.ID] = p.homeRegion
			}
		}
	}
	return records, homes
}
