package policy

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the figures of all runs and the checks of the stated performance targets.
type Report struct {
	Seed    uint64    `json:"seed"`
	Figures []Figures `json:"figures"`
	Checks  []Check   `json:"checks"`
}

// MissedTargets returns the number of stated performance targets that were missed.
func (r Report) MissedTargets() int {
	n := 0
	for _, c := range r.Checks {
		if !c.Pass {
			n++
		}
	}
	return n
}

// Write prints the figures as a table and each stated performance target as pass or fail.
func (r Report) Write(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	head := "deployment\tscenario\tpolicy\tgood/s\tpart\tp50\tp99\treads99\tnot-run\tunknown\tshed\texcess\tlink\tregion\tshift\tover\tlast\tquiet\thead\tchoice\ttick\t"
	if _, err := fmt.Fprintln(t, head); err != nil {
		return err
	}
	for _, f := range r.Figures {
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.4f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t%.2f\t%.1f\t%.2f\t%v\t%v\t\n",
			f.Deployment, f.Scenario, f.Policy, f.Goodput, f.AnsweredFraction, f.P50, f.P99, f.ReadsP99, f.NotRun, f.Unknown, f.Shed,
			f.ExcessSlotSeconds, f.PeakLinkUse, f.PeakRegionUse, f.PeakShiftUse, f.TicksOver, f.LastDrainRequest, f.DrainedAfter, f.Headroom, f.ChoiceTime, f.TickTime)
		if err != nil {
			return err
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Checks {
		word := "pass"
		if !c.Pass {
			word = "FAIL"
		}
		if _, err := fmt.Fprintf(out, "%s  %s %s: %s: %s\n", word, c.Deployment, c.Scenario, c.Target, c.Measured); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "seed %d: %d of %d stated targets missed\n", r.Seed, r.MissedTargets(), len(r.Checks))
	return err
}
