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

// entryHost marks an address that names an entry instead of its port of the
// moment, so that callers reach a replaced entry.
const entryHost = ".entry:80"

// Dial opens a connection from a client of the region; the address is that of
// a process, or an entry's name followed by ".entry:80".
func (l *Live) Dial(region string) func(ctx context.Context, network, address string) (net.Conn, error) {
	direct := l.w.network.Dialer(network.Place{
		Name: "client-" + region, Region: region, Address: l.w.plan.clientAddress(region),
	})
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		name, ok := strings.CutSuffix(address, entryHost)
		if !ok {
			return direct(ctx, network, address)
		}
		s := l.w.site(name)
		if s == nil {
			return nil, fmt.Errorf("deployment: no entry %q", name)
		}
		call, _, _, _ := s.node.Addresses()
		return direct(ctx, network, call)
	}
}

// Load starts one caller in each of the regions that sends the load until
// Unload; without regions it does so in all.
func (l *Live) Load(load caller.Load, regions ...string) {
	if len(regions) == 0 {
		regions = l.w.plan.regions
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	arrivals, stop := context.WithCancel(l.ctx)
	if before := l.arrivals; before != nil {
		l.arrivals = func() { before(); stop() }
	} else {
		l.arrivals = stop
	}
	load.Timeout = timeout
	for _, region := range regions {
		l.count++
		tenant := l.w.plan.tenants[0]
		p := placedCaller{caller.New(caller.Settings{
			Name: fmt.Sprintf("%s-%d", region, l.count), Tenant: tenant,
			Entries: l.seeds(func(r string) bool { return r == region }),
			Spare:   l.seeds(func(r string) bool { return r != region }),
			Loads:   []caller.Load{load}, Seed: l.w.settings.Seed*100 + uint64(l.count), Tries: tries,
			Dial: l.Dial(region), Check: answerCheck(tenant),
			Path: func(id string, l caller.Load) string { return fmt.Sprintf("%s/%s?size=%d", l.Kind, id, l.Answer) },
		}), region}
		l.placedCallers = append(l.placedCallers, p)
		l.talks.Go(func() { p.caller.Run(l.ctx, arrivals) })
	}
}

// seeds returns names of entries in the accepted regions as addresses.
func (l *Live) seeds(accept func(region string) bool) []string {
	var all []string
	for _, r := range l.w.plan.regions {
		if !accept(r) {
			continue
		}
		for _, z := range zoneNames(r) {
			for _, e := range l.w.plan.entryNames(z) {
				all = append(all, e+entryHost)
			}
		}
	}
	return all
}

// Unload stops all loads and returns when their requests have ended.
func (l *Live) Unload() {
	l.mu.Lock()
	stop := l.arrivals
	l.arrivals = nil
	l.mu.Unlock()
	if stop != nil {
		stop()
	}
	l.talks.Wait()
}

// Records returns what all callers were told so far.
func (l *Live) Records() []caller.Record {
	records, _ := l.collect()
	return records
}

func (l *Live) collect() ([]caller.Record, map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := slices.Collect(maps.Values(l.records))
	homes := maps.Clone(l.homes)
	for _, p := range l.placedCallers {
		for _, r := range p.caller.Records() {
			records = append(records, r)
			for _, t := range r.Tries {
				homes[t.ID] = p.home
			}
		}
	}
	return records, homes
}
