package edge_test

import (
	"bufio"
	"net/http"
	"slices"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against a deadline that ignores the time a pipelined request spends unread behind an unsafe request:
// targets would work on it longer than its caller waits.
func TestTimeQueuedBehindAnUnsafeRequestCounts(t *testing.T) {
	const work = 2 * time.Second
	for _, c := range []struct{ wait, left time.Duration }{{1500 * time.Millisecond, 0}, {3 * time.Second, time.Second}} {
		t.Run(c.wait.String(), func(t *testing.T) {
			runFleet(t, []string{"a1"}, func(f *fleet) {
				f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`), rule("order", "/o/", "unsafe", `,"service":"s1"`))
				target := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.ServiceTime = work })
				settle()
				requests := []platformtest.Request{
					{Host: "h", Method: http.MethodGet, Path: "/r/1", ID: "first", Timeout: 10 * time.Second},
					{Host: "h", Method: http.MethodPost, Path: "/o/1", ID: "order", Body: "x", Timeout: 10 * time.Second},
					{Host: "h", Method: http.MethodGet, Path: "/r/2", ID: "last", Timeout: c.wait},
				}
				raw, err := f.connect("e0")
				if err != nil {
					t.Fatal(err)
				}
				defer raw.Close()
				go func() {
					for _, a := range requests {
						_, _ = raw.Write(a.Bytes())
					}
				}()
				br := bufio.NewReader(raw)
				var last platformtest.Reply
				for _, a := range requests {
					if last, err = platformtest.ReadReply(br, a.Method); err != nil {
						t.Fatalf("%s: %v", a.ID, err)
					}
				}
				runs := target.Runs()
				at := slices.IndexFunc(runs, func(r platformtest.Run) bool { return r.ID == "last" })
				switch {
				case c.left == 0 && (at >= 0 || !last.NotRun()):
					t.Errorf("runs %+v, the last reply is %d; want no run and a refusal", runs, last.Status)
				case c.left > 0 && (at < 0 || runs[at].Timeout > c.left):
					t.Errorf("runs %+v, want one with at most %v", runs, c.left)
				}
			})
		})
	}
}
