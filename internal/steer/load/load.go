package load

import (
	"math"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/table"
)

// Bounds and rates of the estimate.
const (
	fresh    = 500 * time.Millisecond // a younger report has its whole weight
	stale    = 2 * time.Second        // an older report has no weight
	least    = 0.01                   // lowest load estimate in slots
	slowest  = 600.0                  // highest latency estimate in seconds
	quickest = 1e-6                   // lowest latency estimate in seconds
	recovery = 1.0                    // slots given back per second after a shed
	fails    = 3                      // failures in a row after which a target is down
	pause    = time.Second            // first wait before a target that is down is tried
	longest  = 30 * time.Second       // longest such wait
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
		latency(r)
		failures(now, r)
		estimate(now, r)
		shed(t.Elapsed, r)
		if r.Latency > 0 {
			t.Services[r.Service].Latency += r.Latency
			count[r.Service]++
		}
	}
	for i, n := range count {
		t.Services[i].Latency /= float64(max(1, n))
	}
}

// Hear stores the reports of a tick and refuses impossible ones.
func Hear(now time.Time, t *table.Tables) {
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
		if !possible(now, r, p) {
			if r.Trust > 0.5 {
				t.Emit(event.ReportRefused, "target", p.Target, "busy", p.Busy, "slots", p.Slots)
			}
			r.Trust *= 0.5
			continue
		}
		r.Report, r.Heard = p, true
		compare(now, r, p)
	}
}

func possible(now time.Time, r *table.Target, p table.Report) bool {
	most := 2 * max(p.Slots, r.Spec.Slots())
	return p.Busy >= 0 && p.Slots > 0 && p.Busy <= most && !p.At.After(now.Add(time.Second))
}

// compare moves the trust towards whether the report agrees with this entry's
// own count, and the excess towards the difference. Its sign is kept because a
// report lags: single differences mean nothing, their mean does.
func compare(now time.Time, r *table.Target, p table.Report) {
	excess := float64(p.Busy - r.Seen.InFlight)
	r.Foreign += 0.1 * (excess - r.Foreign)
	if !r.Mine || r.Fresh || now.Before(r.Hold) {
		// The requests of the former owner explain a difference until the hold ends and the ramp has begun.
		return
	}
	agrees := math.Abs(excess) <= 1+0.5*float64(r.Seen.InFlight)
	if !agrees && (excess < 0 || r.Seen.Shed == 0) {
		r.Trust *= 0.95
		return
	}
	r.Trust += 0.05 * (1 - r.Trust)
}

// weight returns how much the last report counts, from 0 to 1.
func weight(now time.Time, r *table.Target) float64 {
	if !r.Heard {
		return 0
	}
	age := now.Sub(r.Report.At)
	young := 1 - float64(age-fresh)/float64(stale-fresh)
	return r.Trust * min(1, max(0, young))
}

func estimate(now time.Time, r *table.Target) {
	w := weight(now, r)
	slots := float64(max(1, r.Spec.Slots()))
	if r.Heard {
		slots += w * (min(slots, float64(r.Report.Slots)) - slots)
	}
	other := w * max(0, r.Foreign)
	r.Load = min(4*slots, max(least, float64(r.Seen.InFlight)+w*r.Foreign))
	r.Bound = max(1, int(slots-math.Floor(other+0.3)+0.001))
	if r.Spec.Slots() <= 0 {
		r.Bound = 0
	}
}

func latency(r *table.Target) {
	if r.Seen.Answered <= 0 {
		return
	}
	mean := r.Seen.Latency.Seconds() / float64(r.Seen.Answered)
	mean = min(slowest, max(quickest, mean))
	if r.Latency == 0 {
		r.Latency, r.Best = mean, mean
		return
	}
	part := min(0.5, 0.1*float64(r.Seen.Answered))
	r.Latency += part * (mean - r.Latency)
	// The best rises slowly so that a lasting change of the work becomes the new measure.
	r.Best = min(r.Latency, r.Best*1.0005)
}

// shed withholds slots after a refusal by the target and gives them back one by one.
func shed(elapsed time.Duration, r *table.Target) {
	r.Cut = max(0, r.Cut-recovery*elapsed.Seconds())
	if r.Seen.Shed > 0 {
		r.Cut = min(float64(max(0, r.Spec.Slots()-1)), r.Cut+1)
	}
}

func failures(now time.Time, r *table.Target) {
	lost := r.Seen.Failed + r.Seen.Silent
	switch {
	case r.Seen.Answered > 0:
		if r.Down >= fails {
			r.Fresh = true
		}
		r.Down, r.Retry = 0, time.Time{}
	case lost > 0:
		r.Down += lost
		if r.Down >= fails {
			wait := pause << min(5, (r.Down-fails)/fails)
			r.Retry = now.Add(min(longest, wait))
		}
	}
}
