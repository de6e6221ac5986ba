package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackspool/internal/steer/table"
)

// group is the targets that the same entries may own.
type group struct {
	entries []string
	counts  []map[int]int // counts holds the targets per service of each entry.
	slots   []int         // slots holds the slots of each entry.
	size    map[int]int   // size holds the targets per service.
	total   int
}

// assignment returns the owner of each target by rendezvous hashing with
// bounds: no entry owns more than its whole part of a zone's targets of a
// service, because an entry with many slots cannot use them all within its
// equal share of the region limit, and one with few relays most requests.
func assignment(t *table.Tables, zones map[string][]string, region []string) []string {
	groups := make(map[string]*group)
	for i := range t.Targets {
		r := &t.Targets[i]
		g := groups[r.Zone]
		if g == nil {
			g = newGroup(zones[r.Zone], region)
			groups[r.Zone] = g
		}
		g.size[r.Service]++
		g.total += max(0, r.Spec.Slots())
	}
	order := make([]int, len(t.Targets))
	for i := range order {
		order[i] = i
	}
	// The order must not depend on the order in the document.
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(t.Targets[a].Spec.Name(), t.Targets[b].Spec.Name()) })
	owners := make([]string, len(t.Targets))
	for _, i := range order {
		r := &t.Targets[i]
		owners[i] = groups[r.Zone].take(r.Spec.Name(), r.Service, max(0, r.Spec.Slots()))
	}
	return owners
}

func newGroup(zone, region []string) *group {
	entries := zone
	if len(entries) == 0 {
		entries = region
	}
	g := &group{entries: slices.Sorted(slices.Values(entries)), size: make(map[int]int)}
	g.slots = make([]int, len(g.entries))
	g.counts = make([]map[int]int, len(g.entries))
	for i := range g.counts {
		g.counts[i] = make(map[int]int)
	}
	return g
}

// take gives the target to the entry with the highest score among those
// within both bounds, else within the bound of the service.
func (g *group) take(target string, service, slots int) string {
	n := len(g.entries)
	if n == 0 {
		return ""
	}
	most := (g.size[service] + n - 1) / n
	found, wide := -1, -1
	var highest, widest uint64
	var key []byte
	for i, e := range g.entries {
		if g.counts[i][service] >= most {
			continue
		}
		key = append(append(append(key[:0], target...), 0), e...)
		score := xxhash.Sum64(key)
		if wide < 0 || score > widest {
			wide, widest = i, score
		}
		if within := g.slots[i]+slots <= (g.total+n-1)/n; within && (found < 0 || score > highest) {
			found, highest = i, score
		}
	}
	if found < 0 {
		found = wide
	}
	g.counts[found][service]++
	g.slots[found] += slots
	return g.entries[found]
}
