package lookup

import (
	"slices"
	"sort"
)

type poolKey struct{ service, region string }

// pool is the entries of a region that may be named for a service, grouped by zone.
type pool struct {
	all   weighted
	zones map[string]weighted
}

// weighted is a list of entries with running sums of their weights.
type weighted struct {
	entries []Choice
	sums    []float64
}

func (w *weighted) add(c Choice, weight float64) {
	total := weight
	if n := len(w.sums); n > 0 {
		total += w.sums[n-1]
	}
	w.entries = append(w.entries, c)
	w.sums = append(w.sums, total)
}

func (w weighted) draw(f float64) Choice {
	i := sort.SearchFloat64s(w.sums, f*w.sums[len(w.sums)-1])
	return w.entries[min(i, len(w.entries)-1)]
}

// near is the share of first choices that fall into the caller's own zone while it has at least two entries;
// the rest goes to the whole region so that a busy zone does not pull all of its callers.
const near = 0.8

// fill draws distinct entries for the answer: the first by weight near the caller, the others by weight in the region.
func (p *pool) fill(a *Answer, zone string, d *draw) {
	if p == nil || len(p.all.entries) == 0 {
		return
	}
	first := p.all
	if own, ok := p.zones[zone]; ok && len(own.entries) > 1 && d.float() < near {
		first = own
	}
	a.add(first.draw(d.float()))
	want := min(maxEntries-1, len(p.all.entries)) // Three names: one more after a second failure.
	for range 4 * maxEntries {
		if a.count >= want {
			return
		}
		a.add(p.all.draw(d.float()))
	}
	for _, c := range p.all.entries { // One entry with nearly all weight makes the draws repeat.
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
