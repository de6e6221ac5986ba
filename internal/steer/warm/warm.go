package warm

import (
	"time"

	"tamarackspool/internal/steer/table"
)

// The ramp of a cold target.
const (
	start    = 1.0             // slots of a new or returned target
	limit    = 2.0             // the ramp grows while the latency is within this factor of the best
	step     = 2.0             // slots per second gained by measured recovery
	creep    = 0.2             // slots per second gained without it, so that no target stays closed
	freshest = 2 * time.Second // an older report says nothing about a new owner's target
)

// Update ramps the targets of this entry and sets the limit of each gate.
func Update(now time.Time, t *table.Tables) {
	for i := range t.Services {
		t.Services[i].Slots = 0
	}
	for i := range t.Targets {
		r := &t.Targets[i]
		if !r.Mine {
			r.Limit = 0
			continue
		}
		if r.Fresh && r.Warm > 0 && now.Sub(r.Hold) > 2*time.Second {
			// The target has been ramped here before, so its capacity comes back.
			t.Services[r.Service].Returned = now
		}
		ramp(now, t.Elapsed, r, t.Services[r.Service].Latency)
		r.Limit = bound(now, r)
		t.Services[r.Service].Slots += r.Limit
	}
}

func ramp(now time.Time, elapsed time.Duration, r *table.Target, typical float64) {
	slots := float64(max(0, r.Spec.Slots()))
	if now.Before(r.Hold) {
		return
	}
	if r.Fresh {
		r.Fresh = false
		r.Warm = start
		if r.Heard && now.Sub(r.Report.At) <= freshest && r.Down == 0 && !r.Hold.IsZero() && now.Sub(r.Hold) < time.Second {
			free := float64(r.Report.Slots - r.Report.Busy)
			r.Warm = max(start, start+r.Trust*(free-start))
		}
	}
	speed := creep
	recovered := r.Seen.Answered > 0 && (r.Latency <= limit*r.Best || (typical > 0 && r.Latency <= limit*typical))
	if recovered {
		speed = step
	}
	r.Warm = min(max(slots, start), r.Warm+speed*elapsed.Seconds())
}

func bound(now time.Time, r *table.Target) int {
	if r.Leaving != "" || now.Before(r.Hold) || now.Before(r.Retry) {
		return 0
	}
	n := min(r.Bound, int(r.Warm), max(0, r.Spec.Slots()))
	n = max(min(1, n), n-int(r.Cut+0.5))
	if !r.Retry.IsZero() {
		// A target that was down gets one request at a time until it answers.
		n = min(n, 1)
	}
	return n
}
