package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against a configuration version that arrives late, is replaced by an older one or by one that cannot be decoded,
// or is dropped when its key is removed.
func TestVersionsNeverFallBack(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
		f.target("t1", "s1", "a1", nil)
		f.target("t2", "s2", "a1", nil)
		f.configure(7, rule("read", "/r/", "safe", `,"service":"s1"`))
		settle()
		f.configure(9, rule("read", "/r/", "safe", `,"service":"s2"`))
		settle()
		check := func(when string) {
			for _, e := range []string{"e0", "e1", "e2"} {
				if got := f.call(e, "GET", "/r/"); !strings.HasPrefix(got.body, "t2") {
					t.Errorf("%s, %s: %v", when, e, got)
				}
			}
		}
		check("new version")
		f.configure(8, rule("read", "/r/", "safe", `,"service":"s1"`))
		settle()
		check("older version")
		f.store.Set("op/config", `{"version":`)
		settle()
		check("unreadable version")
		if !f.log.has("name=item-invalid key=op/config") {
			t.Error("the unreadable version is not logged with its key")
		}
		f.store.Remove("op/config")
		settle()
		check("removed version")
	})
}

// Guards against a registration that cannot be decoded and prevents the others from being applied.
func TestUnreadableRegistrationsAreSkipped(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		f.store.Set("servers/odd", `{"address":5}`)
		f.target("t1", "s1", "a1", nil)
		settle()
		if got := f.call("e0", "GET", "/r/"); got.status != http.StatusOK {
			t.Errorf("%v", got)
		}
		if !f.log.has("name=item-invalid key=servers/odd") {
			t.Error("the registration is not logged with its key")
		}
	})
}

