package health_test

import (
	"testing"
	"time"

	"tamarackspool/internal/steer/health"
)

// Guards against a failing target that gets requests again at once or never again.
func TestBackoffGrowsWithFailures(t *testing.T) {
	var tr health.Tracker
	now := time.Unix(100, 0)
	var last time.Duration
	for i := range 12 {
		backoff := tr.RecordFailure(now).Sub(now)
		if backoff < last || backoff > 4*time.Second {
			t.Errorf("failure %d: backoff %v after %v", i, backoff, last)
		}
		last = backoff
		if !tr.BackingOff(now) || tr.BackingOff(now.Add(backoff)) {
			t.Errorf("failure %d: the backoff does not last %v", i, backoff)
		}
		now = now.Add(backoff)
	}
	tr.RecordAnswer(true)
	if backoff := tr.RecordFailure(now).Sub(now); backoff >= last {
		t.Errorf("an answer does not shorten the next backoff, %v", backoff)
	}
}

// Guards against an old load report that is still used, or a load below this entry's own requests in flight.
func TestLoadIsTheTargetsWordWhileFresh(t *testing.T) {
	var tr health.Tracker
	now := time.Unix(100, 0)
	tr.Begin()
	tr.RecordLoad(5, 2, now)
	if got := tr.Load(now.Add(time.Second)); got != 7 {
		t.Errorf("load %d, want the target's 7", got)
	}
	if got := tr.Load(now.Add(3 * time.Second)); got != 1 {
		t.Errorf("load %d from an old report, want the entry's own 1", got)
	}
	tr.RecordLoad(0, 0, now.Add(3*time.Second))
	if got := tr.Load(now.Add(3 * time.Second)); got != 1 {
		t.Errorf("load %d, want at least the entry's own 1", got)
	}
	tr.End()
	if got := tr.Load(now.Add(9 * time.Second)); got != 0 {
		t.Errorf("load %d after the end, want 0", got)
	}
}

// Guards against a target that hangs or is always slow and still gets requests,
// and against a target with a long queue that gets none.
func TestTimeoutsMakeATargetSlow(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name    string
		answers string // answers holds the result of each request: a for an answer in time, l for a late one, - for none.
		slow    int    // slow is the number of times that the target counts as slow.
	}{
		{"hangs", "------", 5},
		{"slow, with late answers", "-l-l--l-", 4},
		{"long queue", "-aa-aal-aa-alaa-a", 0},
		{"recovers", "--a-a-", 1},
	} {
		var tr health.Tracker
		slow, last := 0, time.Duration(0)
		for _, a := range c.answers {
			now = now.Add(10 * time.Second)
			if a != '-' {
				tr.RecordAnswer(a == 'a')
				continue
			}
			until, ok := tr.RecordTimeout(now)
			if !ok {
				continue
			}
			slow++
			period := until.Sub(now)
			if period < last || period > 4*time.Second || !tr.Slow(now) || tr.Slow(until) {
				t.Errorf("%s: slow for %v after %v", c.name, period, last)
			}
			last = period
		}
		if slow != c.slow {
			t.Errorf("%s: counted as slow %d times, want %d", c.name, slow, c.slow)
		}
	}
}
