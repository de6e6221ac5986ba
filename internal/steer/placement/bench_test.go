package placement_test

import (
	"fmt"
	"testing"

	"tamarackspool/internal/steer/placement"
)

// BenchmarkOrder measures the placement of one object among the targets of a large service.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{14, 280} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := hashes(n)
			k := placement.NewKey("r", "object")
			for b.Loop() {
				placement.Order(k, n, func(i int) uint64 { return list[i] }, func(int) float64 { return 1 })
			}
		})
	}
}
