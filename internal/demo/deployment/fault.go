package deployment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tamarackspool/internal/standin/target"
)

// setFault sets a fault that targets implement: the targets of the order service
// run requests twice or deny that they ran them, the others send wrong responses.
// It ignores other faults.
func (cl *cluster) setFault(f Fault) {
	for _, m := range cl.targetVMs {
		once := m.planned.service.atMostOnce
		switch {
		case f == FaultTwice && once:
			m.target.SetFaults(target.Faults{RunTwice: true})
		case f == FaultLie && once, (f == FaultMixed || f == FaultShort) && !once:
			m.fault.Store(&f)
		}
	}
}

// The parameters of the injected faults.
const (
	burstRequests = 150                     // number of requests that FaultShift sends to another region in a burst
	floodLinkRate = 100_000                 // limit in bytes per second against which FaultFlood checks the links
	lateDelay     = 3500 * time.Millisecond // delay of FaultLate's request after the start of the drain; above promise.LeavingTime
)

// linkRate returns the limit of a link in bytes per second. With FaultFlood the
// configuration allows more than this limit.
func (cl *cluster) linkRate() float64 {
	if cl.settings.hasFault(FaultFlood) {
		return floodLinkRate
	}
	return float64(cl.plan.linkRate)
}

// shiftCaps returns the shift cap of each service in requests/s per second after
// the script's patch.
func (cl *cluster) shiftCaps() map[string]float64 {
	shiftCaps := make(map[string]float64)
	for _, s := range plans()[cl.plan.name].services {
		shiftCaps[s.name] = s.shiftCap
	}
	shiftCaps[cl.plan.services[0].name] += patchStep
	return shiftCaps
}

// patchStep is the amount by which the script's patch raises the shift cap of the first service.
const patchStep = 5

// injectRequests sends the requests of FaultLate and FaultShift directly to
// targets. It returns the home regions of FaultShift's requests by request ID.
func (cl *cluster) injectRequests(ctx context.Context, result scriptResult) (map[string]string, error) {
	if cl.settings.hasFault(FaultLate) {
		wait(ctx, time.Until(result.drainStart.Add(lateDelay)))
		if err := cl.requestTarget(ctx, cl.targetVMs[result.drained], "late"); err != nil {
			return nil, err
		}
	}
	if cl.settings.hasFault(FaultShift) {
		return cl.sendShiftBurst(ctx)
	}
	return nil, nil
}

// sendShiftBurst sends requests whose home is the first region directly to
// targets of the last one and returns their home regions by request ID.
func (cl *cluster) sendShiftBurst(ctx context.Context) (map[string]string, error) {
	homes := make(map[string]string)
	first := cl.plan.services[0]
	for i := 0; len(homes) < burstRequests; i++ {
		for _, m := range cl.targetVMs {
			if m.planned.service.name != first.name || m.region != cl.plan.regions[2] {
				continue
			}
			id := fmt.Sprintf("leap-%d-%s", i, m.planned.name)
			homes[id] = cl.plan.regions[0]
			cl.runInBackground(func() error { return cl.requestTarget(ctx, m, id) })
		}
		// A target runs only as many requests at once as it has slots.
		wait(ctx, first.workTime/2)
	}
	return homes, nil
}

// requestTarget sends a read to a target directly.
func (cl *cluster) requestTarget(ctx context.Context, m *targetVM, id string) error {
	url := fmt.Sprintf("http://%s/read/%s?size=1", m.address, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Attempt", id)
	resp, err := cl.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// startStaleEntry replaces the entry by one that has no peers and reads a store
// that holds only the first version, so that it can't learn the minimum version
// that it must serve.
func (cl *cluster) startStaleEntry(ctx context.Context, name, zone string) error {
	url, err := cl.startStore(ctx, newStoreServer())
	if err != nil {
		return err
	}
	if err := cl.createConfig(ctx, url); err != nil {
		return err
	}
	_, err = cl.startEntryWith(ctx, name, zone, url, nil)
	return err
}
