package codec

import (
	"fmt"
	"math"
	"time"

	"tamarackspool/internal/config/document"
)

func (b *builder) buildLinks() []document.Link {
	seen := make(map[[2]string]string) // the path of the link of each pair of regions
	return buildList("links", b.wire.Links, func(path string, w linkWire) document.Link {
		checkRange(b, path+".rate", w.Rate, minLinkRate, maxLinkRate)
		if len(w.Regions) != 2 || w.Regions[0] == w.Regions[1] {
			b.addFault(path+".regions", "%q; two different names from regions are accepted", w.Regions)
			return document.Link{}
		}
		x, y := w.Regions[0], w.Regions[1]
		b.checkReference(path+".regions[0]", x, "regions", b.regions)
		b.checkReference(path+".regions[1]", y, "regions", b.regions)
		pair := [2]string{min(x, y), max(x, y)}
		if first, ok := seen[pair]; ok {
			b.addFault(path+".regions", "%s and %s are already joined by %s; one link per pair is accepted", x, y, first)
		}
		seen[pair] = path
		return document.NewLink(x, y, int64(math.Round(w.Rate*bytesPerMbit)))
	})
}

func (b *builder) buildDrain(path string, w drainWire) document.Drain {
	kinds := 0
	for _, given := range []bool{len(w.Targets) > 0, w.Zone != "", w.Region != ""} {
		if given {
			kinds++
		}
	}
	if kinds != 1 {
		b.addFault(path, "%d of targets, zone and region are given; exactly one is accepted", kinds)
	}
	for i, t := range w.Targets {
		b.checkReference(fmt.Sprintf("%s.targets[%d]", path, i), t, "targets", b.targets)
	}
	if w.Zone != "" {
		b.checkReference(path+".zone", w.Zone, "zones", b.zones)
	}
	if w.Region != "" {
		b.checkReference(path+".region", w.Region, "regions", b.regions)
	}
	if w.Start.IsZero() {
		b.addFault(path+".start", "missing; a time such as 2026-12-04T02:00:00Z is accepted")
	}
	f := document.DrainFields{Name: w.Name, Targets: w.Targets, Zone: w.Zone, Region: w.Region, Start: w.Start}
	if w.End != nil {
		f.End = *w.End
		if !f.End.After(f.Start) {
			b.addFault(path+".end", "%s; a time after the start is accepted", f.End.Format(time.RFC3339))
		}
	}
	return document.NewDrain(f)
}

// slotPool identifies the slots of one service in one region.
type slotPool struct{ region, service string }

// checkKeep rejects drains that, alone or together, leave a region with less than the required fraction of
// a service's slots. The set of drained targets grows only when a drain starts, so checking at each start is enough.
func (b *builder) checkKeep(d *document.Document) {
	total := make(map[slotPool]int)
	for _, t := range d.Targets() {
		total[slotPool{d.RegionOf(t.Zone()), t.Service()}] += t.Slots()
	}
	// Fractions such as 0.4 are inexact in binary.
	const tolerance = 1e-6
	for i, dr := range d.Drains() {
		remaining := remainingSlots(d, total, dr.Start())
		for _, r := range d.Regions() {
			for _, s := range d.Services() {
				p := slotPool{r.Name(), s.Name()}
				if need := r.KeepFraction()*float64(total[p]) - tolerance; float64(remaining[p]) < need {
					b.addFault(fmt.Sprintf("drains[%d]", i),
						"leaves region %s %d of %d slots of service %s at %s; at least %d (keep %g) are accepted",
						p.region, remaining[p], total[p], p.service, dr.Start().Format(time.RFC3339), int(math.Ceil(need)), r.KeepFraction())
				}
			}
		}
	}
}

// remainingSlots subtracts the slots of the targets that drains cover at the given time.
func remainingSlots(d *document.Document, total map[slotPool]int, at time.Time) map[slotPool]int {
	remaining := make(map[slotPool]int, len(total))
	for p, n := range total {
		remaining[p] = n
	}
	for name := range d.DrainedTargets(at) {
		t, _ := d.Target(name)
		remaining[slotPool{d.RegionOf(t.Zone()), t.Service()}] -= t.Slots()
	}
	return remaining
}
