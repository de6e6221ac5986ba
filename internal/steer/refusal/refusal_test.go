package refusal_test

import (
	"testing"
	"time"

	"tamarackspool/internal/steer/refusal"
)

// Guards against callers that wait although a slot is free, retry before a slot
// can be free, or wait for longer than the known load is valid.
func TestRetryDelayFollowsTheLoad(t *testing.T) {
	const objective = 600 * time.Millisecond
	for _, c := range []struct {
		load refusal.TargetLoad
		want time.Duration
	}{
		{refusal.TargetLoad{Load: 0, Slots: 6}, refusal.MinDelay},
		{refusal.TargetLoad{Load: 5, Slots: 6}, refusal.MinDelay},
		{refusal.TargetLoad{Load: 6, Slots: 6}, 50 * time.Millisecond},
		{refusal.TargetLoad{Load: 11, Slots: 6}, 300 * time.Millisecond},
		{refusal.TargetLoad{Load: 100, Slots: 6}, refusal.MaxDelay},
		{refusal.TargetLoad{}, refusal.MaxDelay},
	} {
		if got := refusal.RetryDelay(c.load, objective); got != c.want {
			t.Errorf("%+v: %v, want %v", c.load, got, c.want)
		}
	}
}

// Guards against an overloaded service that refuses the same callers again and
// again: 40 callers compete for 10 slots, and each retries after the given delay.
func TestRefusedCallersAreServedAfterTheDelay(t *testing.T) {
	const slots, work = 10, 300 * time.Millisecond
	type caller struct{ at time.Duration }
	var waiting []caller
	for i := range 40 {
		waiting = append(waiting, caller{time.Duration(i) * 10 * time.Millisecond})
	}
	var running []time.Duration
	refused, served := 0, 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		kept := running[:0]
		for _, end := range running {
			if end > now {
				kept = append(kept, end)
			}
		}
		running = kept
		var next []caller
		for _, c := range waiting {
			switch {
			case c.at > now:
				next = append(next, c)
			case len(running) < slots:
				running = append(running, now+work)
				served++
			default:
				refused++
				next = append(next, caller{now + refusal.RetryDelay(refusal.TargetLoad{Load: len(running), Slots: slots}, 2*work)})
			}
		}
		waiting = next
	}
	if served != 40 {
		t.Errorf("%d of 40 callers were served", served)
	}
	if refused > 400 {
		t.Errorf("%d refusals for 40 callers", refused)
	}
}
