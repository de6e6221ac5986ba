package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tamarackspool/platform/platformtest"
)

// Guards against entries that send a warm target's load to a target that turns cold while
// the store does not answer, as it cannot report that in its registration, and against health checks
// while the store answers.
func TestTargetsTurningColdDuringAnOutageArePaced(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.ServiceTime = 5 * time.Millisecond }
		cooling := f.target("t1", "s1", "a1", quick)
		f.target("t2", "s1", "a1", quick)
		sendRequests := func() (seen int) {
			before := cooling.ArrivalCount()
			for i := range 99 {
				if got := f.call(fmt.Sprint("e", i%3), "GET", "/r/", object(fmt.Sprint(i%20))); got.status != http.StatusOK {
					t.Errorf("request %d: %v", i, got)
				}
				time.Sleep(5 * time.Millisecond)
			}
			return cooling.ArrivalCount() - before
		}
		time.Sleep(20 * time.Second)
		if n := sendRequests(); n < 20 || cooling.Checks() > 0 {
			t.Errorf("%d of 99 requests and %d checks while the store answers", n, cooling.Checks())
		}
		f.store.SetFault(platformtest.Silent)
		time.Sleep(3 * time.Second)
		cooling.SetCold(3 * time.Second)
		time.Sleep(500 * time.Millisecond)
		// A cold target of the service accepts 3.6 requests per second; 10 within one second are allowed.
		if n := sendRequests(); n > 10 {
			t.Errorf("%d requests in a second to a target that turned cold during an outage", n)
		}
		time.Sleep(3 * time.Second)
		if n := sendRequests(); n < 20 {
			t.Errorf("%d of 99 requests to a target that has warmed up", n)
		}
		f.store.SetFault(platformtest.None)
		time.Sleep(5 * time.Second)
		before := cooling.Checks()
		time.Sleep(5 * time.Second)
		if n := cooling.Checks() - before; n > 0 {
			t.Errorf("%d checks after the store's recovery", n)
		}
	})
}

