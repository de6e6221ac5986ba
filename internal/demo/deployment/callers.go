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

// tries is the most attempts that a caller makes for one request.
const tries = 4

// placedCaller is a caller with the region in which it stands.
type placedCaller struct {
	caller *caller.Caller
	home   string
}

// placedCallers returns one caller for each region and tenant.
func (w *world) placedCallers() []placedCaller {
	var all []placedCaller
	for i, region := range w.plan.regions {
		for k, tenant := range w.plan.tenants {
			name := fmt.Sprintf("%s-%s", region, tenant)
			s := caller.Settings{
				Name: name, Tenant: tenant, Entries: w.calls(region), Loads: w.loads(i),
				Seed: w.settings.Seed*100 + uint64(10*i+k), Tries: tries,
				Dial: w.network.Dialer(network.Place{Name: name, Region: region}),
				Path: func(id string, l caller.Load) string { return fmt.Sprintf("%s/%s?size=%d", l.Kind, id, l.Answer) },
			}
			s.Check = answerCheck(tenant)
			all = append(all, placedCaller{caller.New(s), region})
		}
	}
	return all
}

// calls returns the callers' addresses of a region's entries.
func (w *world) calls(region string) []string {
	var all []string
	for _, z := range zoneNames(region) {
		for _, e := range w.plan.entryNames(z) {
			call, _, _, _ := w.site(e).node.Addresses()
			all = append(all, call)
		}
	}
	return all
}

// loads returns the traffic of one of the region's callers.
func (w *world) loads(region int) []caller.Load {
	var all []caller.Load
	for _, s := range w.plan.services {
		for _, l := range s.loads {
			l.Service, l.Timeout = s.name, timeout
			l.Rate /= float64(len(w.plan.tenants))
			if w.settings.Load > 0 {
				l.Rate *= w.settings.Load
			}
			if region == 1 {
				l.Rate *= s.hot
			}
			all = append(all, l)
		}
	}
	return all
}

// answerCheck returns a check that a complete response is the answer to the caller's own request.
func answerCheck(tenant string) func(id string, l caller.Load, h http.Header, body []byte) error {
	return func(id string, l caller.Load, h http.Header, body []byte) error {
		sent := l.Body
		if l.Kind == caller.Read {
			sent = 0
		}
		switch {
		case h.Get("Served-Id") != id:
			return fmt.Errorf("answer to %q", h.Get("Served-Id"))
		case h.Get("Served-Tenant") != tenant:
			return fmt.Errorf("answer for tenant %q", h.Get("Served-Tenant"))
		case h.Get("Received") != strconv.Itoa(sent):
			return fmt.Errorf("target received %s of %d bytes", h.Get("Received"), sent)
		case len(body) != l.Answer:
			return fmt.Errorf("answer has %d of %d bytes", len(body), l.Answer)
		}
		return nil
	}
}

// talk runs all callers until arrivals is done and their requests have ended.
func talk(ctx, arrivals context.Context, all []placedCaller) {
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() { p.caller.Run(ctx, arrivals) })
	}
	wg.Wait()
}
