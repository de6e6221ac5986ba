package deployment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tamarackspool/internal/standin/target"
)

// setFault gives the targets the fault where they carry it out: those of the
// order service run twice or lie, the others answer wrongly.
func (w *world) setFault(f Fault) {
	for _, m := range w.targetVMs {
		once := m.spot.service.once
		switch {
		case f == FaultTwice && once:
			m.target.Set(target.Faults{Twice: true})
		case f == FaultLie && once, (f == FaultMixed || f == FaultShort) && !once:
			m.fault.Store(&f)
		}
	}
}

// The figures by which faults differ from the configuration.
const (
	leap       = 150     // requests that move to another region at once with FaultShift
	narrowLink = 100_000 // bytes per second that a link carries with FaultFlood
	lateBy     = 3500 * time.Millisecond
)

// linkLimit returns what a link carries in bytes per second. With FaultFlood
// the configuration allows more than that.
func (w *world) linkLimit() float64 {
	if w.settings.has(FaultFlood) {
		return narrowLink
	}
	return float64(w.plan.rate)
}

// caps returns the cap of each service in requests/s per second, the patch
// included.
func (w *world) caps() map[string]float64 {
	caps := make(map[string]float64)
	for _, s := range plans()[w.plan.name].services {
		caps[s.name] = s.shift
	}
	caps[w.plan.services[0].name] += patchStep
	return caps
}

// patchStep is by how much the script's patch raises the cap of the first service.
const patchStep = 5

// intrude does what the settings' fault says beside the callers and returns
// the requests that it sent with their home regions.
func (w *world) intrude(ctx context.Context, n notes) (map[string]string, error) {
	if w.settings.has(FaultLate) {
		wait(ctx, time.Until(n.drainStart.Add(lateBy)))
		if err := w.visit(ctx, w.targetVMs[n.drained], "late"); err != nil {
			return nil, err
		}
	}
	if w.settings.has(FaultShift) {
		return w.stampede(ctx)
	}
	return nil, nil
}

// stampede sends requests with a home in the first region to targets of the last.
func (w *world) stampede(ctx context.Context) (map[string]string, error) {
	homes := make(map[string]string)
	first := w.plan.services[0]
	for i := 0; len(homes) < leap; i++ {
		for _, m := range w.targetVMs {
			if m.spot.service.name != first.name || m.region != w.plan.regions[2] {
				continue
			}
			id := fmt.Sprintf("leap-%d-%s", i, m.spot.name)
			homes[id] = w.plan.regions[0]
			w.own(func() error { return w.visit(ctx, m, id) })
		}
		// A target runs only as many at once as it has slots.
		wait(ctx, first.work/2)
	}
	return homes, nil
}

// visit sends a read to a target directly.
func (w *world) visit(ctx context.Context, m *targetVM, id string) error {
	url := fmt.Sprintf("http://%s/read/%s?size=1", m.address, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Attempt", id)
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// bootStale replaces the entry by one that reaches no peer and reads a store
// with the first version only, so that nothing tells it of its floor.
func (w *world) bootStale(ctx context.Context, name, zone string) error {
	url, err := w.startStore(ctx, newValues())
	if err != nil {
		return err
	}
	if err := w.commit(ctx, url); err != nil {
		return err
	}
	_, err = w.bootFrom(ctx, name, zone, url, nil)
	return err
}
