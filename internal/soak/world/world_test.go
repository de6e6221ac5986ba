package world_test

import (
	"cmp"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/internal/soak/world"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "tamarackedge")
	if out, err := exec.Command("go", "build", "-o", program, "tamarackspool/cmd/tamarackedge").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func soak(t *testing.T, ctx context.Context, s world.Settings) world.Report {
	t.Helper()
	s.Program, s.Duration, s.Entries = program, cmp.Or(s.Duration, 20*time.Second), cmp.Or(s.Entries, 3)
	w, err := world.New(s)
	if err != nil {
		t.Fatal(err)
	}
	r, err := w.Run(ctx)
	if err != nil && ctx.Err() == nil {
		t.Fatal(err)
	}
	return r
}

// Guards against promises that the real entry breaks under faults and planned
// work. A seed that has failed is added here with a line on the cause.
func TestSeeds(t *testing.T) {
	t.Parallel()
	for _, s := range []world.Settings{
		{Seed: 1},
		{Seed: 2},
		// A refusal behind an answer was taken for the next order's, which then ran at a second target.
		{Seed: 714},
		{Seed: 717},
		{Seed: 718},
		{Seed: 720},
		// Answers with a space in a field name reached callers, with bytes that were not the target's body.
		{Seed: 904, Duration: 30 * time.Second, Entries: 6},
		// The era of an invalid answer of the store was believed, and every later answer passed for one of an earlier era.
		{Seed: 1003, Duration: 30 * time.Second, Entries: 6},
	} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			r := soak(t, t.Context(), s)
			if len(r.Violations) > 0 {
				t.Errorf("seed %d: %v\n%s", s.Seed, r.Violations, strings.Join(r.Lines, "\n"))
			}
			if r.Served < 500 || r.Runs < r.Served {
				t.Errorf("seed %d: %d requests served, %d runs", s.Seed, r.Served, r.Runs)
			}
		})
	}
}

// Guards against entries that go back to an older configuration or to a draining target when the store is restored from
// an older copy.
func TestNothingRevertsWhenTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	r := soak(t, t.Context(), world.Settings{Seed: 6, Restore: true})
	if len(r.Violations) > 0 || r.Served < 500 {
		t.Errorf("%d requests served, %v\n%s", r.Served, r.Violations, strings.Join(r.Lines, "\n"))
	}
}

// Guards against a soak that doesn't detect a broken promise.
func TestBrokenPromisesAreFound(t *testing.T) {
	t.Parallel()
	for _, p := range []ledger.Promise{ledger.Whole, ledger.Once, ledger.NotRun, ledger.Recovery, ledger.Repeats, ledger.Leave, ledger.Pause, ledger.Restore} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			r := soak(t, t.Context(), world.Settings{Seed: 3, BreakPromise: string(p)})
			for _, b := range r.Violations {
				if b.Promise == p {
					return
				}
			}
			t.Errorf("found %v", r.Violations)
		})
	}
}

// Guards against a process that outlives an interrupted soak.
func TestInterruptedRunLeavesNoProcess(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	w, err := world.New(world.Settings{Seed: 4, Program: program, Duration: time.Minute, Entries: 3})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Run(ctx); err == nil {
		t.Error("an interrupted run returned no error")
	}
	if n := w.Running(); n != 0 {
		t.Errorf("%d processes are still running", n)
	}
}

// Guards against a soak that runs with a value out of range.
func TestSettingsAreChecked(t *testing.T) {
	for want, s := range map[string]world.Settings{
		"--for":     {Duration: time.Second, Entries: 3},
		"--nodes":   {Duration: time.Minute, Entries: 1},
		"--break":   {Duration: time.Minute, Entries: 3, BreakPromise: "all"},
		"--targets": {Duration: time.Minute, Entries: 3, Targets: -1},
	} {
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want an error that names %s", s, err, want)
		}
	}
}

// Guards against a measurement that misses a metric or leaves a process running.
func TestCostIsMeasured(t *testing.T) {
	t.Parallel()
	w, err := world.New(world.Settings{Seed: 5, Program: program, Duration: 20 * time.Second, Entries: 3, Targets: 200})
	if err != nil {
		t.Fatal(err)
	}
	costs, err := w.MeasureCost(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(costs) != 2 || costs[0].ChangesPerSecond != 0 || costs[1].ChangesPerSecond <= 0 {
		t.Fatalf("%+v, want one cost without changes and one with them", costs)
	}
	for _, c := range costs {
		for _, r := range c.Rows {
			if r.Sum <= 0 || r.Max < r.Median {
				t.Errorf("%d entries, %.1f changes a second: %+v", c.Entries, c.ChangesPerSecond, r)
			}
		}
	}
	if n := w.Running(); n != 0 {
		t.Errorf("%d processes are still running", n)
	}
}
