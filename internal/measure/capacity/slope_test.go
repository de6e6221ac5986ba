package capacity_test

import (
	"context"
	"math"
	"testing"

	"tamarackspool/internal/measure/capacity"
)

// memory is a role whose memory grows from base by gain per entry.
type memory struct{ base, gain float64 }

func (memory) Name() string { return "memory" }

func (memory) Scale() capacity.Scale {
	return capacity.Scale{Unit: "nodes", Sizes: []int{12, 48, 192, 400}, DesignSize: capacity.DesignNodes}
}

func (m memory) Measure(_ context.Context, size int) (map[string]float64, error) {
	return map[string]float64{"memory-MB": m.base + m.gain*float64(size), "other": 1}, nil
}

// Guards against a wrong extrapolation, a budget that is not applied and a total that leaves out a role.
func TestSlopesAreExtrapolatedAndJudged(t *testing.T) {
	small, err := capacity.Run(t.Context(), memory{10, 0.1})
	if err != nil || len(small) != 2 {
		t.Fatalf("%v, %v", small, err)
	}
	if s := small[0]; math.Abs(s.DesignValue-69) > 1e-6 || s.Verdict != capacity.Pass || s.RMSError > 1e-6 || s.Margin > 1e-6 {
		t.Errorf("slope = %+v", s)
	}
	if s := small[1]; s.Figure != "other" || s.Verdict != capacity.NoBudget {
		t.Errorf("figure without a budget = %+v", s)
	}
	large, err := capacity.Run(t.Context(), memory{10, 0.25})
	if err != nil || large[0].Verdict != capacity.Fail {
		t.Errorf("157.5 MB: %+v, %v", large, err)
	}
	for _, s := range capacity.Total(append(small, small...)) {
		if s.Figure == "memory-MB" && (math.Abs(s.DesignValue-138) > 1e-6 || s.Verdict != capacity.Fail) {
			t.Errorf("two roles of 69 MB = %+v", s)
		}
	}
	if err := capacity.Plot(small, t.TempDir()); err != nil {
		t.Error(err)
	}
}

// Guards against a figure that passes only through rounding or missing data: a line within the budget whose margin exceeds
// it, a measured value over the budget, a figure slightly over the budget, too few sizes and a value that is not a number.
func TestNothingIsRoundedIntoAPass(t *testing.T) {
	scale := capacity.Scale{Unit: "nodes", DesignSize: capacity.DesignNodes}
	for _, c := range []struct {
		name          string
		sizes, values []float64
		want          capacity.Verdict
	}{
		{"at the budget", []float64{12, 192, 590}, []float64{128, 128, 128}, capacity.Pass},
		{"a little above", []float64{12, 192, 590}, []float64{128.001, 128.001, 128.001}, capacity.Fail},
		{"wide margin", []float64{12, 48, 192}, []float64{90, 130, 105}, capacity.Fail},
		{"margin alone", []float64{12, 192, 400}, []float64{120, 127, 120}, capacity.Fail},
		{"measured value above", []float64{12, 192, 590}, []float64{129, 60, 1}, capacity.Fail},
		{"two sizes", []float64{12, 192}, []float64{1, 1}, capacity.Fail},
		{"not a number", []float64{12, 192, 400}, []float64{1, math.NaN(), 1}, capacity.Fail},
	} {
		if s := capacity.Fit("r", "memory-MB", scale, c.sizes, c.values); s.Verdict != c.want {
			t.Errorf("%s: %s, line %g ± %g", c.name, s.Verdict, s.DesignValue, s.Margin)
		}
	}
	// Computed by hand, the least-squares line is 1 + 2n, with residuals 1, -2 and 1.
	s := capacity.Fit("r", "x", capacity.Scale{DesignSize: 3}, []float64{0, 1, 2}, []float64{2, 1, 6})
	if s.Intercept != 1 || s.GrowthPerUnit != 2 || math.Abs(s.RMSError-math.Sqrt2) > 1e-12 || math.Abs(s.Margin-math.Sqrt(14)) > 1e-12 {
		t.Errorf("fit by hand = %+v", s)
	}
}
