package ledger_test

import (
	"testing"
	"time"

	"tamarackspool/internal/soak/ledger"
)

// Guards against a soak that misses a run which only the older copy of a restored store allows, and against one that
// reports a run of an entry that was restarted, which the restored store had told the older state.
func TestRunsByTheOlderCopyAreFound(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name        string
		run         ledger.Run
		interrupted bool
		want        int
	}{
		{"at the target that drained", ledger.Run{Target: "t1", Service: "s3", At: at(21)}, false, 1},
		{"by the older configuration", ledger.Run{Target: "t2", Service: "s1", MovingRule: true, At: at(21)}, false, 1},
		{"by the newer configuration", ledger.Run{Target: "t2", Service: "s2", MovingRule: true, At: at(21)}, false, 0},
		{"by another rule", ledger.Run{Target: "t2", Service: "s1", At: at(21)}, false, 0},
		{"after it was written again", ledger.Run{Target: "t2", Service: "s1", MovingRule: true, At: at(24)}, false, 0},
		{"after a restart", ledger.Run{Target: "t1", Service: "s3", At: at(21)}, true, 0},
	} {
		l := ledger.New()
		l.AddRestoration(ledger.Restoration{From: at(20), To: at(23), Target: "t1", Service: "s2"})
		l.AddDisturbance(at(20), at(23))
		c.run.ID = "1"
		l.AddAttempt(ledger.Attempt{ID: "1", Entry: "e1", Sent: c.run.At, Done: c.run.At, Status: 200, Success: true, Complete: true})
		if c.interrupted {
			l.AddInterruption("e1", at(18), at(19))
		}
		found := 0
		for _, v := range l.Check([]ledger.Run{c.run}, nil) {
			if v.Promise == ledger.Restore {
				found++
			}
		}
		if found != c.want {
			t.Errorf("%s: %d violations, want %d", c.name, found, c.want)
		}
	}
}
