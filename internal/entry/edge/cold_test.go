package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against a target that cools down while the store is silent and gets
// the requests of a warm one from entries that cannot know, and against checks
// of targets while the store tells enough.
func TestTargetsThatCoolDuringAnOutageArePaced(t *testing.T) {
	play(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.Work = 5 * time.Millisecond }
		cools := f.target("t1", "s1", "a1", quick)
		f.target("t2", "s1", "a1", quick)
		ask := func() (seen int) {
			before := cools.Seen()
			for i := range 99 {
				if got := f.call(fmt.Sprint("e", i%3), "GET", "/r/", object(fmt.Sprint(i%20))); got.status != http.StatusOK {
					t.Errorf("request %d: %v", i, got)
				}
				time.Sleep(5 * time.Millisecond)
			}
			return cools.Seen() - before
		}
		time.Sleep(20 * time.Second)
		if n := ask(); n < 20 || cools.Checks() > 0 {
			t.Errorf("%d of 99 requests and %d checks while the store is heard", n, cools.Checks())
		}
		f.store.Fail(platformtest.Silent)
		time.Sleep(3 * time.Second)
		cools.Chill(3 * time.Second)
		time.Sleep(500 * time.Millisecond)
		// A cold target of the service bears 3.6 requests a second; 10 in one are allowed.
		if n := ask(); n > 10 {
			t.Errorf("%d requests in a second to a target that cools down during an outage", n)
		}
		time.Sleep(3 * time.Second)
		if n := ask(); n < 20 {
			t.Errorf("%d of 99 requests to a target that has warmed up", n)
		}
		f.store.Fail(platformtest.None)
		time.Sleep(5 * time.Second)
		before := cools.Checks()
		time.Sleep(5 * time.Second)
		if n := cools.Checks() - before; n > 0 {
			t.Errorf("%d checks after the store's return", n)
		}
	})
}

