package codec

import (
	"fmt"
	"math"
	"time"

	"tamarackspool/internal/config/document"
)

func (b *builder) buildLinks() []document.Link {
	seen := make(map[[2]string]string) // the place of each pair's link
	return mapped("links", b.w.Links, func(path string, w linkWire) document.Link {
		within(b, path+".rate", w.Rate, lowestRate, highestRate)
		if len(w.Regions) != 2 || w.Regions[0] == w.Regions[1] {
			b.add(path+".regions", "%q; two different names from regions are accepted", w.Regions)
			return document.Link{}
		}
		x, y := w.Regions[0], w.Regions[1]
		b.refer(path+".regions[0]", x, "regions", b.regions)
		b.refer(path+".regions[1]", y, "regions", b.regions)
		pair := [2]string{min(x, y), max(x, y)}
		if first, ok := seen[pair]; ok {
			b.add(path+".regions", "%s and %s are joined by %s already; one link per pair is accepted", x, y, first)
		}
		seen[pair] = path
		return document.NewLink(x, y, int64(math.Round(w.Rate*mbit)))
	})
}

func (b *builder) drain(path string, w drainWire) document.Drain {
	kinds := 0
	for _, given := range []bool{len(w.Targets) > 0, w.Zone != "", w.Region != ""} {
		if given {
			kinds++
		}
	}
	if kinds != 1 {
		b.add(path, "%d of targets, zone and region are given; exactly one is accepted", kinds)
	}
	for i, t := range w.Targets {
		b.refer(fmt.Sprintf("%s.targets[%d]", path, i), t, "targets", b.targets)
	}
	if w.Zone != "" {
		b.refer(path+".zone", w.Zone, "zones", b.zones)
	}
	if w.Region != "" {
		b.refer(path+".region", w.Region, "regions", b.regions)
	}
	if w.Start.IsZero() {
		b.add(path+".start", "missing; a time such as 2026-12-04T02:00:00Z is accepted")
	}
	f := document.DrainFields{Name: w.Name, Targets: w.Targets, Zone: w.Zone, Region: w.Region, Start: w.Start}
	if w.End != nil {
		f.End = *w.End
		if !f.End.After(f.Start) {
			b.add(path+".end", "%s; a time after the start is accepted", f.End.Format(time.RFC3339))
		}
	}
	return document.NewDrain(f)
}

// pool names the slots of one service in one region.
type pool struct{ region, service string }

// checkKeep refuses drains that, alone or together, leave a region less than its kept fraction of a
// service's slots. The set of drained targets grows only when a drain starts, so these times suffice.
func (b *builder) checkKeep(d *document.Document) {
	total := make(map[pool]int)
	for _, t := range d.Targets() {
		total[pool{d.RegionOf(t.Zone()), t.Service()}] += t.Slots()
	}
	// rounding forgives the binary form of fractions such as 0.4.
	const rounding = 1e-6
	for i, dr := range d.Drains() {
		left := remaining(d, total, dr.Start())
		for _, r := range d.Regions() {
			for _, s := range d.Services() {
				p := pool{r.Name(), s.Name()}
				if need := r.Keep()*float64(total[p]) - rounding; float64(left[p]) < need {
					b.add(fmt.Sprintf("drains[%d]", i),
						"leaves region %s %d of %d slots of service %s at %s; at least %d (keep %g) are accepted",
						p.region, left[p], total[p], p.service, dr.Start().Format(time.RFC3339), int(math.Ceil(need)), r.Keep())
				}
			}
		}
	}
}

func remaining(d *document.Document, total map[pool]int, at time.Time) map[pool]int {
	left := make(map[pool]int, len(total))
	for p, n := range total {
		left[p] = n
	}
	for name := range d.Leaving(at) {
		t, _ := d.Target(name)
		left[pool{d.RegionOf(t.Zone()), t.Service()}] -= t.Slots()
	}
	return left
}
