package deployment

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"tamarackspool/internal/standin/caller"
	"tamarackspool/internal/standin/network"
)

// maxAttempts is the maximum number of attempts that a caller makes for one request.
const maxAttempts = 4

// placedCaller is a caller with its home region.
type placedCaller struct {
	caller     *caller.Caller
	homeRegion string
}

// placedCallers returns one caller for each region and tenant.
func (cl *cluster) placedCallers() []placedCaller {
	var all []placedCaller
	for i, region := range cl.plan.regions {
		for k, tenant := range cl.plan.tenants {
			name := fmt.Sprintf("%s-%s", region, tenant)
			s := caller.Settings{
				Name: name, Tenant: tenant, Entries: cl.entryAddresses(region), Loads: cl.loads(i),
				Seed: cl.settings.Seed*100 + uint64(10*i+k), MaxAttempts: maxAttempts,
				Dial: cl.network.Dialer(network.Place{Name: name, Region: region}),
				Path: func(id string, l caller.Load) string {
					return fmt.Sprintf("%s/%s?size=%d", l.Kind, id, l.ResponseBytes)
				},
			}
			s.Check = responseCheck(tenant)
			all = append(all, placedCaller{caller.New(s), region})
		}
	}
	return all
}

// entryAddresses returns the addresses on which a region's entries accept callers.
func (cl *cluster) entryAddresses(region string) []string {
	var all []string
	for _, z := range zoneNames(region) {
		for _, e := range cl.plan.entryNames(z) {
			call, _, _, _ := cl.entryVM(e).node.Addresses()
			all = append(all, call)
		}
	}
	return all
}

// loads returns the traffic of one caller in the region with the given index.
func (cl *cluster) loads(region int) []caller.Load {
	var all []caller.Load
	for _, s := range cl.plan.services {
		for _, l := range s.loads {
			l.Service, l.Timeout = s.name, timeout
			l.Rate /= float64(len(cl.plan.tenants))
			if cl.settings.LoadFraction > 0 {
				l.Rate *= cl.settings.LoadFraction
			}
			if region == 1 {
				l.Rate *= s.secondRegionFactor
			}
			all = append(all, l)
		}
	}
	return all
}

// responseCheck returns a check that a complete response belongs to the caller's own request.
func responseCheck(tenant string) func(id string, l caller.Load, h http.Header, body []byte) error {
	return func(id string, l caller.Load, h http.Header, body []byte) error {
		sent := l.BodyBytes
		if l.Kind == caller.Read {
			sent = 0
		}
		switch {
		case h.Get("Served-Id") != id:
			return fmt.Errorf("response to %q", h.Get("Served-Id"))
		case h.Get("Served-Tenant") != tenant:
			return fmt.Errorf("response for tenant %q", h.Get("Served-Tenant"))
		case h.Get("Received") != strconv.Itoa(sent):
			return fmt.Errorf("target received %s of %d bytes", h.Get("Received"), sent)
		case len(body) != l.ResponseBytes:
			return fmt.Errorf("response has %d of %d bytes", len(body), l.ResponseBytes)
		}
		return nil
	}
}

// runCallers runs all callers, which start requests until arrivals is done, and
// returns once these requests have ended. ctx aborts them.
func runCallers(ctx, arrivals context.Context, all []placedCaller) {
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() { p.caller.Run(ctx, arrivals) })
	}
	wg.Wait()
}
