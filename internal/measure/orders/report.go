package orders

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the figures of all methods.
type Report struct {
	Seed    uint64    `json:"seed"`
	Entries int       `json:"entries"`
	Figures []Figures `json:"figures"`
}

// Write prints the figures as a table.
func (r Report) Write(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\tphase\toffered/s\treached/s\tp50 ms\tp99 ms\twrites/s\twrites/order\tlimited\tnot-run\tmay-have-run\t")
	for _, f := range r.Figures {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.2f\t%.2f\t%.1f\t%.3f\t%d\t%d\t%d\t\n", f.Method, f.Phase, f.OfferedPerSecond, f.RunPerSecond,
			f.P50, f.P99, f.WritesPerSecond, f.WritesPerOrder, f.RateLimited, f.NotRun, f.Unknown)
	}
	fmt.Fprintf(t, "seed %d, %d entries\n", r.Seed, r.Entries)
	return t.Flush()
}
