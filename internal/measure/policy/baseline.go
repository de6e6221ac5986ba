package policy

import (
	"slices"
	"time"
)

// pickFunc returns the index of one of the usable targets, or -1 for none.
type pickFunc func(b *baseline, w *world, e int, usable []int) int

// baseline is a policy in which every entry may send to all targets and counts
// only its own requests in flight. It knows planned drains and health checks that
// lag by a second, and ignores the limits of links, regions and shifts.
type baseline struct {
	pick        pickFunc
	crossRegion bool // crossRegion allows other regions when the entry's own region has no free target
	inFlight    [][]int
	nextIndex   []int
}

func (b *baseline) resetEntry(w *world, e int) {
	for len(b.inFlight) <= e {
		b.inFlight = append(b.inFlight, nil)
		b.nextIndex = append(b.nextIndex, 0)
	}
	b.inFlight[e] = make([]int, len(w.targets))
}

func (b *baseline) tick(*world, int) {}

func (b *baseline) choose(w *world, r *request, e int, _ bool) route {
	home := w.entries[e].region
	n := len(w.deployment.regions)
	for k := range n {
		if k > 0 && !b.crossRegion {
			break
		}
		region := (home + k) % n
		var usable []int
		for _, i := range w.localTargets[region][r.arrival.workload] {
			if w.seenHealthy(i) && !w.draining(i) && w.regionsConnected(home, region) && !slices.Contains(r.excluded, w.targets[i].spec.Name()) {
				usable = append(usable, i)
			}
		}
		if len(usable) == 0 {
			continue
		}
		if i := b.pick(b, w, e, usable); i >= 0 {
			b.inFlight[e][i]++
			return route{target: i, peer: -1, hop: &hop{entry: e, target: i, peer: -1, startedAt: w.now}}
		}
	}
	return route{target: -1, peer: -1, reason: "no-room"}
}

func (b *baseline) attemptEnded(_ *world, _ *request, e int, h *hop, _ attemptResult) {
	b.inFlight[e][h.target]--
}

func (b *baseline) chargeLink(*world, int, int, int, int64, bool) time.Duration { return 0 }

// leastLoaded picks the target with the fewest requests in flight from this entry, among those with a free slot by the entry's count.
func leastLoaded(b *baseline, w *world, e int, usable []int) int {
	start := w.rng.IntN(len(usable))
	found := -1
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		if b.inFlight[e][i] < w.targets[i].spec.Slots() && (found < 0 || b.inFlight[e][i] < b.inFlight[e][found]) {
			found = i
		}
	}
	return found
}

// roundRobin picks the targets in turn.
func roundRobin(b *baseline, _ *world, e int, usable []int) int {
	b.nextIndex[e]++
	return usable[b.nextIndex[e]%len(usable)]
}

// twoChoices picks, of two random targets, the one with fewer requests in flight from this entry.
func twoChoices(b *baseline, w *world, e int, usable []int) int {
	x, y := usable[w.rng.IntN(len(usable))], usable[w.rng.IntN(len(usable))]
	if b.inFlight[e][y] < b.inFlight[e][x] {
		return y
	}
	return x
}

// fixedShare lets an entry use only its fixed share of each target's slots.
func fixedShare(b *baseline, w *world, e int, usable []int) int {
	start := w.rng.IntN(len(usable))
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		if b.inFlight[e][i] < slotShare(w, e, i) {
			return i
		}
	}
	return -1
}

// slotShare returns the entry's fixed share of a target's slots. The slots are
// assigned round-robin to the entries of the region, starting at a different entry for each target.
func slotShare(w *world, e, i int) int {
	if w.entries[e].region != w.targets[i].region {
		return 0
	}
	const entriesPerRegion = 4
	slots := w.targets[i].spec.Slots()
	share := slots / entriesPerRegion
	if (e%entriesPerRegion+entriesPerRegion-i%entriesPerRegion)%entriesPerRegion < slots%entriesPerRegion {
		share++
	}
	return share
}
