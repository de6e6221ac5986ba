package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against accounts without owners for several seconds after all entries were killed together, and against an entry
// that goes on owning accounts after a restart although another one may have become their owner meanwhile: also one that does not count the
// registration, because it ended in what a restored store has lost. Also against
// a registration whose age is taken from the clock of another VM.
func TestOwnersGoOnAfterARestart(t *testing.T) {
	const uptime = time.Hour // uptime is that of the VMs at the start of the test.
	zones := []string{"a1", "a2", "b1"}
	register := func(f *fleet, age time.Duration, peerPort int, rest string) {
		for i, zone := range zones {
			f.store.Set(fmt.Sprint("entries/e", i), fmt.Sprintf(`{"name":"e%d","zone":%q,"region":%q,"call":%q,"peer":%q,"strength":1,"since":%d%s}`,
				i, zone, regions[zone], address(i+1, 80), address(i+1, peerPort), (uptime-age).Milliseconds(), rest))
		}
	}
	for name, c := range map[string]struct {
		age    time.Duration // age is that of the registrations of the earlier processes.
		change func(f *fleet)
		goesOn bool
	}{
		"registered for long": {20 * time.Second, func(*fleet) {}, true},
		"registered lately":   {5 * time.Second, func(*fleet) {}, false},
		"another one ended":   {20 * time.Second, func(f *fleet) { f.store.Set("entries/e9", "{}"); f.store.Remove("entries/e9") }, false},
		"store restored":      {20 * time.Second, func(f *fleet) { f.store.Backup(); f.store.Restore() }, false},
		"era stated":          {20 * time.Second, func(f *fleet) { f.store.SetEra(1); register(f, 20*time.Second, 83, `,"era":1`) }, true},
		"of another VM":       {20 * time.Second, func(f *fleet) { register(f, 20*time.Second, 93, "") }, false},
		"history discarded":   {20 * time.Second, func(f *fleet) { f.store.Set("other", "x"); f.store.Set("other", "y"); f.store.Compact() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, nil, func(f *fleet) {
				f.configureAccounts(1, limited(20, 20))
				f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Slots, x.ServiceTime = 100, time.Millisecond })
				register(f, c.age, 83, "")
				c.change(f)
				began := time.Now()
				for i, zone := range zones {
					f.start(fmt.Sprint("e", i), zone)
				}
				var sent []time.Time
				served := 0
				for time.Since(began) < 12*time.Second {
					for i := range zones {
						if f.callQuota(fmt.Sprint("e", i)).status == http.StatusOK {
							sent = append(sent, time.Now())
							if time.Since(began) < 2*time.Second {
								served++
							}
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				if (served > 0) != c.goesOn {
					t.Errorf("%d requests sent in the first 2 s", served)
				}
				if n, bound := worstWindow(sent), int((20*5+20)*1.1+20); n > bound || len(sent) == 0 {
					t.Errorf("%d requests in a window, want at most %d", n, bound)
				}
			})
		})
	}
}

// Guards against a second owner after this entry has read nothing for some time: another one registered meanwhile, became
// an owner and ended, and this entry learns of both at once.
func TestOwnerWaitsAfterARegistrationThatItMissed(t *testing.T) {
	for name, missed := range map[string]bool{"nothing missed": false, "registered and ended": true} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"a1"}, func(f *fleet) {
				f.configureAccounts(1, limited(20, 20))
				f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Slots, x.ServiceTime = 100, time.Millisecond })
				time.Sleep(ownershipTime)
				f.store.SetFaultFunc(func(_, path string) platformtest.Fault {
					if path == "/v1/kv-watch" {
						return platformtest.Busy
					}
					return platformtest.None
				})
				time.Sleep(5 * time.Second)
				if missed {
					f.store.Set("entries/e9", `{"name":"e9","zone":"a1","region":"a","call":"10.2.0.9:80","peer":"10.2.0.9:83","strength":1}`)
				}
				time.Sleep(5 * time.Second)
				f.store.Remove("entries/e9")
				f.store.SetFault(platformtest.None)
				served := 0
				for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
					if f.callQuota("e0").status == http.StatusOK {
						served++
					}
				}
				if (served > 0) == missed {
					t.Errorf("%d requests sent in the first 3 s", served)
				}
			})
		})
	}
}
