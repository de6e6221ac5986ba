package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against an entry that lets less urgent requests use the retries, or refuses callers with short delays, while
// targets reject all requests, and against one that changes either where all requests have the same priority.
func TestRetriesAndDelaysWhileTargetsReject(t *testing.T) {
	for name, priority := range map[string]string{"one priority": "", "two priorities": `,"priority":2`} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"a1"}, func(f *fleet) {
				f.configure(1, rule("urgent", "/u/", "safe", `,"service":"s1"`), rule("other", "/o/", "safe", `,"service":"s1"`+priority))
				var targets []*platformtest.Target
				for i := range 4 {
					targets = append(targets, f.target(fmt.Sprint("t", i), "s1", "a1", nil))
				}
				settle()
				f.earnRetries("e0", 30, "/u/")
				for _, x := range targets {
					x.SetBehavior(platformtest.Full)
				}
				var longest time.Duration
				for i := range 20 {
					path := "/o/"
					if i%4 == 3 {
						path = "/u/"
					}
					got := f.call("e0", "GET", path, object(fmt.Sprint(i)))
					after, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					if got.status != http.StatusServiceUnavailable || after > 1.67 {
						t.Errorf("%s: %v, come back after %v s", path, got, after)
					}
					longest = max(longest, time.Duration(after*float64(time.Second)))
				}
				reserved, ordered := f.metric("e0", "admission.retries-reserved"), f.metric("e0", "admission.returns-ordered")
				if contended := priority != ""; (reserved > 0) != contended || (ordered > 0) != contended || (longest > 150*time.Millisecond) != contended {
					t.Errorf("%d retries reserved, %d delays ordered, the longest %v", reserved, ordered, longest)
				}
			})
		})
	}
}

// Guards against an entry that sends requests to a queue in which they cannot be answered within the rule's timeout, and
// against one that refuses them before it knows how long the work takes.
func TestRequestsThatWouldBeCutAreRefused(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		const limit = `,"service":"s1","timeoutS":0.5`
		f.configure(1, rule("urgent", "/u/", "safe", limit), rule("other", "/o/", "safe", limit+`,"priority":2`))
		x := f.target("t", "s1", "a1", func(x *platformtest.Target) { x.ServiceTime = 400 * time.Millisecond })
		settle()
		// flood sends requests at the same time and returns how many had each status.
		flood := func(n int) map[int]int {
			var mu sync.Mutex
			var all sync.WaitGroup
			statuses := make(map[int]int)
			for i := range n {
				all.Go(func() {
					got := f.callAs(fmt.Sprint("flood-", time.Now().UnixNano(), "-", i), "e0", "GET", "/u/", object("a"))
					mu.Lock()
					defer mu.Unlock()
					statuses[got.status]++
				})
				time.Sleep(time.Millisecond)
			}
			all.Wait()
			return statuses
		}
		if got := flood(9); got[http.StatusServiceUnavailable] > 0 {
			t.Errorf("before the work time is known: %v", got)
		}
		for range 6 {
			f.call("e0", "GET", "/u/", object("a"))
		}
		before := len(x.Runs())
		got := flood(9)
		if late := f.metric("e0", "admission.late"); got[http.StatusServiceUnavailable] < 3 || late != got[http.StatusServiceUnavailable] || got[http.StatusOK] < 3 {
			t.Errorf("%v, %d refused because they would be late, %d runs", got, late, len(x.Runs())-before)
		}
	})
}
