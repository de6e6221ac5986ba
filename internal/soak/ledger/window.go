package ledger

import (
	"slices"
	"time"
)

// Excess returns by how many repeats the fullest of all windows exceeds the ratio of the requests that
// count for it: those of the window, of the one before it or of the one half a window before it,
// whichever are most; 0 when none does.
func Excess(requests, repeats []time.Time, ratio float64, window time.Duration) float64 {
	requests, repeats = sorted(requests), sorted(repeats)
	backs := []time.Duration{0, window / 2, window}
	// The excess grows only where a repeat enters the window, or a request leaves one that counts.
	starts := slices.Clone(repeats)
	for _, r := range slices.Compact(slices.Clone(requests)) {
		for _, back := range backs {
			starts = append(starts, r.Add(back+1), r.Add(back-window))
		}
	}
	most := 0.0
	for _, from := range starts {
		counted := 0
		for _, back := range backs {
			counted = max(counted, within(requests, from.Add(-back), window))
		}
		most = max(most, float64(within(repeats, from, window))-ratio*float64(counted))
	}
	return most
}

func sorted(times []time.Time) []time.Time {
	times = slices.Clone(times)
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// within returns how many of the sorted times lie in the window that begins at the given one.
func within(times []time.Time, from time.Time, window time.Duration) int {
	low, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	high, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return high - low
}
