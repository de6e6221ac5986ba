package drain

import (
	"math"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/table"
)

// The causes of draining; the cause of a planned drain is causePlanPrefix followed by the drain's name.
const (
	causeVMList     = "vm-list"
	causeReport     = "report"
	causePlanPrefix = "plan:"
)

// Update marks the targets to drain and delays planned drains that would leave
// a service in the region with less than the configured fraction of its slots (keep) usable.
func Update(now time.Time, t *table.Tables) {
	before := make([]string, len(t.Targets))
	for i := range t.Targets {
		before[i] = t.Targets[i].Leaving
		t.Targets[i].Leaving = ""
		if t.VMLeaving(t.Targets[i].Spec.Name()) {
			t.Targets[i].Leaving = causeVMList
		}
	}
	for i := range t.Drains {
		applyPlan(now, t, &t.Drains[i])
	}
	applyReports(now, t)
	for i := range t.Targets {
		t.DrainChanged = t.DrainChanged || (t.Targets[i].Leaving == "") != (before[i] == "")
		emitChange(t, &t.Targets[i], before[i])
	}
}

func emitChange(t *table.Tables, r *table.Target, before string) {
	switch {
	case r.Leaving != "" && before == "" && r.Owned:
		t.Emit(event.DrainStarted, "target", r.Spec.Name(), "cause", r.Leaving, "inflight", r.Observed.InFlight)
	case r.Leaving == "" && before != "":
		// A target that returns from draining is cold.
		r.NeedsRamp = true
	}
}

func applyPlan(now time.Time, t *table.Tables, d *table.Drain) {
	if !d.Spec.Active(now) {
		d.Started, d.DelayReported = false, false
		return
	}
	chosen := targetsOf(t, d)
	if !d.Started {
		if service, remaining, keep, short := shortfall(now, t, chosen); short {
			if !d.DelayReported {
				t.Emit(event.DrainDelayed, "drain", d.Spec.Name(), "region", t.Region, "service", service, "left", remaining, "keep", keep)
			}
			d.DelayReported = true
			return
		}
	}
	// A drain that has started is not reverted, because its targets may already be stopping.
	d.Started = true
	for _, i := range chosen {
		if t.Targets[i].Leaving == "" {
			t.Targets[i].Leaving = causePlanPrefix + d.Spec.Name()
		}
	}
}

// targetsOf returns the indexes of the targets of this region that the drain covers.
func targetsOf(t *table.Tables, d *table.Drain) []int {
	named := make(map[string]bool)
	for _, n := range d.Spec.Targets() {
		named[n] = true
	}
	wholeRegion := d.Spec.Region() != "" && d.Spec.Region() == t.Region
	var rows []int
	for i := range t.Targets {
		r := &t.Targets[i]
		if wholeRegion || named[r.Spec.Name()] || (d.Spec.Zone() != "" && d.Spec.Zone() == r.Zone) {
			rows = append(rows, i)
		}
	}
	return rows
}

// shortfall returns the first service that would keep too few slots if the
// chosen targets were drained, with its remaining slots and the slots to keep.
func shortfall(now time.Time, t *table.Tables, chosen []int) (service string, remaining, keep int, short bool) {
	region, ok := t.Document.Region(t.Region)
	fraction := region.KeepFraction()
	if !ok || math.IsNaN(fraction) || fraction <= 0 {
		return "", 0, 0, false
	}
	total := make([]int, len(t.Services))
	usable := make([]int, len(t.Services))
	affected := make([]bool, len(t.Services))
	for i := range t.Targets {
		r := &t.Targets[i]
		total[r.Service] += max(0, r.Spec.Slots())
		if r.Leaving == "" && !now.Before(r.RetryAt) {
			usable[r.Service] += max(0, r.Spec.Slots())
		}
	}
	for _, i := range chosen {
		r := &t.Targets[i]
		affected[r.Service] = true
		if r.Leaving == "" && !now.Before(r.RetryAt) {
			usable[r.Service] -= max(0, r.Spec.Slots())
		}
	}
	for i := range total {
		keep := int(math.Ceil(min(fraction, 1)*float64(total[i]) - 1e-9))
		if affected[i] && usable[i] < keep {
			return t.Services[i].Spec.Name(), usable[i], keep, true
		}
	}
	return "", 0, 0, false
}

// applyReports drains targets that report that they are leaving, unless that leaves
// too few usable slots, so that false reports cannot drain a whole region.
func applyReports(now time.Time, t *table.Tables) {
	for i := range t.Targets {
		r := &t.Targets[i]
		if !r.HasReport || !r.Report.Leaving || r.Leaving != "" || now.Sub(r.Report.At) > 2*time.Second {
			continue
		}
		if _, _, _, short := shortfall(now, t, []int{i}); !short {
			r.Leaving = causeReport
		}
	}
}
