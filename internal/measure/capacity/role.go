package capacity

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// The design size (docs/design.md, section 1).
const (
	DesignNodes   = 590
	DesignBlocks  = 4_700_000
	DesignSites   = 75
	DesignLookups = 410_000 // per second, all entries together
	DesignChanges = 370     // per day
)

// Scale is the unit of the sizes of a role, the sizes to measure and the size to extrapolate to.
type Scale struct {
	Unit       string
	Sizes      []int
	DesignSize float64
}

// Role is a part of an entry whose cost is measured at several sizes.
type Role interface {
	Name() string
	Scale() Scale
	// Measure returns the figures at one size by their names.
	Measure(ctx context.Context, size int) (map[string]float64, error)
}

// Budgets are the highest permitted values of the figures at the design size. Those of an entry's
// CPU time, memory and sent bytes and of the store's calls apply to the sum over all roles, which Total checks.
var Budgets = map[string]float64{
	"sent-bytes/s":      4096,
	"core-percent":      2.2,
	"memory-MB":         128,
	"loading-MB":        128,
	"propagation-max-s": 7,
	"store-writes/s":    300, // the lower end of "several hundred"
	"store-reads/s":     2000,
	"largest-value-MB":  1,
}

// Run measures the role at each size and fits a line to every figure.
func Run(ctx context.Context, role Role) ([]Slope, error) {
	scale := role.Scale()
	var sizes []float64
	values := make(map[string][]float64)
	for _, size := range scale.Sizes {
		figures, err := role.Measure(ctx, size)
		if err != nil {
			return nil, fmt.Errorf("capacity: %s at %d %s: %w", role.Name(), size, scale.Unit, err)
		}
		sizes = append(sizes, float64(size))
		for name, v := range figures {
			values[name] = append(values[name], v)
		}
	}
	var out []Slope
	for name, v := range values {
		if len(v) != len(sizes) {
			return nil, fmt.Errorf("capacity: role %s returned figure %s at only %d of %d sizes", role.Name(), name, len(v), len(sizes))
		}
		out = append(out, Fit(role.Name(), name, scale, sizes, v))
	}
	slices.SortFunc(out, func(a, b Slope) int { return strings.Compare(a.Figure, b.Figure) })
	return out, nil
}
