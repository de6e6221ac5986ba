package load

import (
	"math"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/table"
)

// Limits and rates of the estimate.
const (
	freshAge          = 500 * time.Millisecond // age up to which a report has full weight
	staleAge          = 2 * time.Second        // age from which a report has no weight
	minLoad           = 0.01                   // lowest load estimate in slots
	maxLatency        = 600.0                  // highest latency estimate in seconds
	minLatency        = 1e-6                   // lowest latency estimate in seconds
	shedRecovery      = 1.0                    // slots restored per second after a shed request
	downAfterFailures = 3                      // failures in a row after which a target is down
	initialBackoff    = time.Second            // first wait before a target that is down gets another request
	maxBackoff        = 4 * time.Second        // longest such wait: a target that has returned is used again within it
)

// Update estimates the load of each owned target from this entry's own counts,
// corrected by reports according to their age and trust.
func Update(now time.Time, t *table.Tables) {
	for i := range t.Services {
		t.Services[i].Latency = 0
	}
	count := make([]int, len(t.Services))
	for _, i := range t.Owned {
		r := &t.Targets[i]
		updateLatency(r)
		updateFailures(now, r)
		estimateLoad(now, r)
		updateShed(t.Elapsed, r)
		if r.Latency > 0 {
			t.Services[r.Service].Latency += r.Latency
			count[r.Service]++
		}
	}
	for i, n := range count {
		t.Services[i].Latency /= float64(max(1, n))
	}
}

// ApplyReports stores the reports of a tick and rejects implausible ones.
func ApplyReports(now time.Time, t *table.Tables) {
	if len(t.Input.Reports) == 0 {
		return
	}
	reports := make(map[string]table.Report, len(t.Input.Reports))
	for _, p := range t.Input.Reports {
		reports[p.Target] = p
	}
	for i := range t.Targets {
		r := &t.Targets[i]
		p, ok := reports[r.Spec.Name()]
		if !ok || !p.At.After(r.Report.At) {
			continue
		}
		if !plausible(now, r, p) {
			if r.Trust > 0.5 {
				t.Emit(event.ReportRefused, "target", p.Target, "busy", p.Busy, "slots", p.Slots)
			}
			r.Trust *= 0.5
			continue
		}
		r.Report, r.HasReport = p, true
		updateTrust(now, r, p)
	}
}

func plausible(now time.Time, r *table.Target, p table.Report) bool {
	most := 2 * max(p.Slots, r.Spec.Slots())
	return p.Busy >= 0 && p.Slots > 0 && p.Busy <= most && !p.At.After(now.Add(time.Second))
}

// updateTrust adjusts the trust by whether the report agrees with this entry's own
// count, and smooths the excess of the report over that count. The excess keeps
// its sign: a report lags behind, so only the mean of the differences is meaningful.
func updateTrust(now time.Time, r *table.Target, p table.Report) {
	excess := float64(p.Busy - r.Observed.InFlight)
	r.ExcessLoad += 0.1 * (excess - r.ExcessLoad)
	if !r.Owned || r.NeedsRamp || now.Before(r.HoldUntil) {
		// Until the hold ends and the ramp has started, requests of the former owner can explain a difference.
		return
	}
	agrees := math.Abs(excess) <= 1+0.5*float64(r.Observed.InFlight)
	if !agrees && (excess < 0 || r.Observed.Shed == 0) {
		r.Trust *= 0.95
		return
	}
	r.Trust += 0.05 * (1 - r.Trust)
}

// reportWeight returns the weight of the last report in the estimate, from 0 to 1.
func reportWeight(now time.Time, r *table.Target) float64 {
	if !r.HasReport {
		return 0
	}
	age := now.Sub(r.Report.At)
	freshness := 1 - float64(age-freshAge)/float64(staleAge-freshAge)
	return r.Trust * min(1, max(0, freshness))
}

func estimateLoad(now time.Time, r *table.Target) {
	w := reportWeight(now, r)
	slots := float64(max(1, r.Spec.Slots()))
	if r.HasReport {
		slots += w * (min(slots, float64(r.Report.Slots)) - slots)
	}
	other := w * max(0, r.ExcessLoad)
	r.Load = min(4*slots, max(minLoad, float64(r.Observed.InFlight)+w*r.ExcessLoad))
	r.LoadLimit = max(1, int(slots-math.Floor(other+0.3)+0.001))
	if r.Spec.Slots() <= 0 {
		r.LoadLimit = 0
	}
}

func updateLatency(r *table.Target) {
	if r.Observed.Answered <= 0 {
		return
	}
	mean := r.Observed.Latency.Seconds() / float64(r.Observed.Answered)
	mean = min(maxLatency, max(minLatency, mean))
	if r.Latency == 0 {
		r.Latency, r.BestLatency = mean, mean
		return
	}
	smoothing := min(0.5, 0.1*float64(r.Observed.Answered))
	r.Latency += smoothing * (mean - r.Latency)
	// The best latency rises slowly, so that it adapts to a permanent change of the work.
	r.BestLatency = min(r.Latency, r.BestLatency*1.0005)
}

// updateShed withholds slots after the target has shed a request and restores them gradually.
func updateShed(elapsed time.Duration, r *table.Target) {
	r.WithheldSlots = max(0, r.WithheldSlots-shedRecovery*elapsed.Seconds())
	if r.Observed.Shed > 0 {
		r.WithheldSlots = min(float64(max(0, r.Spec.Slots()-1)), r.WithheldSlots+1)
	}
}

func updateFailures(now time.Time, r *table.Target) {
	lost := r.Observed.Failed + r.Observed.Silent
	switch {
	case r.Observed.Answered > 0:
		if r.FailuresInRow >= downAfterFailures {
			r.NeedsRamp = true
		}
		r.FailuresInRow, r.FailedRetries, r.RetryAt = 0, 0, time.Time{}
	case lost > 0:
		r.FailuresInRow += lost
		if r.FailuresInRow >= downAfterFailures && !now.Before(r.RetryAt) {
			// Requests that were sent before the target was down and fail during the wait do not extend it.
			r.RetryAt = now.Add(min(maxBackoff, initialBackoff<<min(8, r.FailedRetries)))
			r.FailedRetries++
		}
	}
}
