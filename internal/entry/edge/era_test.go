package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// drill is what the operators and the targets wrote after the copy from which the store is restored.
type drill struct {
	f                               *fleet
	kept, late, left, gone, evacuee *platformtest.Target
	returned                        *platformtest.Target
}

// prepareDrill makes a copy of the store, which states an era, and lets everything change after it.
func prepareDrill(f *fleet) *drill {
	quick := func(x *platformtest.Target) { x.ServiceTime = time.Millisecond }
	f.store.SetEra(1)
	f.configure(1, rule("read", "/r/", "safe", `,"service":"s2"`))
	d := &drill{f: f}
	d.kept, d.left, d.gone = f.target("t1", "s1", "a1", quick), f.target("t2", "s1", "a1", quick), f.target("t3", "s1", "a1", quick)
	d.evacuee, d.returned = f.target("t4", "s1", "a2", quick), f.target("t5", "s1", "b1", quick)
	f.target("t6", "s2", "a1", quick)
	f.store.Set("op/evacuate/b1", "{}")
	settle()
	f.store.Backup()
	f.configure(2, rule("read", "/r/", "safe", `,"service":"s1"`))
	f.store.Set("op/evacuate/a2", "{}")
	f.store.Remove("op/evacuate/b1")
	d.late = f.target("t7", "s1", "a1", quick)
	d.left.Register(f.store, "draining", 0)
	d.gone.Register(f.store, "ready", 0)
	d.kept.Register(f.store, "ready", 0)
	settle()
	f.store.Remove("servers/t3")
	time.Sleep(5 * time.Second)
	return d
}

// writeAgain makes the operators and the targets write what they wrote after the copy.
func (d *drill) writeAgain() {
	d.f.configure(2, rule("read", "/r/", "safe", `,"service":"s1"`))
	d.f.store.Set("op/evacuate/a2", "{}")
	d.f.store.Remove("op/evacuate/b1")
	d.f.store.Remove("servers/t3")
	d.kept.Register(d.f.store, "ready", 0)
	d.late.Register(d.f.store, "ready", 0)
	d.left.Register(d.f.store, "draining", 0)
}

// check sends requests for the given time and reports what only the older copy allows.
func (d *drill) check(t *testing.T, when string, entries int, length time.Duration) {
	t.Helper()
	unusable := map[string]*platformtest.Target{"that is leaving": d.left, "that is gone": d.gone, "in an evacuated zone": d.evacuee}
	before := make(map[string]int)
	for what, x := range unusable {
		before[what] = x.ArrivalCount()
	}
	returned := d.returned.ArrivalCount()
	if failed := sendFor(d.f, entries, length); failed > 0 {
		t.Errorf("%s: %d requests failed", when, failed)
	}
	for what, x := range unusable {
		if n := x.ArrivalCount() - before[what]; n > 0 {
			t.Errorf("%s: %d requests to a target %s", when, n, what)
		}
	}
	if length >= time.Second && d.returned.ArrivalCount() == returned {
		t.Errorf("%s: no request to a target in a zone whose evacuation has ended", when)
	}
	for i := range entries {
		if got := d.f.getPage(fmt.Sprint("e", i), 82, "/v1/resolve?name=h&region=a&zone=a1").body; !strings.Contains(got, "10.2.0.1:80") || !strings.Contains(got, "10.2.0.2:80") {
			t.Errorf("%s: e%d names %s", when, i, got)
		}
	}
}

// Guards against what callers see when the store is restored from an older copy: an entry that keeps nothing but the
// store's content goes back to an older configuration, uses targets that have left, and reverses evacuations. One that
// compares revisions only drops the copy as old, and misses what is written under revisions that are assigned again.
func TestNothingRevertsWhenTheStoreIsRestored(t *testing.T) {
	for _, c := range []struct {
		name    string
		restore func(f *fleet, d *drill)
	}{
		{"at once", func(f *fleet, _ *drill) { f.store.Restore() }},
		{"after a moment", func(f *fleet, _ *drill) {
			f.store.SetFault(platformtest.Reset)
			time.Sleep(1500 * time.Millisecond)
			f.store.Restore()
			f.store.SetFault(platformtest.None)
		}},
		{"twice", func(f *fleet, d *drill) {
			f.store.Restore()
			d.check(t, "between", 3, time.Second)
			f.store.Restore()
		}},
		{"revisions beyond the old ones", func(f *fleet, _ *drill) {
			f.store.SetFault(platformtest.Silent)
			f.store.Restore()
			for i := range 200 {
				f.store.Set("other", fmt.Sprint(i))
			}
			f.store.SetFault(platformtest.None)
		}},
		{"seen by one entry first", func(f *fleet, _ *drill) {
			f.serveOnlyFirst(1)
			f.store.Restore()
			time.Sleep(time.Second)
			f.store.SetFault(platformtest.None)
		}},
	} {
		runFleet(t, []string{"a1", "a1", "b1"}, func(f *fleet) {
			d := prepareDrill(f)
			d.check(t, c.name+", before", 3, time.Second)
			c.restore(f, d)
			d.check(t, c.name+", just after", 3, time.Second)
			used := d.late.ArrivalCount()
			d.check(t, c.name+", within the lapse", 3, 500*time.Millisecond)
			// The first of two restorations has ended its registration for longer than a lapse.
			if d.late.ArrivalCount() == used && c.name != "twice" {
				t.Errorf("%s: no request to a target that registered after the copy", c.name)
			}
			d.check(t, c.name+", after the lapse", 3, 3*time.Second)
			d.writeAgain()
			time.Sleep(time.Second)
			used = d.late.ArrivalCount()
			d.check(t, c.name+", written again", 3, 12*time.Second)
			if d.late.ArrivalCount() == used {
				t.Errorf("%s: no request to a target that has registered again", c.name)
			}
			if n := f.log.count("name=era-changed"); n < 3 || f.log.count("name=era-settled") < 3 {
				t.Errorf("%s: %d changes of the era, %d settled", c.name, n, f.log.count("name=era-settled"))
			}
			f.configure(3, rule("read", "/r/", "safe", `,"service":"s2"`))
			f.store.Remove("op/evacuate/a2")
			settle()
			for i := range 3 {
				if got := f.call(fmt.Sprint("e", i), "GET", "/r/"); !strings.HasPrefix(got.body, "t6") {
					t.Errorf("%s: e%d: %v, want the next configuration", c.name, i, got)
				}
			}
		})
	}
}

