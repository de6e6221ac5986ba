package policy

import (
	"slices"
	"time"

	"tamarackspool/internal/steer/decision"
)

// oracle knows the state of every target and limit at once, and its requests
// hold slots only while they run, so it bounds what any policy can reach.
type oracle struct {
	links map[[2]int]*decision.Bucket
}

func newOracle() *oracle { return &oracle{links: make(map[[2]int]*decision.Bucket)} }

func (o *oracle) restart(*world, int) {}

func (o *oracle) tick(*world, int) {}

func (o *oracle) choose(w *world, r *request, e int, _ bool) route {
	home := w.entries[e].region
	n := len(w.place.regions)
	order := []int{home, (home + 1) % n, (home + 2) % n}
	if o.free(w, r, order[2]) > o.free(w, r, order[1]) {
		order[1], order[2] = order[2], order[1]
	}
	reason := "no-room"
	for _, region := range order {
		if !w.reach(home, region) || w.monitor.inFlight[region] >= w.monitor.limit[region] {
			continue
		}
		if region != home && !(o.link(w, home, region).Open(w.clock()) && o.link(w, region, home).Open(w.clock())) {
			continue
		}
		i := o.best(w, r, region)
		if i < 0 {
			continue
		}
		if !w.monitor.allowed(w, r, region) {
			reason = "shift-cap"
			continue
		}
		return route{target: i, peer: -1, hop: &hop{entry: e, target: i, peer: -1, began: w.now}}
	}
	return route{target: -1, peer: -1, reason: reason}
}

func (o *oracle) free(w *world, r *request, region int) int {
	n := 0
	for _, i := range w.here[region][r.arrival.work] {
		if w.targets[i].up && !w.away(i) {
			n += w.targets[i].spec.Slots() - w.targets[i].sent
		}
	}
	return n
}

func (o *oracle) best(w *world, r *request, region int) int {
	found, lowest := -1, 0.0
	for _, i := range w.here[region][r.arrival.work] {
		t := &w.targets[i]
		if !t.up || w.away(i) || t.sent >= t.spec.Slots() || slices.Contains(r.avoid, t.spec.Name()) {
			continue
		}
		if cost := t.coldness() * t.slow; found < 0 || cost < lowest {
			found, lowest = i, cost
		}
	}
	return found
}

// done does nothing: a slot is free as soon as the target has finished.
func (o *oracle) done(*world, *request, int, *hop, end) {}

// freed lets all waiting requests of the work choose again.
func (o *oracle) freed(w *world, work int) {
	for i := range w.entries {
		w.wake(i, work)
	}
}

func (o *oracle) pace(w *world, _, from, to int, bytes int64, _ bool) time.Duration {
	return o.link(w, from, to).ChargeSent(w.clock(), bytes)
}

func (o *oracle) link(w *world, from, to int) *decision.Bucket {
	key := [2]int{from, to}
	b := o.links[key]
	if b == nil {
		b = decision.NewBucket(epoch)
		b.SetRate(int64(0.95 * float64(w.place.link)))
		o.links[key] = b
	}
	return b
}
