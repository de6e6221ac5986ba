package census_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tamarackspool/internal/site/census"
)

// Guards against entries that read from each other in a cycle, from one of another region
// or from a leaving one, and against a reader that gets the calls of all entries of a large region.
func TestReaderOfLeadsToTheStore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{1, 2, 3, 12, 38, 41, 60, 80, 82, 130, 200, 300, 440} {
		var entries []census.Entry
		byName := make(map[string]census.Entry)
		for i := range n {
			region := fmt.Sprint("r", random.IntN(2))
			e := entry(fmt.Sprint("e", i), region, fmt.Sprint(region, "-", random.IntN(3)))
			e.Strength = []float64{10, 80, 200}[random.IntN(3)]
			e.Leaving = random.IntN(10) == 0
			entries, byName[e.Name] = append(entries, e), e
		}
		callersOf := make(map[string]int)
		storeReaders := make(map[string]int)
		for _, e := range entries {
			if e.Leaving {
				continue
			}
			at := e
			for steps := 0; ; steps++ {
				r, ok := census.ReaderOf(entries, at)
				if !ok {
					if at.Name == e.Name {
						storeReaders[e.Region]++
					}
					break
				}
				if steps == 0 {
					callersOf[r.Entry.Name]++
				}
				if r.Entry.Leaving || r.Entry.Region != e.Region || r.Hops != 0 && r.Entry.Zone != e.Zone {
					t.Fatalf("%+v has reader %+v", at, r)
				}
				if _, further := census.ReaderOf(entries, r.Entry); further != (r.Hops > 0) || steps > 1 {
					t.Fatalf("%s has reader %s, %d between it and the store, step %d", at.Name, r.Entry.Name, r.Hops, steps)
				}
				at = byName[r.Entry.Name]
			}
		}
		for region, n := range storeReaders {
			if n != 1 {
				t.Errorf("%d entries of %s read the store", n, region)
			}
		}
		for name, n := range callersOf {
			// Hashing assigns the entries of a zone to its readers, so some groups are larger than the average of 24.
			if n > 48 {
				t.Errorf("%d entries have reader %s", n, name)
			}
		}
	}
}

// Guards against a region in which many entries change their reader whenever an entry joins.
func TestReaderOfChangesFewReadersWhenAnEntryJoins(t *testing.T) {
	var entries []census.Entry
	for i := range 150 {
		e := entry(fmt.Sprint("e", i), "r", fmt.Sprint("z", i%3))
		e.Strength = float64(1 + i%7)
		entries = append(entries, e)
	}
	weak := entry("new", "r", "z0")
	moved := 0
	for _, e := range entries {
		before, _ := census.ReaderOf(entries, e)
		after, _ := census.ReaderOf(append(entries[:len(entries):len(entries)], weak), e)
		if before.Entry.Name != after.Entry.Name {
			moved++
		}
	}
	if moved > len(entries)/4 {
		t.Errorf("%d of %d entries changed their reader after an entry with low strength joined", moved, len(entries))
	}
}
