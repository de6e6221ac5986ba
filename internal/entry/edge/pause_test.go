package edge_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against an entry that was suspended for longer than its lease and still sends to a cold target: another entry
// paces that target meanwhile, and the two would send too much.
func TestSuspendedEntryNoLongerPaces(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		target := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.ServiceTime = 5 * time.Millisecond })
		time.Sleep(5 * time.Second)
		target.SetCold(time.Hour)
		target.Register(f.store, "ready", time.Hour)
		settle()
		// arrivals sends 20 requests a second and returns how many reached the target.
		arrivals := func(d time.Duration) int {
			before := target.ArrivalCount()
			for began := time.Now(); time.Since(began) < d; time.Sleep(50 * time.Millisecond) {
				f.call("e0", "GET", "/r/", object(fmt.Sprint(time.Now().UnixMilli())))
			}
			return target.ArrivalCount() - before
		}
		if n := arrivals(2 * time.Second); n == 0 {
			t.Error("no request reaches the cold target before the suspension")
		}
		f.suspended.Add(int64(5 * time.Second))
		if n := arrivals(time.Second); n > 0 {
			t.Errorf("%d requests to a cold target in the second after a suspension", n)
		}
		time.Sleep(3 * time.Second)
		if n := arrivals(2 * time.Second); n == 0 {
			t.Error("no request reaches the cold target once the entry's registration is confirmed")
		}
	})
}
