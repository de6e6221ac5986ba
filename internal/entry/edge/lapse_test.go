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

// Guards against an entry that restarts during an outage of the store and uses a target that has left, whose address
// belongs to a target of another service by now, because it learns the registrations from a peer.
func TestRestartedEntryDoesNotUseATargetThatLeft(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Silent, platformtest.Busy, platformtest.Reset} {
		runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
			f.configure(1, rule("book", "/b/", "unsafe", `,"service":"s1"`), rule("other", "/o/", "unsafe", `,"service":"s2"`))
			left := f.target("t1", "s1", "a1", nil)
			f.target("t2", "s1", "a1", nil)
			settle()
			f.stop("e1")
			left.Register(f.store, "draining", 0)
			settle()
			f.store.Remove("servers/t1")
			left.ID, left.Service = "t3", "s2" // Another target has the address now.
			left.Register(f.store, "ready", 0)
			settle()
			f.store.SetFault(fault)
			before := len(left.Runs())
			f.start("e1", "a2")
			settle()
			for i := range 20 {
				if got := f.call("e1", "POST", "/b/", object(fmt.Sprint(i))); got.status != http.StatusOK {
					t.Errorf("fault %d: order %d: %v", fault, i, got)
				}
			}
			if n := len(left.Runs()) - before; n > 0 {
				t.Errorf("fault %d: %d orders ran at the address of the target that left", fault, n)
			}
			if got := f.call("e1", "POST", "/o/"); got.status != http.StatusOK {
				t.Errorf("fault %d: the address's new target: %v", fault, got)
			}
			f.store.SetFault(platformtest.None)
			settle()
		})
	}
}

// Guards against an entry that never learns of a removal because it reads on from a peer that was restarted after it.
func TestEntryLearnsOfRemovalsFromARestartedPeer(t *testing.T) {
	runFleet(t, []string{"a1", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		f.target("t1", "s1", "a1", nil)
		gone := f.target("t2", "s1", "a1", nil)
		settle()
		f.stop("e0")
		f.failStoreFor("10.2.0.2", platformtest.Silent)
		f.store.Remove("servers/t2")
		f.start("e0", "a1")
		time.Sleep(6 * time.Second)
		seen := gone.ArrivalCount()
		sendFor(f, 2, 2*time.Second)
		f.store.SetFault(platformtest.None)
		time.Sleep(6 * time.Second)
		sendFor(f, 2, 2*time.Second)
		if n := gone.ArrivalCount() - seen; n > 0 {
			t.Errorf("%d requests to a target that was removed", n)
		}
	})
}
