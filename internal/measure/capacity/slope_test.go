package capacity_test

import (
	"context"
	"math"
	"testing"

	"tamarackspool/internal/measure/capacity"
)

type linear struct{}

func (linear) Name() string { return "linear" }

func (linear) Measure(_ context.Context, nodes int) (map[string]float64, error) {
	return map[string]float64{"memory-MB": 10 + 0.25*float64(nodes)}, nil
}

// Guards against a wrong extrapolation or a budget that is not applied.
func TestSlopeIsExtrapolatedAndJudged(t *testing.T) {
	slopes, err := capacity.Run(t.Context(), linear{}, []int{12, 48, 192, 400})
	if err != nil || len(slopes) != 1 {
		t.Fatalf("%v, %v", slopes, err)
	}
	if s := slopes[0]; math.Abs(s.Design-157.5) > 1e-6 || s.Pass || s.Error > 1e-6 {
		t.Errorf("slope = %+v", s)
	}
	if err := capacity.Plot(slopes, t.TempDir()); err != nil {
		t.Error(err)
	}
}
