package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/steer/placement"
)

func hashes(n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = placement.HashName(fmt.Sprint("target-", i))
	}
	return list
}

func best(k placement.Key, list []uint64, weights []float64) int {
	return placement.Best(k, len(list), func(i int) uint64 { return list[i] }, func(i int) float64 { return weights[i] })
}

func equalWeights(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return w
}

// Guards against targets whose share of the objects differs from their weight.
func TestObjectsFollowTheWeights(t *testing.T) {
	list, weights := hashes(10), equalWeights(10)
	weights[3], weights[7] = 3, 0
	got := make([]float64, 10)
	const n = 20_000
	for i := range n {
		got[best(placement.NewKey("r", fmt.Sprint(i)), list, weights)]++
	}
	for i, w := range weights {
		if want := w / 11 * n; math.Abs(got[i]-want) > 0.1*want+1 {
			t.Errorf("target %d has %.0f objects, want %.0f", i, got[i], want)
		}
	}
}

// Guards against objects that move between unchanged targets when other targets leave, join or change their weight.
func TestOnlyObjectsOfChangedTargetsMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "targets")
		list, before := hashes(n), equalWeights(n)
		changed := rapid.IntRange(0, n-1).Draw(t, "changed")
		after := equalWeights(n)
		after[changed] = rapid.SampledFrom([]float64{0, 0.3, 2}).Draw(t, "weight")
		for i := range 50 {
			k := placement.NewKey("r", fmt.Sprint(i))
			from, to := best(k, list, before), best(k, list, after)
			if from != to && from != changed && to != changed {
				t.Fatalf("object %d moved from %d to %d when only %d changed", i, from, to, changed)
			}
		}
	})
}

// Guards against entries that place an object differently because they list the targets in another order.
func TestPlacementDoesNotDependOnTheOrder(t *testing.T) {
	list := hashes(12)
	reversed := make([]uint64, len(list))
	for i, m := range list {
		reversed[len(list)-1-i] = m
	}
	for i := range 200 {
		k := placement.NewKey("r", fmt.Sprint(i))
		if a, b := best(k, list, equalWeights(12)), best(k, reversed, equalWeights(12)); a != len(list)-1-b {
			t.Fatalf("object %d is placed on %d and %d", i, a, len(list)-1-b)
		}
	}
}

// Guards against an order that does not begin with the result of Best, or that names a target twice or one with weight 0.
func TestOrderBeginsWithTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		list, weights := hashes(n), equalWeights(n)
		open := n
		for i := range weights {
			if rapid.IntRange(0, 2).Draw(t, "shut") == 0 {
				weights[i] = 0
				open--
			}
		}
		k := placement.NewKey("r", rapid.String().Draw(t, "object"))
		order := placement.Order(k, n, func(i int) uint64 { return list[i] }, func(i int) float64 { return weights[i] })
		if order[0] != best(k, list, weights) {
			t.Fatalf("order %v does not begin with %d", order, best(k, list, weights))
		}
		seen := make(map[int]bool)
		for _, i := range order {
			if i >= 0 && (seen[i] || weights[i] == 0) {
				t.Fatalf("order %v with weights %v", order, weights)
			}
			if i >= 0 {
				seen[i] = true
			}
		}
		if len(seen) != min(open, placement.MaxCandidates) {
			t.Fatalf("order %v of %d targets", order, open)
		}
	})
}

// Guards against a region with few targets that keeps all of its objects, and
// against objects that are placed in another region without need.
func TestWeightsKeepObjectsInTheirRegion(t *testing.T) {
	places := []placement.Place{{"a", 6}, {"a", 6}}
	for range 6 {
		places = append(places, placement.Place{Region: "b", Slots: 6}, placement.Place{Region: "c", Slots: 6})
	}
	localShare := func(region string, reach float64) float64 {
		local, all := 0.0, 0.0
		for i, w := range placement.Weights(places, region, 3, reach) {
			all += w
			if places[i].Region == region {
				local += w
			}
		}
		return local / all
	}
	for _, c := range []struct {
		region string
		reach  float64
		want   float64
	}{{"a", 1, 6.0 / 14}, {"a", 2, 12.0 / 14}, {"a", 3, 1}, {"b", 1, 1}, {"d", 1, 0}} {
		if got := localShare(c.region, c.reach); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("region %s, reach %v: %.3f of the objects stay in the region, want %.3f", c.region, c.reach, got, c.want)
		}
	}
	if got := placement.Weights([]placement.Place{{"a", 0}}, "a", 3, 1); got[0] != 0 {
		t.Errorf("a place without slots has weight %v", got[0])
	}
}

// Guards against objects that are remembered forever or not at all.
func TestMemoryExpires(t *testing.T) {
	m, now := placement.NewMemory(), time.Unix(100, 0)
	m.Record(1, 2, now)
	if !m.HandledRecently(1, 2, now.Add(10*time.Second)) || m.HandledRecently(1, 2, now.Add(20*time.Second)) || m.HandledRecently(1, 3, now) {
		t.Error("an object is remembered for too long or too short a time")
	}
}
