package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against a region that keeps an old version, or goes back to one, because its reader is cut one way or returns.
func TestVersionsArriveWhileTheReaderIsCutOneWay(t *testing.T) {
	const limit = 2 * time.Second
	const reader = "10.2.0.1"
	cuts := map[string]struct{ store, calls bool }{
		"from the store's answers": {store: true}, "from calls": {calls: true}, "from both": {store: true, calls: true},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"a1", "a1", "a2", "b1"}, func(f *fleet) {
				f.target("t0", "s1", "a1", nil)
				f.target("t1", "s2", "a1", nil)
				settle()
				version := 0
				configure := func() {
					version++
					f.configure(version, rule("read", "/r/", "safe", fmt.Sprintf(`,"service":"s%d"`, version%2+1)))
				}
				expect := func(when string, entries ...string) {
					for _, e := range entries {
						if got := f.call(e, "GET", "/r/", object(when)); !strings.HasPrefix(got.body, fmt.Sprint("t", version%2)) {
							t.Errorf("%s, version %d, %s: %v", when, version, e, got)
						}
					}
				}
				configure()
				time.Sleep(20 * time.Second)
				expect("before the cut", "e0", "e1", "e2", "e3")
				if cut.store {
					f.failStoreFor(reader, platformtest.LostResponse)
				}
				f.net.SetUnreachable(reader+":83", cut.calls)
				if cut.calls {
					f.net.CloseConns(reader + ":83")
				}
				for range 3 {
					configure()
					time.Sleep(limit)
					expect("during the cut", "e1", "e2", "e3")
				}
				f.store.SetFault(platformtest.None)
				f.net.SetUnreachable(reader+":83", false)
				for range 3 {
					configure()
					time.Sleep(limit)
					expect("after the cut", "e0", "e1", "e2", "e3")
				}
			})
		})
	}
}
