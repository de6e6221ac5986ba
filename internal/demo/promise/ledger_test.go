package promise_test

import (
	"testing"
	"time"

	"tamarackspool/internal/demo/promise"
	"tamarackspool/internal/standin/caller"
)

var begin = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func attempt(id, key, verdict string, end int) caller.Attempt {
	return caller.Attempt{ID: id, Key: key, Verdict: verdict, Start: at(0), End: at(end)}
}

// Guards against a check that misses a breach of its promise or reports a breach for a correct run.
func TestCheckRequestsFindsEachBreach(t *testing.T) {
	order := func(attempts ...caller.Attempt) caller.Record {
		return caller.Record{ID: "a", Kind: caller.Order, Service: "gifts", Attempts: attempts}
	}
	ran := promise.Run{ID: "a", Key: "k", Target: "t1", Start: at(10), End: at(20)}
	for _, c := range []struct {
		name   string
		record caller.Record
		runs   []promise.Run
		want   string
	}{
		{"ran once", order(attempt("a", "k", "ran", 30)), []promise.Run{ran}, ""},
		{"refused, then ran", order(attempt("a", "k", "not-run", 5), attempt("a", "k", "ran", 30)), []promise.Run{ran}, ""},
		{"ran, response lost", order(attempt("a", "k", "may-have-run", 15)), []promise.Run{ran}, ""},
		{"ran twice", order(attempt("a", "k", "ran", 30)), []promise.Run{ran, ran}, promise.AtMostOnce},
		{"verdict not-run after the run", order(attempt("a", "k", "not-run", 30), attempt("a", "k", "ran", 40)), []promise.Run{ran}, promise.NotRun},
		{"ran after the last not-run", order(attempt("a", "k", "not-run", 5)), []promise.Run{ran}, promise.NotRun},
		{"response without a run", order(attempt("a", "k", "ran", 5)), nil, promise.CompleteAnswer},
		{"response to another request", caller.Record{ID: "a", Mismatch: "response to b", Attempts: []caller.Attempt{attempt("a", "", "ran", 30)}}, []promise.Run{ran}, promise.CompleteAnswer},
	} {
		checker := promise.NewChecker([]caller.Record{c.record}, c.runs)
		checker.CheckRequests()
		got := ""
		if b := checker.Breaches(); len(b) > 0 {
			got = b[0].Promise
		}
		if got != c.want {
			t.Errorf("%s: got a breach of %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a check that misses requests which reach a leaving target too late.
func TestCheckLeavingFindsLateRequests(t *testing.T) {
	checker := promise.NewChecker(nil, []promise.Run{{Target: "t1", Start: at(2900)}, {Target: "t2", Start: at(9000)}, {Target: "t1", Start: at(3100)}})
	checker.CheckLeaving("t1", at(0))
	if b := checker.Breaches(); len(b) != 1 || b[0].Count != 1 {
		t.Errorf("breaches = %+v, want one run after 3 s", b)
	}
}

// Guards against counting two consecutive runs in one slot as concurrent.
func TestPeakConcurrency(t *testing.T) {
	got := promise.PeakConcurrency([]promise.Run{
		{Region: "r", Start: at(0), End: at(10)},
		{Region: "r", Start: at(10), End: at(20)},
		{Region: "r", Start: at(5), End: at(15)},
	})
	if got["r"] != 2 {
		t.Errorf("peak = %d, want 2", got["r"])
	}
}

// Guards against a check that misses requests aborted by a planned stop, or that
// counts a caller whose deadline expired while the entry still served.
func TestCheckStop(t *testing.T) {
	for _, c := range []struct {
		reason     string
		start, end int
		broken     bool
	}{
		{"lost", 900, 1100, true},
		{"unreached", 1500, 1600, true},
		{"unreached", 3500, 3600, false}, // cached look-ups no longer name the entry
		{"lost", 100, 900, false},        // before the stop
		{"timeout", 900, 2000, false},    // the process ran until 4000
		{"timeout", 900, 4500, true},
		{"no-room", 1500, 1600, false},
	} {
		checker := promise.NewChecker([]caller.Record{{ID: "a", Attempts: []caller.Attempt{
			{ID: "a", Entry: "e1", Reason: c.reason, Start: at(c.start), End: at(c.end)},
		}}}, nil)
		checker.CheckStop("e1", at(1000), at(4000), 2*time.Second)
		if got := len(checker.Breaches()) > 0; got != c.broken {
			t.Errorf("%s from %d to %d: broken = %v, want %v", c.reason, c.start, c.end, got, c.broken)
		}
	}
}
