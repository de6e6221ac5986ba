package promise

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

// Peaks returns the most requests that ran at once in each region.
func Peaks(runs []Run) map[string]int {
	edges := make(map[string][]edge)
	for _, r := range runs {
		if r.End.IsZero() {
			continue
		}
		edges[r.Region] = append(edges[r.Region], edge{r.Start, 1}, edge{r.End, -1})
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
