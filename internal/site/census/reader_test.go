package census_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tamarackspool/internal/site/census"
)

// Guards against entries that wait for each other, for one of another region,
// or for one that is leaving, and against one that all of a large region ask.
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
		asked := make(map[string]int)
		reads := make(map[string]int)
		for _, e := range entries {
			if e.Leaving {
				continue
			}
			at := e
			for steps := 0; ; steps++ {
				r, ok := census.ReaderOf(entries, at)
				if !ok {
					if at.Name == e.Name {
						reads[e.Region]++
					}
					break
				}
				if steps == 0 {
					asked[r.Entry.Name]++
				}
				if r.Entry.Leaving || r.Entry.Region != e.Region || r.Between != 0 && r.Entry.Zone != e.Zone {
					t.Fatalf("%+v asks %+v", at, r)
				}
				if _, further := census.ReaderOf(entries, r.Entry); further != (r.Between > 0) || steps > 1 {
					t.Fatalf("%s asks %s, %d between it and the store, step %d", at.Name, r.Entry.Name, r.Between, steps)
				}
				at = byName[r.Entry.Name]
			}
		}
		for region, n := range reads {
			if n != 1 {
				t.Errorf("%d entries of %s read the store", n, region)
			}
		}
		for name, n := range asked {
			// The groups of a zone are drawn, so that some are larger than the average of 24.
			if n > 48 {
				t.Errorf("%d entries ask %s", n, name)
			}
		}
	}
}

// Guards against a region whose entries change their reader with each that joins.
func TestReaderOfMovesFew(t *testing.T) {
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
		t.Errorf("%d of %d entries ask another one after a weak one joined", moved, len(entries))
	}
}
