package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an object for placement.
type Key uint64

// Of returns the key of an object of a rule.
func Of(rule, object string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(rule)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(object)
	return Key(d.Sum64())
}

// Mark returns the number by which a target or an entry takes part in placement.
func Mark(name string) uint64 { return xxhash.Sum64String(name) }

// draw returns a number in (0, 1) that depends on the key and the mark only.
func draw(k Key, mark uint64) float64 {
	x := uint64(k) ^ mark
	// The finalizer of splitmix64 spreads neighbouring inputs evenly.
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// Best returns the index among n marks that the key is placed on, or -1 when
// every weight is 0: a mark gets a part of the keys in proportion to its
// weight, and a change of one weight moves only keys to or from that mark.
func Best(k Key, n int, mark func(int) uint64, weight func(int) float64) int {
	best, top := -1, 0.0
	for i := range n {
		w := weight(i)
		if w <= 0 {
			continue
		}
		if s := -w / math.Log(draw(k, mark(i))); best < 0 || s > top {
			best, top = i, s
		}
	}
	return best
}

// Homes is the number of places that an object may have.
const Homes = 3

// Order returns the first Homes of n marks in the order of preference for the
// key, -1 for each that is missing; the first is that of Best.
func Order(k Key, n int, mark func(int) uint64, weight func(int) float64) [Homes]int {
	var top [Homes]float64
	order := [Homes]int{-1, -1, -1}
	for i := range n {
		w := weight(i)
		if w <= 0 {
			continue
		}
		s, at := -w/math.Log(draw(k, mark(i))), i
		for j := range order {
			if order[j] < 0 || s > top[j] {
				order[j], at = at, order[j]
				top[j], s = s, top[j]
			}
			if at < 0 {
				break
			}
		}
	}
	return order
}
