package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tamarackspool/internal/steer/placement"
)

// Guards against a request that is diverted from its object's first target without need, or queues there while another target is free.
func TestPickLeavesOnlyCrowdedPlaces(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []placement.Candidate
		want       int
	}{
		{"free", []placement.Candidate{{Load: 0, Slots: 6, Warm: true}, {Load: 0, Slots: 6, Warm: true}}, 0},
		{"busy, another target has the object", []placement.Candidate{{Load: 6, Slots: 6, Warm: true}, {Load: 2, Slots: 6, Warm: true}}, 1},
		{"busy, no other target has the object", []placement.Candidate{{Load: 8, Slots: 6, Warm: true}, {Load: 2, Slots: 6, Warm: false}}, 0},
		{"overloaded", []placement.Candidate{{Load: 15, Slots: 6, Warm: true}, {Load: 2, Slots: 6, Warm: false}}, 1},
		{"all overloaded", []placement.Candidate{{Load: 15, Slots: 6, Warm: true}, {Load: 6, Slots: 6, Warm: true}, {Load: 7, Slots: 6, Warm: true}}, 0},
		{"overloaded, the third has free slots", []placement.Candidate{{Load: 15, Slots: 6, Warm: true}, {Load: 9, Slots: 6, Warm: true}, {Load: 1, Slots: 6, Warm: false}}, 2},
		{"slow, another is free", []placement.Candidate{{Load: 1, Slots: 6, Warm: true, Slow: true}, {Load: 2, Slots: 6}}, 1},
		{"slow, no other has free slots", []placement.Candidate{{Load: 1, Slots: 6, Warm: true, Slow: true}, {Load: 6, Slots: 6}}, 0},
		{"both slow", []placement.Candidate{{Load: 9, Slots: 6, Warm: true, Slow: true}, {Load: 0, Slots: 6, Slow: true}}, 0},
		{"only one", []placement.Candidate{{Load: 15, Slots: 6, Warm: true}}, 0},
	} {
		if got := placement.Pick(c.candidates); got != c.want {
			t.Errorf("%s: candidate %d, want %d", c.name, got, c.want)
		}
	}
}

// load simulates a service with targets that have slots and a queue, and that
// need less time for objects that they have handled before.
type load struct {
	targets, slots, objects int
	perTick                 float64 // perTick is the mean number of requests per tick of 10 ms.
	coldTicks, warmTicks    int
	objective               int // objective is in ticks.
}

// share returns the fraction of the requests that are answered within the objective.
func (l load) share(seed uint64, pick func([]placement.Candidate) int) float64 {
	r := rand.New(rand.NewPCG(seed, 7))
	list := hashes(l.targets)
	hasHandled := make([]map[int]bool, l.targets)
	queues := make([][]run, l.targets)
	for i := range hasHandled {
		hasHandled[i] = make(map[int]bool)
	}
	arrived, good := 0, 0
	for now := range 4000 {
		for i := range queues {
			queues[i] = l.serve(queues[i], hasHandled[i], now, &good)
		}
		for n := l.perTick; n > 0; n-- {
			if n < 1 && r.Float64() > n {
				break
			}
			object := r.IntN(l.objects)
			order := placement.Order(placement.NewKey("r", fmt.Sprint(object)), l.targets,
				func(i int) uint64 { return list[i] }, func(int) float64 { return 1 })
			var candidates []placement.Candidate
			for _, i := range order {
				candidates = append(candidates, placement.Candidate{Load: len(queues[i]), Slots: l.slots, Warm: hasHandled[i][object]})
			}
			at := order[pick(candidates)]
			queues[at] = append(queues[at], run{object: object, arrived: now, end: -1})
			arrived++
		}
	}
	return float64(good) / float64(arrived)
}

type run struct{ object, arrived, end int }

func (l load) serve(queue []run, hasHandled map[int]bool, now int, good *int) []run {
	kept := queue[:0]
	for _, q := range queue {
		if q.end >= 0 && q.end <= now {
			if now-q.arrived <= l.objective {
				*good++
			}
			continue
		}
		kept = append(kept, q)
	}
	for i := range min(l.slots, len(kept)) {
		if kept[i].end < 0 {
			work := l.coldTicks
			if hasHandled[kept[i].object] {
				work = l.warmTicks
			}
			hasHandled[kept[i].object] = true
			kept[i].end = now + work
		}
	}
	return kept
}

// Guards against a rule for diverting requests that serves fewer callers in time
// than no diverting at all. The loads are those of two users' services: 84
// objects on 14 targets of 6 slots at half of their capacity (letters at peak
// time), and 93 objects on 14 targets of 3 slots (searches).
func TestDivertingServesMoreCallersInTime(t *testing.T) {
	first := func([]placement.Candidate) int { return 0 }
	for name, l := range map[string]load{
		"letters":  {targets: 14, slots: 6, objects: 84, perTick: 1.9, coldTicks: 88, warmTicks: 26, objective: 60},
		"searches": {targets: 14, slots: 3, objects: 93, perTick: 2.3, coldTicks: 36, warmTicks: 11, objective: 30},
	} {
		var before, after float64
		for seed := range uint64(5) {
			before += l.share(seed, first) / 5
			after += l.share(seed, placement.Pick) / 5
		}
		t.Logf("%s: %.3f of the callers in time, %.3f without diverting", name, after, before)
		if after < before+0.02 {
			t.Errorf("%s: %.3f of the callers in time, %.3f without diverting", name, after, before)
		}
	}
}
