package spend_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackspool/internal/steer/spend"
)

// Guards against retries of all entries together that exceed the bound in any
// window under a steady load, a load in bursts or no load.
func TestRetriesOfAllEntriesStayWithinTheBound(t *testing.T) {
	for _, entries := range []int{1, 12, 82, 300} {
		for seed := range uint64(2) {
			checkRandomLoad(t, entries, seed)
		}
	}
}

func checkRandomLoad(t *testing.T, entries int, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	p := newFleet(entries)
	for tick := range 300 {
		busy := tick%150 < 60 || seed%2 == 0
		for i := range p.budgets {
			if busy {
				p.addRequests(i, r.IntN(3), 0)
			}
			p.retryAll(i, 0)
		}
		p.sleep(100 * time.Millisecond)
	}
	p.check(t, "random load")
}

// Guards against a budget that refuses retries when only a tenth of the requests fail.
func TestFewRetriesAreAllowed(t *testing.T) {
	now := time.Duration(0)
	b := spend.NewBudget(limits)
	refused := 0
	for i := range 1000 {
		now += 50 * time.Millisecond
		b.RecordRequest(now)
		if i%10 == 9 && !b.TakeRetry(now) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 100 retries were refused with one retry per 10 requests", refused)
	}
}

// Guards against a budget with an initial allowance: entries that start at the
// same time do not know each other yet and would each spend all of it.
func TestEntriesThatStartTogetherHaveNoBudget(t *testing.T) {
	const allowance = 64
	p := newFleet(12)
	for range 100 {
		p.sleep(100 * time.Millisecond)
		for i := range p.budgets {
			p.retryAll(i, 0)
		}
	}
	if retries := len(p.arrivals); retries > allowance {
		t.Errorf("%d retries in the first window, allowance is %d", retries, allowance)
	}
}

// Guards against requests that are spent twice or after their time to live.
func TestRequestsPayOnceAndInTime(t *testing.T) {
	b := spend.NewBudget(limits)
	for range 25 {
		b.RecordRequest(time.Second)
	}
	for i, want := range []bool{true, true, false} {
		if available, got := b.AvailableRetries(2*time.Second), b.TakeRetry(2*time.Second); got != want || (available > 0) != want {
			t.Errorf("retry %d after 25 requests: %v with %d available, want %v", i, got, available, want)
		}
	}
	for range 15 {
		b.RecordRequest(3 * time.Second)
	}
	if b.TakeRetry(9100 * time.Millisecond) {
		t.Error("a retry was paid for with requests that are 6.1 s old")
	}
}

// Guards against retries paid for with requests that were sent before or during a pause of the process.
func TestDiscardedRequestsPayForNothing(t *testing.T) {
	b := spend.NewBudget(limits)
	addRequests := func(at time.Duration) {
		for range 10 {
			b.RecordRequest(at)
		}
	}
	addRequests(time.Second)
	b.DiscardUntil(3 * time.Second)
	addRequests(2 * time.Second)
	if b.TakeRetry(3 * time.Second) {
		t.Error("TakeRetry allows a retry for requests from before the end of the pause")
	}
	addRequests(3 * time.Second)
	if !b.TakeRetry(3 * time.Second) {
		t.Error("requests that arrive after the pause do not pay for a retry")
	}
}

// Guards against a ratio of 0 that allows retries or causes a division by zero.
func TestZeroRatioAllowsNoRetry(t *testing.T) {
	b := spend.NewBudget(spend.Limits{Window: 10 * time.Second})
	for range 100 {
		b.RecordRequest(time.Second)
	}
	if b.AvailableRetries(time.Second) != 0 || b.TakeRetry(time.Second) {
		t.Error("a budget with a ratio of 0 allows a retry")
	}
}
