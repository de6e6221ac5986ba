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
	for _, entries := range []int{1, 12, 82, 300} {
		for seed := range uint64(2) {
			check(t, entries, seed)
		}
	}
}

func check(t *testing.T, entries int, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	p := newPlay(entries)
	for tick := range 300 {
		busy := tick%150 < 60 || seed%2 == 0
		for i := range p.budgets {
			if busy {
				p.ask(i, r.IntN(3), 0)
			}
			p.exhaust(i, 0)
		}
		p.pass(100 * time.Millisecond)
	}
	p.check(t, "seed")
}

// Guards against a budget that forbids the repeats of a load with few failures.
func TestFewRepeatsAreAllowed(t *testing.T) {
	now := time.Duration(0)
	b := spend.New(terms)
	refused := 0
	for i := range 1000 {
		now += 50 * time.Millisecond
		b.Request(now)
		if i%10 == 9 && !b.Take(now) {
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
	const slack = 64
	p := newPlay(12)
	for range 100 {
		p.pass(100 * time.Millisecond)
		for i := range p.budgets {
			p.exhaust(i, 0)
		}
	}
	if taken := len(p.arrivals); taken > slack {
		t.Errorf("%d repeats in the first window, the slack is %d", taken, slack)
	}
}

// Guards against requests that pay for more than their part of one repeat, or for one long after their time.
func TestRequestsPayOnceAndInTime(t *testing.T) {
	b := spend.New(terms)
	for range 25 {
		b.Request(time.Second)
	}
	for i, want := range []bool{true, true, false} {
		if left, got := b.Left(2*time.Second), b.Take(2*time.Second); got != want || (left > 0) != want {
			t.Errorf("repeat %d of 25 requests: %v with %d left, want %v", i, got, left, want)
		}
	}
	for range 15 {
		b.Request(3 * time.Second)
	}
	if b.Take(9100 * time.Millisecond) {
		t.Error("a repeat was paid for by requests that are 6.1 s old")
	}
}

// Guards against requests from before a standstill, or read in its wake, that pay for repeats.
func TestForgottenRequestsPayForNothing(t *testing.T) {
	b := spend.New(terms)
	ask := func(at time.Duration) {
		for range 10 {
			b.Request(at)
		}
	}
	ask(time.Second)
	b.Forget(3 * time.Second)
	ask(2 * time.Second)
	if b.Take(3 * time.Second) {
		t.Error("a repeat is allowed")
	}
	ask(3 * time.Second)
	if !b.Take(3 * time.Second) {
		t.Error("what was taken afterwards pays for nothing")
	}
}

// Guards against a ratio of 0 that allows repeats, and against one that divides by it.
func TestNoRatioAllowsNoRepeat(t *testing.T) {
	b := spend.New(spend.Terms{Window: 10 * time.Second})
	for range 100 {
		b.Request(time.Second)
	}
	if b.Left(time.Second) != 0 || b.Take(time.Second) {
		t.Error("a repeat is allowed")
	}
}
