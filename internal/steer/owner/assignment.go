package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackspool/internal/steer/table"
)

// ownerGroup is a set of targets and the entries that may own them.
type ownerGroup struct {
	entries      []string
	counts       []map[int]int // counts holds the number of assigned targets per service for each entry.
	slots        []int         // slots holds the number of assigned slots of each entry.
	targetCounts map[int]int   // targetCounts holds the number of targets per service.
	totalSlots   int
}

// assignment returns the owner of each target by rendezvous hashing with bounded
// loads: no entry owns more than an equal part, rounded up, of a zone's targets
// of a service. Without the bound, an entry with many slots could not use them all
// within its equal share of the region limit, and an entry with few slots would
// relay most requests.
func assignment(t *table.Tables, zones map[string][]string, region []string) []string {
	groups := make(map[string]*ownerGroup)
	for i := range t.Targets {
		r := &t.Targets[i]
		g := groups[r.Zone]
		if g == nil {
			g = newOwnerGroup(zones[r.Zone], region)
			groups[r.Zone] = g
		}
		g.targetCounts[r.Service]++
		g.totalSlots += max(0, r.Spec.Slots())
	}
	order := make([]int, len(t.Targets))
	for i := range order {
		order[i] = i
	}
	// Sort by name, because the result must not depend on the order in the document.
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(t.Targets[a].Spec.Name(), t.Targets[b].Spec.Name()) })
	owners := make([]string, len(t.Targets))
	for _, i := range order {
		r := &t.Targets[i]
		owners[i] = groups[r.Zone].assign(r.Spec.Name(), r.Service, max(0, r.Spec.Slots()))
	}
	return owners
}

func newOwnerGroup(zone, region []string) *ownerGroup {
	entries := zone
	if len(entries) == 0 {
		entries = region
	}
	g := &ownerGroup{entries: slices.Sorted(slices.Values(entries)), targetCounts: make(map[int]int)}
	g.slots = make([]int, len(g.entries))
	g.counts = make([]map[int]int, len(g.entries))
	for i := range g.counts {
		g.counts[i] = make(map[int]int)
	}
	return g
}

// assign assigns the target to the entry with the highest score among those
// within the bounds on targets and slots, or else among those within the bound on targets.
func (g *ownerGroup) assign(target string, service, slots int) string {
	n := len(g.entries)
	if n == 0 {
		return ""
	}
	most := (g.targetCounts[service] + n - 1) / n
	found, fallback := -1, -1
	var highest, fallbackScore uint64
	var key []byte
	for i, e := range g.entries {
		if g.counts[i][service] >= most {
			continue
		}
		key = append(append(append(key[:0], target...), 0), e...)
		score := xxhash.Sum64(key)
		if fallback < 0 || score > fallbackScore {
			fallback, fallbackScore = i, score
		}
		if within := g.slots[i]+slots <= (g.totalSlots+n-1)/n; within && (found < 0 || score > highest) {
			found, highest = i, score
		}
	}
	if found < 0 {
		found = fallback
	}
	g.counts[found][service]++
	g.slots[found] += slots
	return g.entries[found]
}
