package policy

import (
	"fmt"
	"slices"
	"time"
)

// The stated targets.
const (
	goodputPart = 0.97             // of the oracle's goodput
	readsFactor = 1.25             // of the oracle's p99 of reads in steady, drain and cold
	lostFactor  = 1.5              // of the oracle's p99 of reads after a lost region has settled
	drainMost   = 3.0              // seconds until no work reaches a leaving target
	choiceMost  = time.Microsecond // for one choice
)

// Check is one stated target and whether it was met.
type Check struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Target     string `json:"target"`
	Seen       string `json:"seen"`
	Pass       bool   `json:"pass"`
}

// judge compares the product's policy in one scenario with the stated targets.
func judge(all []Figures) []Check {
	o, ok := find(all, nameOurs)
	best, bound := find(all, nameOracle)
	if !ok || !bound {
		return nil
	}
	var out []Check
	add := func(target string, pass bool, format string, args ...any) {
		out = append(out, Check{o.Deployment, o.Scenario, target, fmt.Sprintf(format, args...), pass})
	}
	add("no tick over a limit", o.Over == 0, "link %d, region %d, shift %d ticks", o.OverLink, o.OverRegion, o.OverShift)
	add("goodput >= 0.97 of the oracle", o.Goodput >= goodputPart*best.Goodput, "%.3f", o.Goodput/best.Goodput)
	if slices.Contains([]string{"steady", "drain", "cold"}, o.Scenario) {
		add("p99 of reads <= 1.25 of the oracle", o.Reads <= readsFactor*best.Reads, "%.3f", o.Reads/best.Reads)
	}
	if o.Scenario == "region-lost" {
		add("settled p99 of reads <= 1.5 of the oracle", o.Settled <= lostFactor*best.Settled, "%.3f", o.Settled/best.Settled)
	}
	if o.Scenario == "drain" {
		add("no work at a leaving target after 3 s", o.Last <= drainMost, "%.2f s", o.Last)
	}
	if slices.Contains([]string{"double", "burst", "repeats", "persist"}, o.Scenario) {
		add("full goodput 10 s after overload", o.After >= goodputPart*best.After, "%.3f of %.3f", o.After, best.After)
	}
	add("one choice under 1 us", o.Choice < choiceMost, "%v", o.Choice)
	return out
}

func find(all []Figures, name string) (Figures, bool) {
	i := slices.IndexFunc(all, func(f Figures) bool { return f.Policy == name })
	if i < 0 {
		return Figures{}, false
	}
	return all[i], true
}
