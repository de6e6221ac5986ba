package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// sendFor sends requests, each for another object, through the entries for the given time and returns how many failed.
func sendFor(f *fleet, entries int, d time.Duration) (failed int) {
	for begin, i := time.Now(), 0; time.Since(begin) < d; i++ {
		if got := f.call(fmt.Sprint("e", i%entries), "GET", "/r/", object(fmt.Sprint(i))); got.status != http.StatusOK {
			failed++
		}
		time.Sleep(20 * time.Millisecond)
	}
	return failed
}

// Guards against targets that all stop getting requests at once because their registrations expired during a store outage.
func TestTargetsThatLapseInAnOutageStayInUse(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		quick := func(x *platformtest.Target) { x.ServiceTime = time.Millisecond }
		returned, removed, leaving := f.target("t1", "s1", "a1", quick), f.target("t2", "s1", "a1", quick), f.target("t3", "s1", "a1", quick)
		settle()
		leaving.Register(f.store, "draining", 0)
		settle()
		f.store.SetFault(platformtest.Silent)
		time.Sleep(4 * time.Second)
		for _, id := range []string{"t1", "t2", "t3"} {
			f.store.Remove("servers/" + id)
		}
		f.store.SetFault(platformtest.None)
		before := leaving.ArrivalCount()
		if failed := sendFor(f, 3, 1700*time.Millisecond); failed > 0 {
			t.Errorf("%d requests failed after the outage", failed)
		}
		returned.Register(f.store, "ready", 0)
		sendFor(f, 3, time.Second)
		seen := removed.ArrivalCount()
		if failed := sendFor(f, 3, 2*time.Second); failed > 0 {
			t.Errorf("%d requests failed although a target has registered again", failed)
		}
		if n := removed.ArrivalCount() - seen; n > 0 {
			t.Errorf("%d requests to a target that has not registered again", n)
		}
		if n := leaving.ArrivalCount() - before; n > 0 {
			t.Errorf("%d requests to a target that was leaving", n)
		}
	})
}

// Guards against targets that stay in use although their registrations were removed while the store answered.
func TestRemovedTargetsGetNoRequests(t *testing.T) {
	runFleet(t, []string{"a1", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		f.target("t1", "s1", "a1", nil)
		gone := f.target("t2", "s1", "a1", nil)
		settle()
		f.store.Remove("servers/t2")
		time.Sleep(time.Second)
		seen := gone.ArrivalCount()
		sendFor(f, 2, 2*time.Second)
		if n := gone.ArrivalCount() - seen; n > 0 {
			t.Errorf("%d requests to a target that was removed", n)
		}
	})
}
