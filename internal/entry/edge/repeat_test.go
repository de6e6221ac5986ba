package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against repeats without bound when every target fails.
func TestRepeatsAreBounded(t *testing.T) {
	play(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		targets := []*platformtest.Target{f.target("t1", "s1", "a1", nil), f.target("t2", "s1", "a1", nil)}
		for _, x := range targets {
			x.Behave(platformtest.Full)
		}
		settle()
		const n = 400
		for i := range n {
			f.call("e0", "GET", "/r/", object(fmt.Sprint(i)))
			time.Sleep(10 * time.Millisecond)
		}
		if repeats := targets[0].Seen() + targets[1].Seen() - n; repeats < 40 || repeats > n/5+64 {
			t.Errorf("%d repeats of %d requests", repeats, n)
		}
	})
}

// Guards against lines that do not say what a repeat was paid with, or why one was not allowed.
func TestLinesSayWhatARepeatWasPaidWith(t *testing.T) {
	play(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		f.target("t1", "s1", "a1", nil).Behave(platformtest.Full)
		f.target("t2", "s1", "a1", nil).Behave(platformtest.Full)
		settle()
		for i := range 100 {
			f.call("e0", "GET", "/r/", object(fmt.Sprint(i)))
		}
		for _, line := range []string{
			" service=s1 allowed=true sent=1 unsent=0 left=", " service=s1 allowed=false sent=1 unsent=0 left=", " opened=",
		} {
			if !f.log.has(line) {
				t.Errorf("no line has %q", line)
			}
		}
	})
}

// Guards against repeats that twelve entries saved up in a quiet time and spend at once when a service's targets shed.
func TestRepeatsSavedByAllEntriesStayWithinTheBudget(t *testing.T) {
	zones := []string{"a1", "a2", "b1", "a1", "a2", "b1", "a1", "a2", "b1", "a1", "a2", "b1"}
	play(t, zones, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.Work = time.Millisecond }
		targets := []*platformtest.Target{f.target("t1", "s1", "a1", quick), f.target("t2", "s1", "a1", quick)}
		settle()
		ask := func(n int) {
			for i := range n * len(zones) {
				f.call(fmt.Sprint("e", i%len(zones)), "GET", "/r/", object(fmt.Sprint(i)))
			}
		}
		ask(80)
		time.Sleep(25 * time.Second)
		for _, x := range targets {
			x.Behave(platformtest.Full)
		}
		before := targets[0].Seen() + targets[1].Seen()
		const each = 12
		began := time.Now()
		ask(each)
		if took := time.Since(began); took > 10*time.Second {
			t.Fatalf("the requests took %v, longer than the window", took)
		}
		n := each * len(zones)
		if repeats := targets[0].Seen() + targets[1].Seen() - before - n; repeats > n/5+64 {
			t.Errorf("%d repeats of %d requests within %v; %d are allowed", repeats, n, time.Since(began), n/5+64)
		}
	})
}

// Guards against requests that fail together and each spend the same part of the budget.
func TestRequestsThatFailTogetherShareTheBudget(t *testing.T) {
	play(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.Work = time.Millisecond }
		targets := []*platformtest.Target{f.target("t1", "s1", "a1", quick), f.target("t2", "s1", "a1", quick)}
		settle()
		const together = 8
		f.earn("e0", 30-together, "/r/")
		for _, x := range targets {
			x.Behave(platformtest.Full)
		}
		before := targets[0].Seen() + targets[1].Seen()
		results := make(chan answer, together)
		for i := range together {
			go func() { results <- f.callAs(fmt.Sprint("c", i), "e0", "GET", "/r/", object(fmt.Sprint(i))) }()
		}
		for range together {
			if got := <-results; got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("%v, want a refusal that says when to come back", got)
			}
		}
		if got, want := targets[0].Seen()+targets[1].Seen()-before, together+3; got != want {
			t.Errorf("%d arrivals, want %d", got, want)
		}
	})
}

// Guards against requests from before a suspension of the machine, or read just behind it, that pay for repeats.
func TestSuspendedEntriesRepeatNothingOfBefore(t *testing.T) {
	for _, still := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(still.String(), func(t *testing.T) { suspend(t, still) })
	}
}

func suspend(t *testing.T, still time.Duration) {
	play(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.Work = time.Millisecond }
		targets := []*platformtest.Target{f.target("t1", "s1", "a1", quick), f.target("t2", "s1", "a1", quick)}
		settle()
		behave := func(m platformtest.Manner) {
			for _, x := range targets {
				x.Behave(m)
			}
		}
		repeats := func(n int) int {
			before := targets[0].Seen() + targets[1].Seen()
			for i := range n {
				f.call("e0", "GET", "/r/", object(fmt.Sprint(i)))
			}
			return targets[0].Seen() + targets[1].Seen() - before - n
		}
		f.earn("e0", 100, "/r/")
		f.asleep.Add(int64(still))
		behave(platformtest.Full)
		if n := repeats(5); n > 0 {
			t.Errorf("%d repeats right behind the suspension", n)
		}
		time.Sleep(300 * time.Millisecond)
		if n := repeats(5); n > 0 || !f.log.has("name=stalled for=") {
			t.Errorf("%d repeats after the next beat", n)
		}
		time.Sleep(time.Second)
		behave(platformtest.Sound)
		f.earn("e0", 20, "/r/")
		behave(platformtest.Full)
		if n := repeats(5); n != 2 {
			t.Errorf("%d repeats paid for by 20 new requests, want 2", n)
		}
	})
}
