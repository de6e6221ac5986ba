package edge_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against answers of targets that count as held in memory after their request has ended, because another attempt
// replaced them, the target was refused, or the caller left.
func TestNoAnswerStaysHeld(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`), rule("order", "/w/", "unsafe", `,"service":"s1"`))
		first, second := f.target("t1", "s1", "a1", nil), f.target("t2", "s1", "a1", nil)
		time.Sleep(3 * time.Second)
		f.earnRetries("e0", 30, "/r/")
		for _, b := range []platformtest.Behavior{
			platformtest.Normal, platformtest.InternalError, platformtest.Full, platformtest.FalseNotRun, platformtest.AmbiguousFailure, platformtest.TruncateBody, platformtest.WrongBody, platformtest.NoStamp,
		} {
			first.SetBehavior(b)
			second.SetBehavior(b)
			for i := range 4 {
				f.call("e0", "GET", "/r/", object(fmt.Sprint(i)))
				f.call("e0", "POST", "/w/", object(fmt.Sprint(i)))
			}
			c, err := f.connect("e0")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, "GET /r/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: left-"+fmt.Sprint(b)+"\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			time.Sleep(5 * time.Second)
			if page := f.getPage("e0", 84, "/metrics").body; !strings.Contains(page, "\npool.held 0\n") {
				_, rest, _ := strings.Cut(page, "\npool.held ")
				t.Errorf("behavior %d: %.10s bytes are held", b, rest)
			}
		}
	})
}
