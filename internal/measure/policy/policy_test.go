package policy_test

import (
	"reflect"
	"testing"

	"tamarackspool/internal/measure/policy"
)

func measure(t *testing.T, s policy.Settings) policy.Report {
	t.Helper()
	r, err := policy.Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	for i := range r.Figures {
		// Measured durations differ between runs.
		r.Figures[i].ChoiceTime, r.Figures[i].TickTime = 0, 0
	}
	return r
}

// Guards against figures that differ between two runs with the same seed.
func TestSameSeedSameFigures(t *testing.T) {
	s := policy.Settings{Deployment: "cartridge", Scenario: "drain", Seed: 7, Policies: []string{"owner"}}
	a, b := measure(t, s), measure(t, s)
	if !reflect.DeepEqual(a.Figures, b.Figures) {
		t.Errorf("two runs of seed 7 differ")
	}
}

// Guards against an oracle that exceeds the limits and is therefore no valid bound.
func TestOracleRespectsLimits(t *testing.T) {
	r := measure(t, policy.Settings{Deployment: "cartridge", Scenario: "region-returns", Seed: 3, Policies: []string{"oracle"}})
	for _, f := range r.Figures {
		if f.Policy == "oracle" && (f.TicksOver > 0 || f.ExcessSlotSeconds > 0) {
			t.Errorf("oracle was %d ticks over a limit and %.1f slot-seconds over the slots", f.TicksOver, f.ExcessSlotSeconds)
		}
	}
}

// Guards against a misspelt scenario that measures nothing and passes.
func TestUnknownScenario(t *testing.T) {
	if _, err := policy.Run(t.Context(), policy.Settings{Deployment: "all", Scenario: "none"}); err == nil {
		t.Error("an unknown scenario is accepted")
	}
}
