package capacity

import (
	"context"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// DesignNodes is the fleet size to extrapolate to (docs/design.md, section 1).
const DesignNodes = 590

// Role is a part of a node whose cost is measured at several sizes of the fleet.
type Role interface {
	Name() string
	// Measure returns the figures at one size by their names.
	Measure(ctx context.Context, nodes int) (map[string]float64, error)
}

// Budgets are the most that a figure may reach at the design size.
var Budgets = map[string]float64{
	"sent-bytes/s":      4096,
	"core-percent":      2.2,
	"memory-MB":         128,
	"propagation-max-s": 7,
}

// Slope is the line through the figures of all sizes.
type Slope struct {
	Role   string    `json:"role"`
	Figure string    `json:"figure"`
	Nodes  []float64 `json:"nodes"`
	Values []float64 `json:"values"`
	Base   float64   `json:"base"`
	Gain   float64   `json:"gain"`  // growth per node
	Error  float64   `json:"error"` // root mean square of the residuals
	Design float64   `json:"design"`
	Budget float64   `json:"budget,omitempty"`
	Pass   bool      `json:"pass"` // true without a budget
}

// Fit lays a least-squares line through the values and extrapolates it to the design size.
func Fit(role, figure string, nodes, values []float64) Slope {
	base, gain := stat.LinearRegression(nodes, values, nil, false)
	sum := 0.0
	for i, n := range nodes {
		r := values[i] - base - gain*n
		sum += r * r
	}
	s := Slope{
		Role: role, Figure: figure, Nodes: nodes, Values: values, Base: base, Gain: gain,
		Error: math.Sqrt(sum / float64(len(nodes))), Design: base + gain*DesignNodes, Budget: Budgets[figure],
	}
	s.Pass = s.Budget == 0 || s.Design <= s.Budget
	return s
}

// Run measures the role at each size and fits every figure.
func Run(ctx context.Context, role Role, sizes []int) ([]Slope, error) {
	var nodes []float64
	values := make(map[string][]float64)
	for _, size := range sizes {
		figures, err := role.Measure(ctx, size)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, float64(size))
		for name, v := range figures {
			values[name] = append(values[name], v)
		}
	}
	var out []Slope
	for name, v := range values {
		if len(v) == len(nodes) {
			out = append(out, Fit(role.Name(), name, nodes, v))
		}
	}
	slices.SortFunc(out, func(a, b Slope) int { return strings.Compare(a.Figure, b.Figure) })
	return out, nil
}
