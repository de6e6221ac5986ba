package order_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/verdict"
)

func newTable(keys, bytes int) *order.Table {
	return order.NewTable(order.Settings{MaxKeys: keys, MaxAnswerBytes: bytes})
}

func mustBegin(t *testing.T, tb *order.Table, k order.Key) *order.Run {
	t.Helper()
	run, answer, err := tb.Begin(t.Context(), k, 1, time.Now())
	if run == nil || answer != nil || err != nil {
		t.Fatalf("Begin(%v) = %v, %v, %v, want a run", k, run, answer, err)
	}
	return run
}

func wantVerdict(t *testing.T, err error, v verdict.Verdict, r verdict.Reason) {
	t.Helper()
	e, ok := errors.AsType[*verdict.Error](err)
	if !ok || e.Verdict() != v || e.Reason() != r {
		t.Errorf("error = %v, want %v with reason %s", err, v, r)
	}
}

// Guards against a repeat that is dispatched while the first request is still running.
func TestRepeatWaitsForTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable(10, 1000)
		k := order.NewKey("anadolu-school", "gifts", "k1")
		run := mustBegin(t, tb, k)
		got := make(chan *order.Answer)
		go func() {
			_, answer, _ := tb.Begin(t.Context(), k, 1, time.Now())
			got <- answer
		}()
		synctest.Wait()
		select {
		case a := <-got:
			t.Fatalf("the repeat got %v before the first request ended", a)
		default:
		}
		run.Finish(order.NewAnswer(201, nil, []byte("coin")), time.Now())
		if a := <-got; a == nil || a.Status() != 201 || string(a.Body()) != "coin" {
			t.Errorf("the repeat got %v, want the first answer", a)
		}
	})
}

// Guards against two waiting repeats that are both dispatched after the first request did not run.
func TestOneRepeatRunsAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable(10, 1000)
		k := order.NewKey("t", "gifts", "k1")
		first := mustBegin(t, tb, k)
		runs := make(chan *order.Run, 3)
		for range 3 {
			go func() {
				run, _, err := tb.Begin(t.Context(), k, 1, time.Now())
				if run == nil && err == nil {
					return
				}
				runs <- run
			}()
		}
		synctest.Wait()
		first.Fail(verdict.NotRun, time.Now())
		synctest.Wait()
		if len(runs) != 1 {
			t.Fatalf("%d repeats may run, want 1", len(runs))
		}
		(<-runs).Finish(order.NewAnswer(200, nil, nil), time.Now())
		synctest.Wait()
		if len(runs) != 0 {
			t.Errorf("%d more repeats may run after the answer", len(runs))
		}
	})
}

// Guards against a second run after a first one with unknown outcome, and against a
// waiting repeat that reports not-run because its own deadline has passed.
func TestUncertainKeysDoNotRunAgain(t *testing.T) {
	tb := newTable(10, 1000)
	k := order.NewKey("t", "gifts", "k1")
	run := mustBegin(t, tb, k)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := tb.Begin(ctx, k, 1, time.Now())
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonDeadline)
	run.Fail(verdict.MayHaveRun, time.Now())
	_, _, err = tb.Begin(t.Context(), k, 1, time.Now())
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonRepeat)
}

// Guards against a tenant that receives the answer to another tenant's request with the same
// key, and against an answer to another request when a key is reused.
func TestKeysAreKeptApart(t *testing.T) {
	tb := newTable(10, 1000)
	mustBegin(t, tb, order.NewKey("gdansk", "orders", "k1")).Finish(order.NewAnswer(200, nil, []byte("gdansk")), time.Now())
	mustBegin(t, tb, order.NewKey("wroclaw", "orders", "k1"))
	mustBegin(t, tb, order.NewKey("gdansk", "search", "k1"))
	_, _, err := tb.Begin(t.Context(), order.NewKey("gdansk", "orders", "k1"), 2, time.Now())
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonRepeat)
}

// Guards against unbounded memory, and against a full table that responds to a new
// key with a verdict other than not-run or drops the record of an existing key.
func TestBounds(t *testing.T) {
	tb := newTable(2, 10)
	now := time.Now()
	first, second := order.NewKey("t", "s", "1"), order.NewKey("t", "s", "2")
	mustBegin(t, tb, first).Finish(order.NewAnswer(200, nil, make([]byte, 8)), now)
	mustBegin(t, tb, second).Finish(order.NewAnswer(200, nil, make([]byte, 8)), now)
	_, _, err := tb.Begin(t.Context(), order.NewKey("t", "s", "3"), 1, now)
	wantVerdict(t, err, verdict.NotRun, verdict.ReasonKeyMemoryFull)
	_, _, err = tb.Begin(t.Context(), first, 1, now)
	wantVerdict(t, err, verdict.Ran, verdict.ReasonRepeat)
	if _, a, err := tb.Begin(t.Context(), second, 1, now); a == nil || err != nil {
		t.Errorf("the newest answer is gone: %v, %v", a, err)
	}
	later := now.Add(order.Retention)
	run, _, err := tb.Begin(t.Context(), order.NewKey("t", "s", "3"), 1, later)
	if run == nil || err != nil || tb.Len() != 1 {
		t.Errorf("after the retention: run %v, error %v, %d keys, want a run and 1 key", run, err, tb.Len())
	}
}

// Guards against a run that never finishes because its response was too long to
// be recorded: a repeat must receive the verdict ran.
func TestFinishWithoutAnswer(t *testing.T) {
	tb := newTable(10, 1000)
	k := order.NewKey("t", "gifts", "k1")
	run, _, err := tb.Begin(t.Context(), k, 1, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	run.Finish(nil, time.Now())
	_, _, err = tb.Begin(t.Context(), k, 1, time.Now())
	wantVerdict(t, err, verdict.Ran, verdict.ReasonRepeat)
}
