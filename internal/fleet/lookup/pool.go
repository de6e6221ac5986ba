package lookup

import (
	"slices"
	"sort"
)

type poolKey struct{ service, region string }

// entryPool holds the entries of a region that can be selected for a service, in total and by zone.
type entryPool struct {
	all   weightedEntries
	zones map[string]weightedEntries
}

// weightedEntries is a list of entries with the cumulative sums of their weights.
type weightedEntries struct {
	entries []Choice
	sums    []float64
}

func (w *weightedEntries) add(c Choice, weight float64) {
	total := weight
	if n := len(w.sums); n > 0 {
		total += w.sums[n-1]
	}
	w.entries = append(w.entries, c)
	w.sums = append(w.sums, total)
}

func (w weightedEntries) draw(f float64) Choice {
	i := sort.SearchFloat64s(w.sums, f*w.sums[len(w.sums)-1])
	return w.entries[min(i, len(w.entries)-1)]
}

// ownZoneShare is the share of first choices that are drawn from the caller's own zone if that zone has at least two entries.
// The remaining first choices are drawn from the whole region, so that the entries of a busy zone do not get all of its callers.
const ownZoneShare = 0.8

// fillAnswer draws distinct entries for the answer by weight: the first preferably from the caller's zone, the others from
// the whole region.
func (p *entryPool) fillAnswer(a *Answer, zone string, random *rng) {
	if p == nil || len(p.all.entries) == 0 {
		return
	}
	first := p.all
	if own, ok := p.zones[zone]; ok && len(own.entries) > 1 && random.float64() < ownZoneShare {
		first = own
	}
	a.add(first.draw(random.float64()))
	want := min(maxEntries-1, len(p.all.entries)) // Three entries, so that one remains after two failures.
	for range 4 * maxEntries {
		if a.count >= want {
			return
		}
		a.add(p.all.draw(random.float64()))
	}
	for _, c := range p.all.entries { // The draws above repeat if one entry has nearly all the weight.
		if a.count >= want {
			return
		}
		a.add(c)
	}
}

func (a *Answer) add(c Choice) {
	if a.count < maxEntries && !slices.Contains(a.entries[:a.count], c) {
		a.entries[a.count] = c
		a.count++
	}
}
