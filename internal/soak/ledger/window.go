package ledger

import (
	"slices"
	"time"
)

// Excess returns the largest number of repeats by which a window exceeds the ratio of the requests that
// count for it, and 0 when no window does. The requests that count are those of the window itself, of the
// window one length earlier or of the window half a length earlier, whichever are most.
func Excess(requests, repeats []time.Time, ratio float64, window time.Duration) float64 {
	requests, repeats = sorted(requests), sorted(repeats)
	offsets := []time.Duration{0, window / 2, window}
	// The excess grows only where a repeat enters the window or a request leaves a window that counts,
	// so only windows that start there are tried.
	starts := slices.Clone(repeats)
	for _, r := range slices.Compact(slices.Clone(requests)) {
		for _, offset := range offsets {
			starts = append(starts, r.Add(offset+1), r.Add(offset-window))
		}
	}
	most := 0.0
	for _, from := range starts {
		counted := 0
		for _, offset := range offsets {
			counted = max(counted, within(requests, from.Add(-offset), window))
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

// within returns how many of the sorted times lie in the window that begins at from, its end excluded.
func within(times []time.Time, from time.Time, window time.Duration) int {
	low, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	high, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return high - low
}