// Guards against a rush on a target that turns cold with its zone during an outage and cannot report it,
// because its health checks wait in its queue.
func TestTargetsTurningColdWithTheirZoneArePaced(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`), rule("other", "/o/", "safe", `,"service":"s2"`))
		quick := func(x *platformtest.Target) { x.ServiceTime = 5 * time.Millisecond }
		stuck := f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.ServiceTime, x.HealthCheckDelay = 5*time.Millisecond, 5*time.Second })
		coolingTargets := []*platformtest.Target{f.target("t1", "s2", "a1", quick), f.target("t2", "s2", "a1", quick)}
		f.target("t3", "s1", "b1", quick)
		f.target("t4", "s2", "b1", quick)
		time.Sleep(10 * time.Second)
		f.store.SetFault(platformtest.Silent)
		time.Sleep(3 * time.Second)
		sendRequests := func() int {
			before := stuck.ArrivalCount()
			for i := range 99 {
				f.call(fmt.Sprint("e", i%3), "GET", "/r/", object(fmt.Sprint(i%20)))
				time.Sleep(5 * time.Millisecond)
			}
			return stuck.ArrivalCount() - before
		}
		if n := sendRequests(); n < 20 {
			t.Errorf("%d of 99 requests to a target whose checks get no answer", n)
		}
		for _, x := range coolingTargets {
			x.SetCold(3 * time.Second)
		}
		time.Sleep(300 * time.Millisecond)
		if n := sendRequests(); n > 10 {
			t.Errorf("%d requests to a target whose zone turned cold", n)
		}
		time.Sleep(3 * time.Second)
		if n := sendRequests(); n < 20 {
			t.Errorf("%d of 99 requests after the zone has warmed up", n)
		}
		f.store.SetFault(platformtest.None)
		time.Sleep(10 * time.Second)
	})
}

// Guards against an entry that is not informed of cold targets because its registration was removed before the store stopped answering.
func TestUnregisteredEntriesLearnOfColdTargets(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.ServiceTime = 5 * time.Millisecond }
		cooling := f.target("t1", "s1", "a1", quick)
		f.target("t2", "s1", "a1", quick)
		time.Sleep(10 * time.Second)
		f.serveOnlyFirst(2)
		f.store.Remove("entries/e2")
		settle()
		f.store.SetFault(platformtest.Silent)
		time.Sleep(3 * time.Second)
		cooling.SetCold(3 * time.Second)
		time.Sleep(500 * time.Millisecond)
		before := cooling.ArrivalCount()
		for i := range 99 {
			f.call("e2", "GET", "/r/", object(fmt.Sprint(i%20)))
			time.Sleep(5 * time.Millisecond)
		}
		if n := cooling.ArrivalCount() - before; n > 0 {
			t.Errorf("%d requests to a cold target that another entry paces", n)
		}
	})
}

// Guards against a cold target that several entries pace at once because their registrations lapsed or were removed.
func TestOnlyOneEntryPacesAColdTarget(t *testing.T) {
	for _, c := range []struct {
		name   string
		lapse  bool // lapse makes the store fail until all registrations have expired.
		served int  // served is the number of entries that the store answers afterwards.
	}{{"lapsed, all answered", true, 12}, {"lapsed, one answered", true, 1}, {"four removed", false, 8}} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, slices.Repeat([]string{"a1", "a2", "b1"}, 4), func(f *fleet) {
				f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
				quick := func(x *platformtest.Target) { x.Slots, x.ServiceTime = 1000, time.Millisecond }
				var targets []*platformtest.Target
				for i := range 8 {
					targets = append(targets, f.target(fmt.Sprint("t", i), "s1", "a1", quick))
				}
				time.Sleep(10 * time.Second)
				if c.lapse {
					f.store.SetFault(platformtest.Silent)
					time.Sleep(6 * time.Second)
				}
				f.serveOnlyFirst(c.served)
				for i := c.served; i < len(f.entries); i++ {
					f.store.Remove(fmt.Sprint("entries/e", i))
				}
				time.Sleep(2 * time.Second)
				for _, x := range targets {
					x.SetCold(20 * time.Second)
					x.Register(f.store, "ready", 20*time.Second)
				}
				time.Sleep(2 * time.Second)
				began := time.Now()
				for time.Since(began) < 5*time.Second {
					for e := range f.entries {
						for i := range 4 {
							go f.callAs(fmt.Sprint(e, "-", i, time.Since(began)), e, "GET", "/r/", object(fmt.Sprint(i)))
						}
					}
					time.Sleep(40 * time.Millisecond)
				}
				time.Sleep(time.Second)
				served := 0
				for _, x := range targets {
					runs := x.Runs()
					served += len(runs)
					// The limit for one second: 1.5 times the rate of 3.6, plus 5.
					if n := mostInASecond(runs); n > 10 {
						t.Errorf("%s: %d requests in a second", x.ID, n)
					}
				}
				if served < 5*8*3 {
					t.Errorf("%d requests in 5 s at 8 targets that accept 3.6 per second each", served)
				}
			})
		})
	}
}

// mostInASecond returns the largest number of runs that started within one second; runs are in order of their start.
func mostInASecond(runs []platformtest.Run) int {
	most := 0
	for i := range runs {
		n := 0
		for i+n < len(runs) && runs[i+n].At.Sub(runs[i].At) < time.Second {
			n++
		}
		most = max(most, n)
	}
	return most
}

// Guards against health checks during an outage that are too rare to notice in time that an idle target turns cold,
// and against unanswered checks that fill a target's queue.
func TestChecksOfAnIdleTargetAreFrequentAndBounded(t *testing.T) {
	for _, c := range []struct {
		queue       time.Duration // queue is how long a check waits.
		least, most int
	}{{0, 18, 21}, {time.Second, 0, 12}} {
		t.Run(c.queue.String(), func(t *testing.T) {
			runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
				f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
				target := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.HealthCheckDelay = c.queue })
				settle()
				f.store.SetFault(platformtest.Silent)
				time.Sleep(4 * time.Second)
				before := target.Checks()
				time.Sleep(2 * time.Second)
				if n := target.Checks() - before; n < c.least || n > c.most {
					t.Errorf("%d checks in 2 s, want %d to %d", n, c.least, c.most)
				}
			})
		})
	}
}

// Guards against a crash when a peer reports a zone of cold targets to an entry that has read their registrations
// but no configuration yet.
func TestColdReportsBeforeAConfiguration(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		targets := make([]*platformtest.Target, 3)
		for i := range targets {
			targets[i] = f.target(fmt.Sprint("t", i), "s1", "a1", nil)
		}
		settle()
		for _, x := range targets {
			f.reportCold("e0", x, time.Second)
		}
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		settle()
		if got := f.call("e0", "GET", "/r/x"); got.status != http.StatusOK {
			t.Errorf("after the configuration: %v", got)
		}
	})
}

// reportCold tells an entry, as a peer does, that a target is cold.
func (f *fleet) reportCold(entry string, x *platformtest.Target, left time.Duration) {
	f.t.Helper()
	raw, err := f.net.Dialer("10.2.0.99:0")(f.t.Context(), "tcp", address(f.entries[entry].index, 83))
	if err != nil {
		f.t.Fatal(err)
	}
	ignore := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil })
	c := jsonrpc2.NewConn(f.t.Context(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), ignore)
	defer c.Close()
	message := map[string]any{"id": x.ID, "born": x.StartedMillis, "left": left.Milliseconds()}
	if err := c.Call(f.t.Context(), "cold", message, new(struct{})); err != nil {
		f.t.Errorf("report of a cold target: %v", err)
	}
}

// Guards against health checks that outlive their entry: a stopped entry would occupy the queue of a target.
func TestStoppedEntryEndsItsHealthChecks(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		target := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.HealthCheckDelay = time.Second })
		settle()
		f.store.SetFault(platformtest.Silent)
		time.Sleep(4 * time.Second)
		if target.PendingChecks() == 0 {
			t.Error("the target is not checked")
		}
		f.stop("e0")
		synctest.Wait()
		if n := target.PendingChecks(); n != 0 {
			t.Errorf("%d checks are pending after the entry has stopped", n)
		}
	})
}

// Guards against checks that each wait for the previous one's answer: a target that turns cold during an outage
// would get a warm target's load until its queue has answered two of them.
func TestHealthChecksOfABusyTargetDoNotWaitForItsQueue(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		cooling := f.target("t1", "s1", "a1", func(x *platformtest.Target) {
			x.ServiceTime, x.HealthCheckDelay, x.Slots = 300*time.Millisecond, 700*time.Millisecond, 8
		})
		f.target("t2", "s1", "a1", func(x *platformtest.Target) { x.ServiceTime, x.Slots = 300*time.Millisecond, 8 })
		time.Sleep(10 * time.Second)
		f.store.SetFault(platformtest.Silent)
		time.Sleep(3 * time.Second)
		sendRequests := func(d time.Duration) {
			for began := time.Now(); time.Since(began) < d; time.Sleep(30 * time.Millisecond) {
				go f.callAs(fmt.Sprint("c", time.Now().UnixNano()), "e0", "GET", "/r/", object(fmt.Sprint(time.Now().UnixMilli()/30%20)))
			}
		}
		for phase := range 9 {
			sendRequests(2*time.Second + time.Duration(phase)*100*time.Millisecond)
			cooling.SetCold(2 * time.Second)
			before := cooling.ArrivalCount()
			sendRequests(time.Second)
			if n := cooling.ArrivalCount() - before; n > 10 {
				t.Errorf("phase %d: %d requests in the second after the target turned cold", phase, n)
			}
			sendRequests(2 * time.Second)
		}
		f.store.SetFault(platformtest.None)
		time.Sleep(5 * time.Second)
	})
}
