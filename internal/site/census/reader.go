package census

import (
	"cmp"
	"slices"

	"tamarackspool/internal/steer/placement"
)

const (
	// manyEntries is the number of entries of a region from which those of a zone
	// ask an entry of their zone, which asks the region's: their answers would
	// fill the region's link, and the links between zones, otherwise.
	manyEntries = 40
	// groupSize is the most entries of a zone that ask the same one on average.
	// One that answers 24 at rest spends under 4 kB a second on it.
	groupSize = 24
)

// Reader is the entry that another one asks for what the store holds.
type Reader struct {
	Entry   Entry
	Between int  // Between is the number of entries between the reader and the store.
	Many    bool // Many is set in a region of so many entries that they ask less often.
}

// ReaderOf returns the entry that the named one asks, so that the calls to the
// store grow with the regions and not with the entries. It returns false when
// that one reads the store itself, as the strongest of its region does.
func ReaderOf(entries []Entry, self Entry) (Reader, bool) {
	region := ranked(entries, func(o Entry) bool { return o.Region == self.Region })
	if len(region) == 0 || region[0].Name == self.Name {
		return Reader{Many: len(region) >= manyEntries}, false
	}
	if len(region) < manyEntries {
		return Reader{Entry: region[0]}, true
	}
	zone := ranked(region, func(o Entry) bool { return o.Zone == self.Zone && o.Name != region[0].Name })
	heads := zone[:(len(zone)+groupSize)/(groupSize+1)]
	isSelf := func(o Entry) bool { return o.Name == self.Name }
	if len(heads) == 0 || slices.ContainsFunc(heads, isSelf) {
		return Reader{Entry: region[0], Many: true}, true
	}
	i := placement.Best(placement.Key(placement.Mark(self.Name)), len(heads),
		func(i int) uint64 { return placement.Mark(heads[i].Name) }, func(int) float64 { return 1 })
	return Reader{Entry: heads[i], Between: 1, Many: true}, true
}

// ranked returns the entries among those that match which are not leaving, the
// one that bears most traffic first, in the same order at every entry that
// lists the same ones.
func ranked(entries []Entry, match func(Entry) bool) []Entry {
	var list []Entry
	for _, e := range entries {
		if !e.Leaving && match(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(y.Strength, x.Strength), cmp.Compare(x.Name, y.Name))
	})
	return list
}
