package capacity

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes one SVG file per slope into the directory, with the measured points, the fitted line and the budget.
func Plot(slopes []Slope, directory string) error {
	for _, s := range slopes {
		if len(s.Sizes) == 0 {
			continue // a sum over roles has no points
		}
		p := plot.New()
		p.Title.Text = s.Role + ": " + s.Figure
		p.X.Label.Text, p.Y.Label.Text = s.Unit, s.Figure
		points := make(plotter.XYs, len(s.Sizes))
		for i := range points {
			points[i] = plotter.XY{X: s.Sizes[i], Y: s.Values[i]}
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
		line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Intercept}, {X: s.ExtrapolatedTo, Y: s.DesignValue}})
		if err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
		p.Add(scatter, line)
		if s.Budget > 0 {
			limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Budget}, {X: s.ExtrapolatedTo, Y: s.Budget}})
			if err != nil {
				return fmt.Errorf("capacity: %w", err)
			}
			limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
			p.Add(limit)
		}
		name := strings.NewReplacer("/", "-per-").Replace(s.Role+"-"+s.Figure) + ".svg"
		if err := p.Save(plotWidth, plotHeight, filepath.Join(directory, name)); err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
	}
	return nil
}
