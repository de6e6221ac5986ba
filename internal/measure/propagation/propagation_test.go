package propagation_test

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"tamarackspool/internal/measure/propagation"
)

// Guards against a measurement that misses entries, counts no store calls, or leaks goroutines.
func TestRun(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, err := propagation.Run(t.Context(), propagation.Settings{
		Seed: 1, Sizes: []int{6}, Changes: 3, Faulty: 1, Window: time.Second, Settle: 3 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Rows) != 4 || r.Rows[0].BusyCalls.Writes == 0 || r.Rows[0].LastEntryLatencies.Max <= 0 {
		t.Errorf("report\n%v", r)
	}
	for _, w := range r.Rows {
		if w.Missed != 0 {
			t.Errorf("fault %s: %d entries were missed", w.Fault, w.Missed)
		}
	}
}

// Guards against accepting settings that are out of range.
func TestSettings(t *testing.T) {
	for _, s := range []propagation.Settings{
		{Sizes: []int{5}}, {Sizes: []int{97}}, {Changes: -1}, {Faulty: 501}, {Window: time.Millisecond}, {Settle: time.Hour},
	} {
		if _, err := propagation.Run(t.Context(), s); err == nil {
			t.Errorf("%+v was accepted", s)
		}
	}
}