// Guards against earlier knowledge that outlives the restored store: what nobody writes again is lost after the hold.
func TestWhatIsNotWrittenAgainIsForgotten(t *testing.T) {
	runFleet(t, []string{"a1", "a1", "b1"}, func(f *fleet) {
		d := prepareDrill(f)
		f.store.Restore()
		d.kept.Register(f.store, "ready", 0)
		time.Sleep(12 * time.Second)
		evacuee, returned := d.evacuee.ArrivalCount(), d.returned.ArrivalCount()
		sendFor(f, 3, 5*time.Second)
		if d.evacuee.ArrivalCount() == evacuee || d.returned.ArrivalCount() > returned {
			t.Errorf("%d requests to a zone whose evacuation was lost, %d to one whose end was lost", d.evacuee.ArrivalCount()-evacuee, d.returned.ArrivalCount()-returned)
		}
	})
}

// Guards against an entry that stays without a registration, or is missing from look-ups, because the store has lost its
// lease, and against calls to the store from every entry at the same moment.
func TestEntriesRegisterAgainWhenTheStoreHasLostThem(t *testing.T) {
	runFleet(t, []string{"a1", "a1", "a1", "a1", "a1", "b1"}, func(f *fleet) {
		f.store.SetEra(1)
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		settle()
		f.store.Backup()
		f.start("e6", "b1")
		f.stop("e5")
		time.Sleep(4 * time.Second)
		reads := f.store.Calls("/v1/kv-range") + f.store.Calls("/v1/kv-watch")
		grants := f.store.Calls("/v1/kv-lease")
		f.store.Restore()
		f.failStoreFor("10.2.0.7", platformtest.Reset)
		time.AfterFunc(1800*time.Millisecond, func() { f.store.SetFault(platformtest.None) })
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for i := range 5 {
				got := f.getPage(fmt.Sprint("e", i), 82, "/v1/resolve?name=h&region=b&zone=b1").body
				if strings.Contains(got, "10.2.0.6:80") || !strings.Contains(got, "10.2.0.7:80") {
					t.Errorf("e%d names %s, want e6, which registered after the copy, and not e5, which has stopped", i, got)
				}
			}
		}
		if keys := f.store.Keys("entries/"); len(keys) != 6 {
			t.Errorf("registered are %v, want e0 to e4 and e6", keys)
		}
		// One entry of the region reads for the others: three pages or fewer, and the watches of 4 s.
		if n := f.store.Calls("/v1/kv-range") + f.store.Calls("/v1/kv-watch") - reads; n > 20 {
			t.Errorf("%d reads in 4 s", n)
		}
		if n := f.store.Calls("/v1/kv-lease") - grants; n > 2 {
			t.Errorf("%d leases granted, want one for the entry that lost its registration", n)
		}
	})
}

// Guards against an entry that goes by the older configuration, with keys that were revoked, because it was restarted or
// cut off when the newer one was written, and learns only the copy from the restored store.
func TestOtherEntriesPassOnTheConfigurationThatTheStoreHasLost(t *testing.T) {
	runFleet(t, []string{"a1", "a1", "a1"}, func(f *fleet) {
		prepareDrill(f)
		f.stop("e1")
		f.store.Restore()
		time.Sleep(time.Second)
		f.start("e1", "a1")
		time.Sleep(1500 * time.Millisecond)
		if got := f.call("e1", "GET", "/r/"); strings.HasPrefix(got.body, "t6") || got.status != http.StatusOK {
			t.Errorf("%v, want the configuration that e0 and e2 keep", got)
		}
		f.configure(3, rule("read", "/r/", "safe", `,"service":"s2"`))
		settle()
		for i := range 3 {
			if got := f.call(fmt.Sprint("e", i), "GET", "/r/"); !strings.HasPrefix(got.body, "t6") {
				t.Errorf("e%d: %v, want the next configuration", i, got)
			}
		}
	})
}

// Guards against an entry that mistakes a store without eras for a restored one.
func TestStoreWithoutErasIsFollowedAsBefore(t *testing.T) {
	runFleet(t, []string{"a1", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		f.target("t1", "s1", "a1", nil)
		settle()
		f.store.Compact()
		time.Sleep(3 * time.Second)
		if got := f.call("e1", "GET", "/r/"); got.status != http.StatusOK || f.log.has("name=era-") {
			t.Errorf("%v, era logged: %v", got, f.log.has("name=era-"))
		}
	})
}
