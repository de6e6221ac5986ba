package ledger

import (
	"slices"
	"time"
)

// Excess returns the largest number of repeats by which a window exceeds the ratio times its request
// count, and 0 when no window does. The request count of a window is the largest of three: that of the
// window itself, of the window half a length earlier and of the window one length earlier.
func Excess(requests, repeats []time.Time, ratio float64, window time.Duration) float64 {
	requests, repeats = sorted(requests), sorted(repeats)
	offsets := []time.Duration{0, window / 2, window}
	// The excess grows only where a repeat enters the window or a request leaves one of the three windows in
	// which requests are counted, so only windows that start at such a time are tried.
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
