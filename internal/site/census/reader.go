package census

import (
	"cmp"
	"slices"

	"tamarackspool/internal/steer/placement"
)

const (
	// largeRegionEntries is the number of entries in a region from which its entries read
	// from a reader in their zone, which reads from the region's reader. Otherwise the answers
	// would fill the link of the region's reader and the links between zones.
	largeRegionEntries = 40
	// zoneGroupSize is the largest average number of entries per reader of a zone.
	// A reader that 24 entries read from sends them less than 4 kB/s while nothing changes.
	zoneGroupSize = 24
)

// Reader is the entry from which another one reads the contents of the store.
type Reader struct {
	Entry       Entry
	Hops        int  // Hops is the number of entries between the reader and the store.
	LargeRegion bool // LargeRegion is set in a region with so many entries that they read less often.
}

// ReaderOf returns the reader of the entry self, so that the number of calls to the
// store grows with the number of regions and not of entries. It returns false when
// self reads the store itself, as the entry of its region with the highest strength does.
func ReaderOf(entries []Entry, self Entry) (Reader, bool) {
	region := rankByStrength(entries, func(o Entry) bool { return o.Region == self.Region })
	if len(region) == 0 || region[0].Name == self.Name {
		return Reader{LargeRegion: len(region) >= largeRegionEntries}, false
	}
	if len(region) < largeRegionEntries {
		return Reader{Entry: region[0]}, true
	}
	zone := rankByStrength(region, func(o Entry) bool { return o.Zone == self.Zone && o.Name != region[0].Name })
	groupReaders := zone[:(len(zone)+zoneGroupSize)/(zoneGroupSize+1)]
	isSelf := func(o Entry) bool { return o.Name == self.Name }
	if len(groupReaders) == 0 || slices.ContainsFunc(groupReaders, isSelf) {
		return Reader{Entry: region[0], LargeRegion: true}, true
	}
	i := placement.Best(placement.Key(placement.HashName(self.Name)), len(groupReaders),
		func(i int) uint64 { return placement.HashName(groupReaders[i].Name) }, func(int) float64 { return 1 })
	return Reader{Entry: groupReaders[i], Hops: 1, LargeRegion: true}, true
}

// rankByStrength returns the matching entries that are not leaving by descending
// strength, then by name, so that all entries compute the same order.
func rankByStrength(entries []Entry, match func(Entry) bool) []Entry {
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
