package promise

import (
	"cmp"
	"slices"
	"time"
)

// edge is the start (delta 1) or the end (delta -1) of a run.
type edge struct {
	at    time.Time
	delta int
}

// PeakConcurrency returns the highest number of concurrent requests in each region.
func PeakConcurrency(runs []Run) map[string]int {
	edges := make(map[string][]edge)
	for _, r := range runs {
		if r.End.IsZero() {
			continue
		}
		edges[r.Region] = append(edges[r.Region], edge{r.Start, 1}, edge{r.End, -1})
	}
	peak := make(map[string]int)
	for region, list := range edges {
		// Ends sort before starts at the same time, so that a slot that is reused immediately counts once.
		slices.SortFunc(list, func(a, b edge) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta))
		})
		running := 0
		for _, e := range list {
			running += e.delta
			peak[region] = max(peak[region], running)
		}
	}
	return peak
}
