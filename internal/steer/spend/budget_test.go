package spend_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackspool/internal/steer/spend"
)

// Guards against repeats of all entries together that exceed the terms in any
// window, whatever the load: steady, in bursts, or from no requests at all.
func TestSharesStayWithinTheTermsTogether(t *testing.T) {
	terms := spend.Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	for _, entries := range []int{1, 12, 82, 300} {
		for seed := range uint64(2) {
			check(t, terms, entries, seed)
		}
	}
}

func check(t *testing.T, terms spend.Terms, entries int, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(0, 0)
	budgets := make([]*spend.Budget, entries)
	for i := range budgets {
		budgets[i] = spend.New(terms, now)
	}
	const step = 100 * time.Millisecond
	window := int(terms.Window / step)
	var requests, repeats []int
	for tick := range 300 {
		asked, repeated := 0, 0
		busy := tick%150 < 60 || seed%2 == 0
		for _, b := range budgets {
			for range r.IntN(3) {
				if busy {
					b.Request()
					asked++
				}
			}
			for range 20 {
				if b.Take(entries, now) {
					repeated++
				}
			}
		}
		requests, repeats = append(requests, asked), append(repeats, repeated)
		now = now.Add(step)
		if tick < window {
			continue
		}
		// The terms count the requests of the window, of the one before or of the one half a window before.
		most := 0
		for _, back := range []int{0, window / 2, window} {
			most = max(most, sum(requests, tick-back-window+1, tick-back))
		}
		if got, bound := sum(repeats, tick-window+1, tick), terms.Ratio*float64(most)+terms.Slack; float64(got) > bound {
			t.Fatalf("%d entries, seed %d, tick %d: %d repeats in a window, the terms allow %.0f", entries, seed, tick, got, bound)
		}
	}
}

func sum(v []int, from, to int) int {
	n := 0
	for i := max(0, from); i <= to && i < len(v); i++ {
		n += v[i]
	}
	return n
}

// Guards against a budget that forbids the repeats of a load with few failures.
func TestFewRepeatsAreAllowed(t *testing.T) {
	now := time.Unix(0, 0)
	b := spend.New(spend.Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}, now)
	refused := 0
	for i := range 1000 {
		now = now.Add(50 * time.Millisecond)
		b.Request()
		if i%10 == 9 && !b.Take(12, now) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 100 repeats at a tenth of the requests were refused", refused)
	}
}

// Guards against entries that all start at once, know of none but themselves
// for a moment, and spend the whole slack each.
func TestEntriesThatStartTogetherSpendTheSlackOnce(t *testing.T) {
	terms := spend.Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	now := time.Unix(0, 0)
	taken := 0
	budgets := make([]*spend.Budget, 12)
	for i := range budgets {
		budgets[i] = spend.New(terms, now)
	}
	for tick := range 100 {
		known := 1
		if tick > 10 {
			known = 12
		}
		now = now.Add(100 * time.Millisecond)
		for _, b := range budgets {
			if b.Take(known, now) {
				taken++
			}
		}
	}
	if taken > 64 {
		t.Errorf("%d repeats in the first window, the slack is 64", taken)
	}
}

// Guards against a slack that nobody may use because each entry's share of it is less than one repeat.
func TestSmallSharesOfTheSlackAreUsed(t *testing.T) {
	now := time.Unix(0, 0)
	terms := spend.Terms{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}
	const entries = 300
	b := spend.New(terms, now)
	now = now.Add(30 * time.Second)
	// 0.8 of a repeat is earned; the share of the slack is 0.27 over a window.
	for range 5 {
		b.Request()
	}
	if !b.Take(entries, now) {
		t.Error("0.8 of a repeat and a share of the slack do not make one")
	}
	if b.Take(entries, now) {
		t.Error("a second repeat is allowed")
	}
}
