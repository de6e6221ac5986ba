package placement

import "github.com/cespare/xxhash/v2"

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

// Score returns the rank of a mark for a key; the highest score places the object.
func Score(k Key, mark uint64) uint64 {
	x := uint64(k) ^ mark
	// The finalizer of splitmix64 spreads neighbouring inputs evenly.
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Best returns the index of the highest score among n marks that are allowed, or -1 when none is.
func Best(k Key, n int, mark func(int) uint64, allowed func(int) bool) int {
	best, top := -1, uint64(0)
	for i := range n {
		if !allowed(i) {
			continue
		}
		if s := Score(k, mark(i)); best < 0 || s > top {
			best, top = i, s
		}
	}
	return best
}
