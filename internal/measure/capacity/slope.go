package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Verdict is the result of the comparison of a figure with its budget.
type Verdict string

// The verdicts.
const (
	Pass     Verdict = "pass"
	Fail     Verdict = "fail"
	NoBudget Verdict = "none" // NoBudget means that the figure has no budget.
)

// Slope is the line fitted to the values of a figure at all sizes.
type Slope struct {
	Role           string    `json:"role"`
	Figure         string    `json:"figure"`
	Unit           string    `json:"unit"`
	Sizes          []float64 `json:"sizes"`
	Values         []float64 `json:"values"`
	Intercept      float64   `json:"base"`
	GrowthPerUnit  float64   `json:"gain"`   // growth per unit of size
	RMSError       float64   `json:"error"`  // root mean square of the residuals
	Margin         float64   `json:"margin"` // standard error of the line at the design size; -1 with fewer than three sizes
	ExtrapolatedTo float64   `json:"at"`     // the design size
	DesignValue    float64   `json:"design"` // the value of the line at the design size
	Budget         float64   `json:"budget,omitempty"`
	Verdict        Verdict   `json:"verdict"`
}

// Fit fits a least-squares line to the values and extrapolates it to the design size.
func Fit(role, figure string, scale Scale, sizes, values []float64) Slope {
	intercept, growth := stat.LinearRegression(sizes, values, nil, false)
	squares := 0.0
	for i, n := range sizes {
		r := values[i] - intercept - growth*n
		squares += r * r
	}
	s := Slope{
		Role: role, Figure: figure, Unit: scale.Unit, Sizes: sizes, Values: values, Intercept: intercept, GrowthPerUnit: growth,
		RMSError: math.Sqrt(squares / float64(len(sizes))), Margin: margin(sizes, squares, scale.DesignSize),
		ExtrapolatedTo: scale.DesignSize, DesignValue: intercept + growth*scale.DesignSize, Budget: Budgets[figure],
	}
	s.Verdict = budgetVerdict(s)
	return s
}

// margin returns the standard error of the line at the design size from the sum of the squared residuals.
func margin(sizes []float64, squares, design float64) float64 {
	n := float64(len(sizes))
	if n < 3 {
		return -1
	}
	mean := stat.Mean(sizes, nil)
	spread := 0.0
	for _, x := range sizes {
		spread += (x - mean) * (x - mean)
	}
	return math.Sqrt(squares / (n - 2) * (1/n + (design-mean)*(design-mean)/spread))
}

// budgetVerdict passes a figure only if the line with its margin stays within the budget and no measured value exceeds it.
// Fewer than three sizes have no margin and cannot pass.
func budgetVerdict(s Slope) Verdict {
	if s.Budget == 0 {
		return NoBudget
	}
	if s.Margin < 0 || math.IsNaN(s.Margin) || !(s.DesignValue+s.Margin <= s.Budget) {
		return Fail
	}
	for _, v := range s.Values {
		if !(v <= s.Budget) {
			return Fail
		}
	}
	return Pass
}

// Total adds up the figures of all roles that share a budget and compares the sums with it.
func Total(slopes []Slope) []Slope {
	var out []Slope
	for _, figure := range []string{"core-percent", "memory-MB", "sent-bytes/s", "store-reads/s", "store-writes/s"} {
		total := Slope{Role: "total", Figure: figure, Budget: Budgets[figure]}
		for _, s := range slopes {
			if s.Figure != figure {
				continue
			}
			total.DesignValue += s.DesignValue
			if s.Margin < 0 || total.Margin < 0 {
				total.Margin = -1
			} else {
				total.Margin += s.Margin // the roles run on one machine at the same time; their errors can add up
			}
		}
		total.Verdict = budgetVerdict(total)
		out = append(out, total)
	}
	return out
}
