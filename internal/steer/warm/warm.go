package warm

import (
	"time"

	"tamarackspool/internal/steer/table"
)

// Parameters of the warm-up ramp.
const (
	initialSlots           = 1.0             // slots of a new or returned target at the start of the ramp
	recoveredLatencyFactor = 2.0             // largest latency at which a target counts as recovered, as a multiple of its best or its service's mean
	recoveredGrowth        = 2.0             // slots gained per second by a recovered target
	minGrowth              = 0.2             // slots gained per second by any other target, so that no target stays closed
	reportTTL              = 2 * time.Second // age up to which a new owner uses the report of its target
)

// Update ramps up the targets of this entry and sets the limit of each gate.
func Update(now time.Time, t *table.Tables) {
	for i := range t.Services {
		t.Services[i].Slots = 0
	}
	for i := range t.Targets {
		r := &t.Targets[i]
		if !r.Owned {
			r.Limit = 0
			continue
		}
		if r.NeedsRamp && r.RampSlots > 0 && now.Sub(r.HoldUntil) > 2*time.Second {
			// The target was ramped up by this entry before, so this is capacity that returns.
			t.Services[r.Service].ReturnedAt = now
		}
		ramp(now, t.Elapsed, r, t.Services[r.Service].Latency)
		r.Limit = targetLimit(now, r)
		t.Services[r.Service].Slots += r.Limit
	}
}

func ramp(now time.Time, elapsed time.Duration, r *table.Target, serviceLatency float64) {
	slots := float64(max(0, r.Spec.Slots()))
	if now.Before(r.HoldUntil) {
		return
	}
	if r.NeedsRamp {
		r.NeedsRamp = false
		r.RampSlots = initialSlots
		if r.HasReport && now.Sub(r.Report.At) <= reportTTL && r.FailuresInRow == 0 && !r.HoldUntil.IsZero() && now.Sub(r.HoldUntil) < time.Second {
			free := float64(r.Report.Slots - r.Report.Busy)
			r.RampSlots = max(initialSlots, initialSlots+r.Trust*(free-initialSlots))
		}
	}
	speed := minGrowth
	recovered := r.Observed.Answered > 0 && (r.Latency <= recoveredLatencyFactor*r.BestLatency || (serviceLatency > 0 && r.Latency <= recoveredLatencyFactor*serviceLatency))
	if recovered {
		speed = recoveredGrowth
	}
	r.RampSlots = min(max(slots, initialSlots), r.RampSlots+speed*elapsed.Seconds())
}

func targetLimit(now time.Time, r *table.Target) int {
	if r.Leaving != "" || now.Before(r.HoldUntil) || now.Before(r.RetryAt) {
		return 0
	}
	n := min(r.LoadLimit, int(r.RampSlots), max(0, r.Spec.Slots()))
	n = max(min(1, n), n-int(r.WithheldSlots+0.5))
	if !r.RetryAt.IsZero() {
		// A target that was down gets one request at a time until it answers.
		n = min(n, 1)
	}
	return n
}
