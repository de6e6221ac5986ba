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

// Guards against a version that is late, falls back, or is replaced by one that cannot be read.
func TestVersionsNeverFallBack(t *testing.T) {
	play(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
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

// Guards against a registration that cannot be read and takes the others with it.
func TestUnreadableRegistrationsAreSkipped(t *testing.T) {
	play(t, []string{"a1"}, func(f *fleet) {
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

// Guards against an entry that learns nothing while the store turns it away and answers others.
func TestEntriesThatTheStoreTurnsAwayFollowTheirPeers(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Silent, platformtest.Busy, platformtest.Reset} {
		play(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
			f.target("t1", "s1", "a1", nil)
			f.target("t2", "s2", "a1", nil)
			f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
			settle()
			f.cutOff("10.2.0.1", fault)
			time.Sleep(3 * time.Second)
			f.configure(2, rule("read", "/r/", "safe", `,"service":"s2"`))
			settle()
			for _, e := range []string{"e0", "e1", "e2"} {
				if got := f.call(e, "GET", "/r/"); !strings.HasPrefix(got.body, "t2") {
					t.Errorf("fault %d, %s: %v", fault, e, got)
				}
			}
			f.store.Fail(platformtest.None)
			settle()
		})
	}
}

// Guards against an entry that is replaced while the store is down and cannot
// serve, and against one that denies rules when it knows none.
func TestEntriesStartWhileTheStoreIsDown(t *testing.T) {
	play(t, []string{"a1", "a2"}, func(f *fleet) {
		f.target("t1", "s1", "a1", nil)
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		settle()
		f.stop("e1")
		f.store.Fail(platformtest.Silent)
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
		f.store.Fail(platformtest.None)
		time.Sleep(4 * time.Second)
		if got := f.call("e1", "GET", "/r/"); got.status != http.StatusOK {
			t.Errorf("with the store back: %v", got)
		}
		f.start("e0", "a1")
	})
}

// Guards against an entry that stays out of look-ups when the store took its
// registration away or lost the answer that granted it, and against a stopped one that stays in.
func TestEntriesRegisterAgain(t *testing.T) {
	play(t, []string{"a1", "a2"}, func(f *fleet) {
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
		f.store.Fail(platformtest.Lost)
		time.Sleep(5 * time.Second)
		f.store.Fail(platformtest.None)
		time.Sleep(4 * time.Second)
		if got := f.store.Keys("entries/"); !slices.Equal(got, both) {
			t.Errorf("registered %v after lost answers", got)
		}
		f.entries["e1"].stop()
		time.Sleep(time.Second)
		if got := f.page("e0", 82, "/v1/resolve?name=h&region=a&zone=a1"); strings.Contains(got.body, address(2, 80)) {
			t.Errorf("look-up a second after the signal to stop: %v", got)
		}
	})
}

// Guards against entries that each call the store for what one of the region could read for all.
func TestOneEntryARegionReadsTheStore(t *testing.T) {
	play(t, []string{"a1", "a1", "a2", "a2", "b1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		time.Sleep(10 * time.Second)
		before := f.store.Calls("/v1/kv-watch")
		time.Sleep(20 * time.Second)
		if n := f.store.Calls("/v1/kv-watch") - before; n > 22 {
			t.Errorf("%d watches in 20 s, want those of two readers that wait 2 s each", n)
		}
	})
}

// Guards against a version that comes late to entries whose reader is cut off
// from the store just before it, and against entries that leave a sound reader.
func TestEntriesLeaveAReaderThatIsCutOff(t *testing.T) {
	play(t, []string{"a1", "a1", "a2"}, func(f *fleet) {
		f.target("t1", "s1", "a1", nil)
		f.target("t2", "s2", "a1", nil)
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		time.Sleep(20 * time.Second)
		if f.log.has("name=reader-left") {
			t.Error("a sound reader was left")
		}
		f.cutOff("10.2.0.1", platformtest.Silent)
		f.configure(2, rule("read", "/r/", "safe", `,"service":"s2"`))
		time.Sleep(1900 * time.Millisecond)
		for _, e := range []string{"e1", "e2"} {
			if got := f.call(e, "GET", "/r/"); !strings.HasPrefix(got.body, "t2") {
				t.Errorf("%s after 1.9 s: %v", e, got)
			}
		}
		f.store.Fail(platformtest.None)
	})
}

// Guards against entries that go on waiting for calls of the outage after the
// store is back: an evacuation that was held up by it ends before they read it.
func TestEntriesHearTheStoreSoonAfterItsReturn(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Silent, platformtest.Busy, platformtest.Reset} {
		play(t, []string{"a1", "a2", "b1"}, func(f *fleet) {
			f.target("t1", "s1", "a1", nil)
			f.target("t2", "s2", "a1", nil)
			settle()
			for i := range 8 {
				version, service, served := 2*i+1, "s1", "t1"
				if i%2 == 1 {
					service, served = "s2", "t2"
				}
				f.store.Fail(fault)
				time.Sleep(5*time.Second + time.Duration(i)*330*time.Millisecond)
				f.store.Fail(platformtest.None)
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

// Guards against an entry that starts during an outage, with no other to ask,
// and refuses callers long after the store is back.
func TestEntriesServeSoonAfterAnOutageAtTheirStart(t *testing.T) {
	for i := range 8 {
		play(t, []string{"a1"}, func(f *fleet) {
			f.target("t1", "s1", "a1", nil)
			f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
			f.stop("e0")
			f.store.Fail(platformtest.Silent)
			f.start("e0", "a1")
			time.Sleep(time.Duration(i) * 330 * time.Millisecond)
			f.store.Fail(platformtest.None)
			time.Sleep(time.Second)
			if got := f.call("e0", "GET", "/r/"); got.status != http.StatusOK {
				t.Errorf("outage %d, a second after it: %v", i, got)
			}
		})
	}
}

// Guards against versions that come late to the entries of a large region,
// which ask an entry of their zone, also when the one that reads the store is
// cut off from it.
func TestLargeRegionsHearVersionsInTime(t *testing.T) {
	zones := slices.Concat(slices.Repeat([]string{"a1"}, 30), slices.Repeat([]string{"a2"}, 14))
	play(t, zones, func(f *fleet) {
		f.target("t1", "s1", "a1", nil)
		f.target("t2", "s2", "a1", nil)
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		time.Sleep(20 * time.Second)
		if f.log.has("name=reader-left") {
			t.Error("a sound reader was left")
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
		f.cutOff("10.2.0.1", platformtest.Silent)
		f.configure(3, rule("read", "/r/", "safe", `,"service":"s1"`))
		time.Sleep(2500 * time.Millisecond)
		check("2.5 s after a version, the reader cut off", "t1")
		f.store.Fail(platformtest.None)
	})
}
