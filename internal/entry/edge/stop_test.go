package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against a planned stop under load that resets connections which are established but not accepted yet when
// the listener closes, during an outage of the store as well: every caller gets its answer or a refusal that is true.
func TestPlannedStopAnswersConnectionsInTheBacklog(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.None, platformtest.Silent} {
		runFleet(t, []string{"a1", "a2"}, func(f *fleet) {
			target := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.Slots = 40 })
			f.configure(1, rule("book", "/b/", "unsafe", `,"service":"s1"`))
			settle()
			f.store.SetFault(fault)
			f.net.SetAcceptTime(10 * time.Millisecond)
			f.entries["e0"].stop()
			time.Sleep(2400 * time.Millisecond)
			const callers = 30
			answers := make(chan answer, callers)
			for i := range callers {
				go func() { answers <- f.callAs(fmt.Sprint("id-", i), "e0", "POST", "/b/") }()
			}
			answered := 0
			for range callers {
				switch got := <-answers; {
				case got.err != nil:
					t.Errorf("store %v: a caller's connection is cut: %v", fault, got)
				case got.status == http.StatusOK:
					answered++
				case got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "":
					t.Errorf("store %v: %v", fault, got)
				}
			}
			if n := len(target.Runs()); n != answered {
				t.Errorf("store %v: %d requests ran and %d callers have their answer", fault, n, answered)
			}
			<-f.entries["e0"].done
			f.store.SetFault(platformtest.None)
			time.Sleep(5 * time.Second)
		})
	}
}