// Guards against registrations by another writer that end an entry, stop it from following the store, hide sound
// registrations beside them, or are used as targets. Each is logged once, with its key.
func TestForeignRegistrationsAreNoTargets(t *testing.T) {
	const whole = `{"address":"10.1.0.9:80","born":1,"info":{"service":"s1","version":"v1","zone":"a1","slots":3},"status":{"state":"ready","sequence":%d,"coldLeftS":0}}`
	runFleet(t, []string{"a1", "a2"}, func(f *fleet) {
		foreign := 0
		f.serve("10.1.0.9:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { foreign++; w.WriteHeader(http.StatusNotFound) }))
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`), rule("other", "/o/", "safe", `,"service":"s2"`))
		f.target("t1", "s1", "a1", nil)
		write := func(sequence int) {
			sound := fmt.Sprintf(whole, sequence)
			for i, change := range []struct{ from, to string }{
				{`"version":"v1",`, ""},
				{fmt.Sprintf(`"sequence":%d,`, sequence), ""},
				{`"v1"`, strings.Repeat("[", 50_000)},
				{`"v1"`, strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000)},
				{`"slots":3`, `"slots":9223372036854775807`},
				{`"slots":3`, `"slots":` + strings.Repeat("9", 5_000)},
				{`"coldLeftS":0`, `"coldLeftS":1e300`},
				{`10.1.0.9:80`, `10.1.0.9:70000`},
				{`10.1.0.9:80`, `10.1.0.9:0`},
				{sound, "\xff\xfe"},
			} {
				f.store.Set(fmt.Sprint("servers/odd", i, "."), strings.Replace(sound, change.from, change.to, 1))
			}
			f.store.Set("servers/a\r\nX-Added: 1", sound)
		}
		write(1)
		settle()
		for range 5 {
			write(2)
			settle()
		}
		f.target("t2", "s2", "a1", nil)
		settle()
		for i := range 40 {
			for path, served := range map[string]string{"/r/": "t1", "/o/": "t2"} {
				if got := f.call(fmt.Sprint("e", i%2), "GET", path, object(fmt.Sprint(i))); !strings.HasPrefix(got.body, served) {
					t.Errorf("%s: %v", path, got)
				}
			}
		}
		if foreign > 0 {
			t.Errorf("%d requests at the address of no target", foreign)
		}
		for i := range 10 {
			if n := f.log.count(fmt.Sprint("name=item-invalid key=servers/odd", i, ".")); n != 2 {
				t.Errorf("registration %d is logged %d times by two entries", i, n)
			}
		}
	})
}

// Guards against an entry that gets no updates while the store rejects its calls but answers others.
func TestEntriesThatTheStoreTurnsAwayFollowTheirPeers(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Silent, platformtest.Busy, platformtest.Reset} {
		runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
			f.target("t1", "s1", "a1", nil)
			f.target("t2", "s2", "a1", nil)
			f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
			settle()
			f.failStoreFor("10.2.0.1", fault)
			time.Sleep(3 * time.Second)
			f.configure(2, rule("read", "/r/", "safe", `,"service":"s2"`))
			settle()
			for _, e := range []string{"e0", "e1", "e2"} {
				if got := f.call(e, "GET", "/r/"); !strings.HasPrefix(got.body, "t2") {
					t.Errorf("fault %d, %s: %v", fault, e, got)
				}
			}
			f.store.SetFault(platformtest.None)
			settle()
		})
	}
}

// Guards against an entry that cannot serve after a restart during a store outage, and
// against one without a configuration that answers 404 instead of 503.
func TestEntriesStartWhileTheStoreIsDown(t *testing.T) {
	runFleet(t, []string{"a1", "a2"}, func(f *fleet) {
		f.target("t1", "s1", "a1", nil)
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		settle()
		f.stop("e1")
		f.store.SetFault(platformtest.Silent)
		f.start("e1", "a2")
		settle()
		if got := f.call("e1", "GET", "/r/"); got.status != http.StatusOK {
			t.Errorf("with a peer: %v", got)
		}
		f.stop("e0")
		f.stop("e1")
		f.start("e1", "a2")
		settle()
		if got := f.call("e1", "GET", "/r/"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("without a peer: %v", got)
		}
		f.store.SetFault(platformtest.None)
		time.Sleep(4 * time.Second)
		if got := f.call("e1", "GET", "/r/"); got.status != http.StatusOK {
			t.Errorf("after the outage: %v", got)
		}
		f.start("e0", "a1")
	})
}

// Guards against an entry that is missing from lookups after its registration was removed or the answer
// to its lease grant was lost, and against a stopping one that lookups still name.
func TestEntriesRegisterAgain(t *testing.T) {
	runFleet(t, []string{"a1", "a2"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		settle()
		both := []string{"entries/e0", "entries/e1"}
		if got := f.store.Keys("entries/"); !slices.Equal(got, both) {
			t.Errorf("registered %v", got)
		}
		f.store.Remove("entries/e1")
		time.Sleep(3 * time.Second)
		if got := f.store.Keys("entries/"); !slices.Equal(got, both) {
			t.Errorf("registered %v after a removal", got)
		}
		f.store.SetFault(platformtest.LostResponse)
		time.Sleep(5 * time.Second)
		f.store.SetFault(platformtest.None)
		time.Sleep(4 * time.Second)
		if got := f.store.Keys("entries/"); !slices.Equal(got, both) {
			t.Errorf("registered %v after lost answers", got)
		}
		f.entries["e1"].stop()
		time.Sleep(time.Second)
		if got := f.getPage("e0", 82, "/v1/resolve?name=h&region=a&zone=a1"); strings.Contains(got.body, address(2, 80)) {
			t.Errorf("look-up a second after the signal to stop: %v", got)
		}
	})
}

// Guards against entries that each watch the store although one entry of the region reads it for all.
func TestOneEntryPerRegionReadsTheStore(t *testing.T) {
	runFleet(t, []string{"a1", "a1", "a2", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		time.Sleep(10 * time.Second)
		before := f.store.Calls("/v1/kv-watch")
		time.Sleep(20 * time.Second)
		if n := f.store.Calls("/v1/kv-watch") - before; n > 22 {
			t.Errorf("%d watches in 20 s, want those of two readers that wait 2 s each", n)
		}
	})
}

// Guards against a version that arrives late at entries whose reader loses its connection
// to the store just before it, and against entries that abandon a healthy reader.
func TestEntriesAbandonAReaderCutOffFromTheStore(t *testing.T) {
	runFleet(t, []string{"a1", "a1", "a2"}, func(f *fleet) {
		f.target("t1", "s1", "a1", nil)
		f.target("t2", "s2", "a1", nil)
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		time.Sleep(20 * time.Second)
		if f.log.has("name=reader-left") {
			t.Error("a healthy reader was abandoned")
		}
		f.failStoreFor("10.2.0.1", platformtest.Silent)
		f.configure(2, rule("read", "/r/", "safe", `,"service":"s2"`))
		time.Sleep(1900 * time.Millisecond)
		for _, e := range []string{"e1", "e2"} {
			if got := f.call(e, "GET", "/r/"); !strings.HasPrefix(got.body, "t2") {
				t.Errorf("%s after 1.9 s: %v", e, got)
			}
		}
		f.store.SetFault(platformtest.None)
	})
}

// Guards against entries that still wait for calls made during an outage after the
// store has recovered: an evacuation delayed by the outage would end before they read it.
func TestEntriesReadTheStoreSoonAfterAnOutage(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Silent, platformtest.Busy, platformtest.Reset} {
		runFleet(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
			f.target("t1", "s1", "a1", nil)
			f.target("t2", "s2", "a1", nil)
			settle()
			for i := range 8 {
				version, service, served := 2*i+1, "s1", "t1"
				if i%2 == 1 {
					service, served = "s2", "t2"
				}
				f.store.SetFault(fault)
				time.Sleep(5*time.Second + time.Duration(i)*330*time.Millisecond)
				f.store.SetFault(platformtest.None)
				f.configure(version, rule("read", "/r/", "safe", fmt.Sprintf(`,"service":%q`, service)))
				time.Sleep(time.Second)
				for _, e := range []string{"e0", "e1", "e2"} {
					if got := f.call(e, "GET", "/r/"); !strings.HasPrefix(got.body, served) {
						t.Errorf("fault %d, outage %d, %s a second after it: %v", fault, i, e, got)
					}
				}
				time.Sleep(5 * time.Second)
			}
		})
	}
}

// Guards against an entry that starts during an outage, without a peer,
// and refuses callers long after the store has recovered.
func TestEntriesServeSoonAfterAnOutageAtTheirStart(t *testing.T) {
	for i := range 8 {
		runFleet(t, []string{"a1"}, func(f *fleet) {
			f.target("t1", "s1", "a1", nil)
			f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
			f.stop("e0")
			f.store.SetFault(platformtest.Silent)
			f.start("e0", "a1")
			time.Sleep(time.Duration(i) * 330 * time.Millisecond)
			f.store.SetFault(platformtest.None)
			time.Sleep(time.Second)
			if got := f.call("e0", "GET", "/r/"); got.status != http.StatusOK {
				t.Errorf("outage %d, a second after it: %v", i, got)
			}
		})
	}
}

// Guards against versions that arrive late at the entries of a large region,
// which request changes from an entry of their zone, also when the region's reader
// is cut off from the store.
func TestLargeRegionsReceiveVersionsInTime(t *testing.T) {
	zones := slices.Concat(slices.Repeat([]string{"a1"}, 30), slices.Repeat([]string{"a2"}, 14))
	runFleet(t, zones, func(f *fleet) {
		f.target("t1", "s1", "a1", nil)
		f.target("t2", "s2", "a1", nil)
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		time.Sleep(20 * time.Second)
		if f.log.has("name=reader-left") {
			t.Error("a healthy reader was abandoned")
		}
		check := func(when, want string) {
			t.Helper()
			for e := range f.entries {
				if got := f.call(e, "GET", "/r/"); e != "e0" && !strings.HasPrefix(got.body, want) {
					t.Errorf("%s, %s: %v", e, when, got)
				}
			}
		}
		f.configure(2, rule("read", "/r/", "safe", `,"service":"s2"`))
		time.Sleep(500 * time.Millisecond)
		check("0.5 s after a version", "t2")
		f.failStoreFor("10.2.0.1", platformtest.Silent)
		f.configure(3, rule("read", "/r/", "safe", `,"service":"s1"`))
		time.Sleep(2500 * time.Millisecond)
		check("2.5 s after a version, the reader cut off", "t1")
		f.store.SetFault(platformtest.None)
	})
}
