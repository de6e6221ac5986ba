package deployment

import (
	"cmp"
	"slices"
	"time"
)

// edge is the start or the end of a run.
type edge struct {
	at    time.Time
	delta int
}

// peaks returns the most requests that ran at once in each region.
func peaks(runs []run) map[string]int {
	edges := make(map[string][]edge)
	for _, r := range runs {
		if r.end.IsZero() {
			continue
		}
		edges[r.region] = append(edges[r.region], edge{r.start, 1}, edge{r.end, -1})
	}
	peak := make(map[string]int)
	for region, list := range edges {
		// Ends come first among equal times, so that a slot reused at once counts once.
		slices.SortFunc(list, func(a, b edge) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta))
		})
		now := 0
		for _, e := range list {
			now += e.delta
			peak[region] = max(peak[region], now)
		}
	}
	return peak
}
