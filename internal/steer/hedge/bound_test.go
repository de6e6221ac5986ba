package hedge_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/steer/hedge"
)

// fit is a situation in which nothing but the state of the service withholds a copy.
var fit = hedge.Situation{
	FirstSent: true, MaxAttempts: 2, AvailableRetries: 9, Usual: 100 * time.Millisecond, Left: 400 * time.Millisecond,
	Candidate: hedge.Candidate{Load: 1, Slots: 3, Warm: true},
}

// Guards against copies of all entries together beyond their part of the requests, from the start and in any time between
// two steps, and against copies while targets have no free slot, reject requests or let them time out.
func TestCopiesOfAllEntriesStayWithinTheirPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.OneOf(rapid.Just(1), rapid.Just(79), rapid.IntRange(1, 590), rapid.Just(590)).Draw(t, "entries")
		share := rapid.Float64Range(0, 0.2).Draw(t, "share")
		entries := make([]*hedge.Service, n)
		for i := range entries {
			entries[i] = hedge.New(share)
		}
		now := time.Unix(1000, 0)
		// excess is what the copies have used beyond their part of the requests; low is its lowest value so far.
		excess, low, total := 0.0, 0.0, 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			requests, slow := rapid.IntRange(0, 40).Draw(t, "requests"), rapid.IntRange(0, 40).Draw(t, "slow")
			mode := rapid.SampledFrom([]string{"usual", "usual", "beyond the slots", "rejected"}).Draw(t, "load")
			for _, e := range entries {
				x := fit
				switch mode {
				case "beyond the slots":
					x.Candidate.Load = x.Candidate.Slots + requests
				case "rejected":
					e.RecordShortage(now)
				}
				for range requests {
					e.RecordRequest()
					excess -= share
				}
				for range slow {
					if e.Decide(x, now) != hedge.Sent || !e.Take(now) {
						continue
					}
					if mode != "usual" {
						t.Fatalf("a copy was sent under a load that is %s", mode)
					}
					total++
					excess++
				}
			}
			if excess > 1e-6 {
				t.Fatalf("%d copies are %v beyond their part", total, excess)
			}
			if excess-low > float64(2*n)+1e-6 {
				t.Fatalf("%v copies beyond the part of the requests since an earlier time", excess-low)
			}
			low = min(low, excess)
		}
	})
}

// Guards against a copy that is sent, or named wrongly as withheld, in each situation that forbids one.
func TestReasonsForWithholding(t *testing.T) {
	now := time.Unix(1000, 0)
	s := hedge.New(0.2)
	if got := s.Decide(fit, now); got != hedge.Share {
		t.Errorf("a new entry: %q", got)
	}
	for range 10 {
		s.RecordRequest()
	}
	for want, change := range map[hedge.Reason]func(x *hedge.Situation){
		hedge.Sent:     func(*hedge.Situation) {},
		hedge.Unsent:   func(x *hedge.Situation) { x.FirstSent = false },
		hedge.Stalled:  func(x *hedge.Situation) { x.Stalled = true },
		hedge.Attempts: func(x *hedge.Situation) { x.MaxAttempts = 1 },
		hedge.Short:    func(x *hedge.Situation) { x.Short = true },
		hedge.Retries:  func(x *hedge.Situation) { x.AvailableRetries = 2 },
		hedge.NoTarget: func(x *hedge.Situation) { x.Candidate = hedge.Candidate{} },
		hedge.Objective: func(x *hedge.Situation) {
			x.Candidate.Warm, x.Left = false, 299*time.Millisecond
		},
	} {
		x := fit
		change(&x)
		if got := s.Decide(x, now); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	s.RecordShortage(now)
	if got := s.Decide(fit, now.Add(999*time.Millisecond)); got != hedge.Short {
		t.Errorf("just after a rejection: %q", got)
	}
	if got := s.Decide(fit, now.Add(time.Second)); got != hedge.Sent {
		t.Errorf("a second after a rejection: %q", got)
	}
}

// Guards against percentiles from too few latencies, of a time long ago, or of another rule.
func TestPercentilesFollowTheRule(t *testing.T) {
	now := time.Unix(1000, 0)
	s := hedge.New(0.1)
	for i := range 104 { // The percentiles are computed anew at the last one.
		if _, ok := s.Latency("a", now); ok != (i >= 40) {
			t.Fatalf("known %v after %d latencies", ok, i)
		}
		s.RecordLatency("a", time.Duration(i+1)*time.Millisecond, now)
	}
	l, _ := s.Latency("a", now)
	if l.Delay < 97*time.Millisecond || l.Delay > 101*time.Millisecond || l.Usual < 51*time.Millisecond || l.Usual > 54*time.Millisecond {
		t.Errorf("%+v", l)
	}
	if _, ok := s.Latency("b", now); ok {
		t.Error("the latency of another rule is known")
	}
	if _, ok := s.Latency("a", now.Add(59*time.Second)); !ok {
		t.Error("the latencies of the previous window are forgotten")
	}
	if _, ok := s.Latency("a", now.Add(2*time.Minute)); ok {
		t.Error("latencies of two minutes ago are used")
	}
	if !s.TakeNotice(now) || s.TakeNotice(now.Add(999*time.Millisecond)) || !s.TakeNotice(now.Add(time.Second)) {
		t.Error("notices are not limited to one a second")
	}
}