// Guards against a target that cools down with its zone during an outage and cannot say so, as its check waits in its queue.
func TestTargetsThatCoolWithTheirZoneArePaced(t *testing.T) {
	play(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`), rule("other", "/o/", "safe", `,"service":"s2"`))
		quick := func(x *platformtest.Target) { x.Work = 5 * time.Millisecond }
		stuck := f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Work, x.Queue = 5*time.Millisecond, 5*time.Second })
		cool := []*platformtest.Target{f.target("t1", "s2", "a1", quick), f.target("t2", "s2", "a1", quick)}
		f.target("t3", "s1", "b1", quick)
		f.target("t4", "s2", "b1", quick)
		time.Sleep(10 * time.Second)
		f.store.Fail(platformtest.Silent)
		time.Sleep(3 * time.Second)
		ask := func() int {
			before := stuck.Seen()
			for i := range 99 {
				f.call(fmt.Sprint("e", i%3), "GET", "/r/", object(fmt.Sprint(i%20)))
				time.Sleep(5 * time.Millisecond)
			}
			return stuck.Seen() - before
		}
		if n := ask(); n < 20 {
			t.Errorf("%d of 99 requests to a target whose checks get no answer", n)
		}
		for _, x := range cool {
			x.Chill(3 * time.Second)
		}
		time.Sleep(300 * time.Millisecond)
		if n := ask(); n > 10 {
			t.Errorf("%d requests to a target whose zone turned cold", n)
		}
		time.Sleep(3 * time.Second)
		if n := ask(); n < 20 {
			t.Errorf("%d of 99 requests after the zone has warmed up", n)
		}
		f.store.Fail(platformtest.None)
		time.Sleep(10 * time.Second)
	})
}

// Guards against an entry that hears of no cold target because the store took its registration away before it fell silent.
func TestEntriesWithoutARegistrationHearOfColdTargets(t *testing.T) {
	play(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.Work = 5 * time.Millisecond }
		cools := f.target("t1", "s1", "a1", quick)
		f.target("t2", "s1", "a1", quick)
		time.Sleep(10 * time.Second)
		f.serveOnly(2)
		f.store.Remove("entries/e2")
		settle()
		f.store.Fail(platformtest.Silent)
		time.Sleep(3 * time.Second)
		cools.Chill(3 * time.Second)
		time.Sleep(500 * time.Millisecond)
		before := cools.Seen()
		for i := range 99 {
			f.call("e2", "GET", "/r/", object(fmt.Sprint(i%20)))
			time.Sleep(5 * time.Millisecond)
		}
		if n := cools.Seen() - before; n > 0 {
			t.Errorf("%d requests to a cold target that another entry paces", n)
		}
	})
}

// Guards against a cold target that several entries pace at once because their registrations lapsed or were taken away.
func TestOneEntryPacesAColdTargetWhateverItKnowsOfOthers(t *testing.T) {
	for _, c := range []struct {
		name   string
		lapse  bool // lapse has the store fail until all registrations have ended.
		served int  // served is the number of entries that the store answers afterwards.
	}{{"lapsed, all answered", true, 12}, {"lapsed, one answered", true, 1}, {"four taken away", false, 8}} {
		t.Run(c.name, func(t *testing.T) {
			play(t, slices.Repeat([]string{"a1", "a2", "b1"}, 4), func(f *fleet) {
				f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
				quick := func(x *platformtest.Target) { x.Slots, x.Work = 1000, time.Millisecond }
				var targets []*platformtest.Target
				for i := range 8 {
					targets = append(targets, f.target(fmt.Sprint("t", i), "s1", "a1", quick))
				}
				time.Sleep(10 * time.Second)
				if c.lapse {
					f.store.Fail(platformtest.Silent)
					time.Sleep(6 * time.Second)
				}
				f.serveOnly(c.served)
				for i := c.served; i < len(f.entries); i++ {
					f.store.Remove(fmt.Sprint("entries/e", i))
				}
				time.Sleep(2 * time.Second)
				for _, x := range targets {
					x.Chill(20 * time.Second)
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
					// 3.6 a second with half as many more, and 5.
					if n := mostInASecond(runs); n > 10 {
						t.Errorf("%s: %d requests in a second", x.ID, n)
					}
				}
				if served < 5*8*3 {
					t.Errorf("%d requests in 5 s at 8 targets that bear 3.6 a second each", served)
				}
			})
		})
	}
}

// mostInASecond returns the most runs, in the order of their beginning, within one second.
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

// Guards against an idle target that cools down during an outage between two checks, and against checks that fill a queue.
func TestChecksOfAnIdleTargetAreFrequentAndBounded(t *testing.T) {
	for _, c := range []struct {
		queue       time.Duration // queue is how long a check waits.
		least, most int
	}{{0, 18, 21}, {time.Second, 0, 12}} {
		t.Run(c.queue.String(), func(t *testing.T) {
			play(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
				f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
				target := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.Queue = c.queue })
				settle()
				f.store.Fail(platformtest.Silent)
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

// Guards against a target that cools down during an outage and gets the requests of a warm one until its queue has answered two checks.
func TestChecksOfABusyTargetFollowEachOtherWhateverItsQueue(t *testing.T) {
	play(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		cools := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.Work, x.Queue, x.Slots = 300*time.Millisecond, 700*time.Millisecond, 8 })
		f.target("t2", "s1", "a1", func(x *platformtest.Target) { x.Work, x.Slots = 300*time.Millisecond, 8 })
		time.Sleep(10 * time.Second)
		f.store.Fail(platformtest.Silent)
		time.Sleep(3 * time.Second)
		ask := func(d time.Duration) {
			for began := time.Now(); time.Since(began) < d; time.Sleep(30 * time.Millisecond) {
				go f.callAs(fmt.Sprint("c", time.Now().UnixNano()), "e0", "GET", "/r/", object(fmt.Sprint(time.Now().UnixMilli()/30%20)))
			}
		}
		for phase := range 9 {
			ask(2*time.Second + time.Duration(phase)*100*time.Millisecond)
			cools.Chill(2 * time.Second)
			before := cools.Seen()
			ask(time.Second)
			if n := cools.Seen() - before; n > 10 {
				t.Errorf("phase %d: %d requests in the second from the cooling down", phase, n)
			}
			ask(2 * time.Second)
		}
		f.store.Fail(platformtest.None)
		time.Sleep(5 * time.Second)
	})
}
