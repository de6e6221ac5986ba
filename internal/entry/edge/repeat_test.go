package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against unbounded retries when every target fails.
func TestRetriesAreBounded(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		targets := []*platformtest.Target{f.target("t1", "s1", "a1", nil), f.target("t2", "s1", "a1", nil)}
		for _, x := range targets {
			x.SetBehavior(platformtest.Full)
		}
		settle()
		const n = 400
		for i := range n {
			f.call("e0", "GET", "/r/", object(fmt.Sprint(i)))
			time.Sleep(10 * time.Millisecond)
		}
		if retries := targets[0].ArrivalCount() + targets[1].ArrivalCount() - n; retries < 40 || retries > n/5+64 {
			t.Errorf("%d retries of %d requests", retries, n)
		}
	})
}

// Guards against log lines of retries that lack the state of the retry budget, or whether it allowed the retry.
func TestRetryLogLinesShowTheBudget(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		f.target("t1", "s1", "a1", nil).SetBehavior(platformtest.Full)
		f.target("t2", "s1", "a1", nil).SetBehavior(platformtest.Full)
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

// Guards against retries that twelve entries accumulate in a period without failures and spend at once when a service's
// targets shed load.
func TestRetriesOfAllEntriesStayWithinTheBudget(t *testing.T) {
	zones := []string{"a1", "a2", "b1", "a1", "a2", "b1", "a1", "a2", "b1", "a1", "a2", "b1"}
	runFleet(t, zones, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.ServiceTime = time.Millisecond }
		targets := []*platformtest.Target{f.target("t1", "s1", "a1", quick), f.target("t2", "s1", "a1", quick)}
		settle()
		sendRequests := func(n int) {
			for i := range n * len(zones) {
				f.call(fmt.Sprint("e", i%len(zones)), "GET", "/r/", object(fmt.Sprint(i)))
			}
		}
		sendRequests(80)
		time.Sleep(25 * time.Second)
		for _, x := range targets {
			x.SetBehavior(platformtest.Full)
		}
		before := targets[0].ArrivalCount() + targets[1].ArrivalCount()
		const each = 12
		began := time.Now()
		sendRequests(each)
		if took := time.Since(began); took > 10*time.Second {
			t.Fatalf("the requests took %v, longer than the window", took)
		}
		n := each * len(zones)
		if retries := targets[0].ArrivalCount() + targets[1].ArrivalCount() - before - n; retries > n/5+64 {
			t.Errorf("%d retries of %d requests within %v; %d are allowed", retries, n, time.Since(began), n/5+64)
		}
	})
}

// Guards against concurrent failed requests that each spend the same part of the retry budget.
func TestConcurrentFailuresShareTheRetryBudget(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.ServiceTime = time.Millisecond }
		targets := []*platformtest.Target{f.target("t1", "s1", "a1", quick), f.target("t2", "s1", "a1", quick)}
		settle()
		const together = 8
		f.earnRetries("e0", 30-together, "/r/")
		for _, x := range targets {
			x.SetBehavior(platformtest.Full)
		}
		before := targets[0].ArrivalCount() + targets[1].ArrivalCount()
		results := make(chan answer, together)
		for i := range together {
			go func() { results <- f.callAs(fmt.Sprint("c", i), "e0", "GET", "/r/", object(fmt.Sprint(i))) }()
		}
		for range together {
			if got := <-results; got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("%v, want a refusal with a retry delay", got)
			}
		}
		if got, want := targets[0].ArrivalCount()+targets[1].ArrivalCount()-before, together+3; got != want {
			t.Errorf("%d arrivals, want %d", got, want)
		}
	})
}

// Guards against requests from before a suspension of the VM, or read just after it, that pay for retries.
func TestSuspensionVoidsTheRetryBudget(t *testing.T) {
	for _, suspension := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(suspension.String(), func(t *testing.T) { testSuspension(t, suspension) })
	}
}

func testSuspension(t *testing.T, suspension time.Duration) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.ServiceTime = time.Millisecond }
		targets := []*platformtest.Target{f.target("t1", "s1", "a1", quick), f.target("t2", "s1", "a1", quick)}
		settle()
		behave := func(m platformtest.Behavior) {
			for _, x := range targets {
				x.SetBehavior(m)
			}
		}
		retries := func(n int) int {
			before := targets[0].ArrivalCount() + targets[1].ArrivalCount()
			for i := range n {
				f.call("e0", "GET", "/r/", object(fmt.Sprint(i)))
			}
			return targets[0].ArrivalCount() + targets[1].ArrivalCount() - before - n
		}
		f.earnRetries("e0", 100, "/r/")
		f.suspended.Add(int64(suspension))
		behave(platformtest.Full)
		if n := retries(5); n > 0 {
			t.Errorf("%d retries right after the suspension", n)
		}
		time.Sleep(300 * time.Millisecond)
		if n := retries(5); n > 0 || !f.log.has("name=stalled for=") {
			t.Errorf("%d retries after the next watchdog tick", n)
		}
		time.Sleep(time.Second)
		behave(platformtest.Normal)
		f.earnRetries("e0", 20, "/r/")
		behave(platformtest.Full)
		if n := retries(5); n != 2 {
			t.Errorf("%d retries paid for by 20 new requests, want 2", n)
		}
	})
}
