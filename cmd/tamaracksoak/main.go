// Command tamaracksoak runs entries as processes on loopback, injects faults and checks the promises made to callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"tamarackspool/internal/soak/world"
)

// The exit statuses.
const (
	exitDone     = 0
	exitInternal = 1
	exitUsage    = 2
	exitBroken   = 6
)

// flags are the settings of the command.
type flags struct {
	Seed    uint64        `help:"Seed of the schedule; 0 takes one from the time and prints it." default:"0"`
	For     time.Duration `help:"How long to run, from 20s to 1h." default:"60s"`
	Nodes   int           `help:"Number of entries, from 2 to 300." default:"6"`
	Break   string        `help:"Promise to break on purpose: whole, once, not-run, drain, stop, version, recovery, repeats, leave, pause or restore."`
	Program string        `help:"Program of the entry; built from this module when empty."`
	Restore bool          `help:"Restore the store from an older copy at the start of the schedule."`
	Cost    bool          `help:"Measure what control costs the entries, without callers and disturbances."`
	Targets int           `help:"Number of registered targets of such a measurement, up to 5000." default:"0"`
	Notes   bool          `help:"Print each step of the schedule."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses the arguments, runs the command and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var f flags
	parser, err := kong.New(&f, kong.Name("tamaracksoak"), kong.Writers(stdout, stderr))
	if err == nil {
		_, err = parser.Parse(args)
	}
	s := world.Settings{Program: f.Program, Seed: f.Seed, Duration: f.For, Entries: f.Nodes, BreakPromise: f.Break, Restore: f.Restore, Targets: f.Targets}
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		fmt.Fprintln(stderr, "tamaracksoak:", err)
		return exitUsage
	}
	if s.Seed == 0 {
		s.Seed = uint64(time.Now().UnixNano())
	}
	if f.Notes {
		s.ScheduleLog = stdout
	}
	code, err := soak(ctx, s, f.Cost, stdout)
	if err != nil {
		fmt.Fprintln(stderr, "tamaracksoak:", err)
		return exitInternal
	}
	return code
}

// soak builds the entry's program unless one is given, and runs the schedule or the measurement; it returns the exit status.
func soak(ctx context.Context, s world.Settings, cost bool, out io.Writer) (int, error) {
	if s.Program == "" {
		dir, err := os.MkdirTemp("", "tamaracksoak")
		if err != nil {
			return 0, err
		}
		defer os.RemoveAll(dir) //nolint:errcheck // a leftover file in the temporary directory is harmless
		s.Program = filepath.Join(dir, "tamarackedge")
		if text, err := exec.CommandContext(ctx, "go", "build", "-o", s.Program, "tamarackspool/cmd/tamarackedge").CombinedOutput(); err != nil {
			return 0, fmt.Errorf("build: %w: %s", err, text)
		}
	}
	w, err := world.New(s)
	if err != nil {
		return 0, err
	}
	if cost {
		return exitDone, measure(ctx, w, out)
	}
	r, err := w.Run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		return 0, err
	}
	fmt.Fprintf(out, "seed %d: %d entries, %d steps, %d requests, %d served, %d runs, %d promises broken\n",
		s.Seed, s.Entries, r.Steps, r.Requests, r.Served, r.Runs, len(r.Violations))
	for _, b := range r.Violations[:min(len(r.Violations), 10)] {
		fmt.Fprintf(out, "broken: %s: %s %s\n", b.Promise, b.ID, b.Text)
	}
	for _, l := range r.Lines {
		fmt.Fprintln(out, l)
	}
	if len(r.Violations) > 0 {
		return exitBroken, nil
	}
	return exitDone, nil
}

// measure measures the cost of the control plane at the entries and prints it.
func measure(ctx context.Context, w *world.World, out io.Writer) error {
	costs, err := w.MeasureCost(ctx)
	if err != nil {
		return err
	}
	for _, c := range costs {
		fmt.Fprintf(out, "%d entries, %d targets, %.1f changes a second\n", c.Entries, c.Targets, c.ChangesPerSecond)
		for _, r := range c.Rows {
			fmt.Fprintf(out, "  %-24s all %10.1f  middle %8.2f  busiest %8.2f\n", r.Name, r.Sum, r.Median, r.Max)
		}
	}
	return nil
}
