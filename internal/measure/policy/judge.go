package policy

import (
	"fmt"
	"slices"
	"time"
)

// The stated performance targets.
const (
	minGoodputShare       = 0.97             // share of the oracle's goodput
	maxReadsFactor        = 1.25             // factor on the oracle's p99 of reads in steady, drain and cold
	maxSettledReadsFactor = 1.5              // factor on the oracle's p99 of reads after the loss of a region has settled
	maxDrainSeconds       = 3.0              // from the start of a drain until no request reaches a draining target
	maxChoiceTime         = time.Microsecond // median of one choice of a target
)

// Check is the result of comparing one figure with its stated performance target.
type Check struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Target     string `json:"target"`
	Measured   string `json:"seen"`
	Pass       bool   `json:"pass"`
}

// checkFigures compares the product's policy in one scenario with the stated performance targets.
func checkFigures(all []Figures) []Check {
	o, ok := findFigures(all, nameProduct)
	best, bound := findFigures(all, nameOracle)
	if !ok || !bound {
		return nil
	}
	var out []Check
	add := func(target string, pass bool, format string, args ...any) {
		out = append(out, Check{o.Deployment, o.Scenario, target, fmt.Sprintf(format, args...), pass})
	}
	add("no tick over a limit", o.TicksOver == 0, "link %d, region %d, shift %d ticks", o.TicksOverLink, o.TicksOverRegion, o.TicksOverShift)
	add("goodput >= 0.97 of the oracle", o.Goodput >= minGoodputShare*best.Goodput, "%.3f", o.Goodput/best.Goodput)
	if slices.Contains([]string{"steady", "drain", "cold"}, o.Scenario) {
		add("p99 of reads <= 1.25 of the oracle", o.ReadsP99 <= maxReadsFactor*best.ReadsP99, "%.3f", o.ReadsP99/best.ReadsP99)
	}
	if o.Scenario == "region-lost" {
		add("settled p99 of reads <= 1.5 of the oracle", o.SettledReadsP99 <= maxSettledReadsFactor*best.SettledReadsP99, "%.3f", o.SettledReadsP99/best.SettledReadsP99)
	}
	if o.Scenario == "drain" {
		add("no work at a leaving target after 3 s", o.LastDrainRequest <= maxDrainSeconds, "%.2f s", o.LastDrainRequest)
	}
	if slices.Contains([]string{"double", "burst", "repeats", "persist"}, o.Scenario) {
		add("full goodput 10 s after overload", o.AnsweredAfterOverload >= minGoodputShare*best.AnsweredAfterOverload, "%.3f of %.3f", o.AnsweredAfterOverload, best.AnsweredAfterOverload)
	}
	add("one choice under 1 us", o.ChoiceTime < maxChoiceTime, "%v", o.ChoiceTime)
	return out
}

func findFigures(all []Figures, name string) (Figures, bool) {
	i := slices.IndexFunc(all, func(f Figures) bool { return f.Policy == name })
	if i < 0 {
		return Figures{}, false
	}
	return all[i], true
}
