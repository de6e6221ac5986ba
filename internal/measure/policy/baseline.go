package policy

import (
	"slices"
	"time"
)

// rule picks one of the given targets for an entry, or -1.
type rule func(b *baseline, w *world, e int, usable []int) int

// baseline is a policy in which every entry sends to all targets by its own
// counts. It knows the plan, health checks with a second of lag, and no limit
// of links, regions or shifts.
type baseline struct {
	pick   rule
	spill  bool // spill uses other regions when the own one has no free target
	counts [][]int
	turn   []int
}

func (b *baseline) restart(w *world, e int) {
	for len(b.counts) <= e {
		b.counts = append(b.counts, nil)
		b.turn = append(b.turn, 0)
	}
	b.counts[e] = make([]int, len(w.targets))
}

func (b *baseline) tick(*world, int) {}

func (b *baseline) choose(w *world, r *request, e int, _ bool) route {
	home := w.entries[e].region
	n := len(w.place.regions)
	for k := range n {
		if k > 0 && !b.spill {
			break
		}
		region := (home + k) % n
		var usable []int
		for _, i := range w.here[region][r.arrival.work] {
			if w.live(i) && !w.away(i) && w.reach(home, region) && !slices.Contains(r.avoid, w.targets[i].spec.Name()) {
				usable = append(usable, i)
			}
		}
		if len(usable) == 0 {
			continue
		}
		if i := b.pick(b, w, e, usable); i >= 0 {
			b.counts[e][i]++
			return route{target: i, peer: -1, hop: &hop{entry: e, target: i, peer: -1, began: w.now}}
		}
	}
	return route{target: -1, peer: -1, reason: "no-room"}
}

func (b *baseline) done(_ *world, _ *request, e int, h *hop, _ end) { b.counts[e][h.target]-- }

func (b *baseline) pace(*world, int, int, int, int64, bool) time.Duration { return 0 }

// least picks the target with the fewest own requests, if it has an own free slot.
func least(b *baseline, w *world, e int, usable []int) int {
	start := w.rng.IntN(len(usable))
	found := -1
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		if b.counts[e][i] < w.targets[i].spec.Slots() && (found < 0 || b.counts[e][i] < b.counts[e][found]) {
			found = i
		}
	}
	return found
}

// robin takes the targets in turn.
func robin(b *baseline, _ *world, e int, usable []int) int {
	b.turn[e]++
	return usable[b.turn[e]%len(usable)]
}

// two takes the less used of two random targets.
func two(b *baseline, w *world, e int, usable []int) int {
	x, y := usable[w.rng.IntN(len(usable))], usable[w.rng.IntN(len(usable))]
	if b.counts[e][y] < b.counts[e][x] {
		return y
	}
	return x
}

// fixed lets an entry use only its fixed part of each target's slots.
func fixed(b *baseline, w *world, e int, usable []int) int {
	start := w.rng.IntN(len(usable))
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		if b.counts[e][i] < part(w, e, i) {
			return i
		}
	}
	return -1
}

// part is the entry's fixed part of a target's slots: the slots are dealt to
// the entries of the region in turn, beginning at another entry for each target.
func part(w *world, e, i int) int {
	if w.entries[e].region != w.targets[i].region {
		return 0
	}
	const entries = 4
	slots := w.targets[i].spec.Slots()
	mine := slots / entries
	if (e%entries+entries-i%entries)%entries < slots%entries {
		mine++
	}
	return mine
}
