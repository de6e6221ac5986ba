package policy

import (
	"slices"
	"time"

	"tamarackspool/internal/steer/decision"
)

// oracle is a policy that knows the state of every target and limit without delay, and its
// requests hold slots only while they run, so it is an upper bound for any policy.
type oracle struct {
	linkBuckets map[[2]int]*decision.Bucket
}

func newOracle() *oracle { return &oracle{linkBuckets: make(map[[2]int]*decision.Bucket)} }

func (o *oracle) resetEntry(*world, int) {}

func (o *oracle) tick(*world, int) {}

func (o *oracle) choose(w *world, r *request, e int, _ bool) route {
	home := w.entries[e].region
	n := len(w.deployment.regions)
	order := []int{home, (home + 1) % n, (home + 2) % n}
	if o.freeSlots(w, r, order[2]) > o.freeSlots(w, r, order[1]) {
		order[1], order[2] = order[2], order[1]
	}
	reason := "no-room"
	for _, region := range order {
		if !w.regionsConnected(home, region) || w.monitor.inFlight[region] >= w.monitor.regionLimits[region] {
			continue
		}
		if region != home && !(o.linkBucket(w, home, region).Open(w.wallTime()) && o.linkBucket(w, region, home).Open(w.wallTime())) {
			continue
		}
		i := o.bestTarget(w, r, region)
		if i < 0 {
			continue
		}
		if !w.monitor.shiftAllowed(w, r, region) {
			reason = "shift-cap"
			continue
		}
		return route{target: i, peer: -1, hop: &hop{entry: e, target: i, peer: -1, startedAt: w.now}}
	}
	return route{target: -1, peer: -1, reason: reason}
}

func (o *oracle) freeSlots(w *world, r *request, region int) int {
	n := 0
	for _, i := range w.localTargets[region][r.arrival.workload] {
		if w.targets[i].up && !w.draining(i) {
			n += w.targets[i].spec.Slots() - w.targets[i].dispatched
		}
	}
	return n
}

func (o *oracle) bestTarget(w *world, r *request, region int) int {
	found, lowest := -1, 0.0
	for _, i := range w.localTargets[region][r.arrival.workload] {
		t := &w.targets[i]
		if !t.up || w.draining(i) || t.dispatched >= t.spec.Slots() || slices.Contains(r.excluded, t.spec.Name()) {
			continue
		}
		if cost := t.coldFactor() * t.slowFactor; found < 0 || cost < lowest {
			found, lowest = i, cost
		}
	}
	return found
}

// attemptEnded does nothing: a slot is free as soon as the target has finished.
func (o *oracle) attemptEnded(*world, *request, int, *hop, attemptResult) {}

// slotFreed serves the queues of the workload at all entries.
func (o *oracle) slotFreed(w *world, workload int) {
	for i := range w.entries {
		w.serveQueue(i, workload)
	}
}

func (o *oracle) chargeLink(w *world, _, from, to int, bytes int64, _ bool) time.Duration {
	return o.linkBucket(w, from, to).ChargeSent(w.wallTime(), bytes)
}

func (o *oracle) linkBucket(w *world, from, to int) *decision.Bucket {
	key := [2]int{from, to}
	b := o.linkBuckets[key]
	if b == nil {
		b = decision.NewBucket(epoch)
		b.SetRate(int64(0.95 * float64(w.deployment.linkRate)))
		o.linkBuckets[key] = b
	}
	return b
}
