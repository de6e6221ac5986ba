package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an object for placement.
type Key uint64

// NewKey returns the placement key of a rule's object.
func NewKey(rule, object string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(rule)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(object)
	return Key(d.Sum64())
}

// HashName returns the hash of the name of a target or an entry, as Best and Order take it.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Position returns a position in (0, 1) that depends only on the object, independent of where it is placed.
func (k Key) Position() float64 { return uniform(k, positionHash) }

// positionHash is the hash that stands for no target in Position.
const positionHash = 0x9e3779b97f4a7c15

// uniform returns a pseudorandom number in (0, 1) that depends only on the key and the hash.
func uniform(k Key, hash uint64) float64 {
	x := uint64(k) ^ hash
	// The finalizer of splitmix64 spreads neighbouring inputs evenly.
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// Best returns the index of the one of n targets that the key is placed on, or
// -1 when every weight is 0. Each target gets a share of the keys in proportion
// to its weight, and a change of one weight moves only keys to or from that target.
func Best(k Key, n int, hash func(int) uint64, weight func(int) float64) int {
	best, top := -1, 0.0
	for i := range n {
		w := weight(i)
		if w <= 0 {
			continue
		}
		if s := -w / math.Log(uniform(k, hash(i))); best < 0 || s > top {
			best, top = i, s
		}
	}
	return best
}

// MaxCandidates is the largest number of targets that an object may be placed on. Each one costs a cold run, which takes
// as long as three others, and an object is requested some 50 times while a target keeps it.
const MaxCandidates = 2

// Order returns the indexes of the first MaxCandidates of n targets in order of
// preference for the key, with -1 for each missing one; Best returns the first.
func Order(k Key, n int, hash func(int) uint64, weight func(int) float64) [MaxCandidates]int {
	var top [MaxCandidates]float64
	order := [MaxCandidates]int{-1, -1}
	for i := range n {
		w := weight(i)
		if w <= 0 {
			continue
		}
		s, at := -w/math.Log(uniform(k, hash(i))), i
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
