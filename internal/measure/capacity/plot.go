package capacity

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a drawing.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes one SVG drawing per slope into the directory: the measured points and the fitted line.
func Plot(slopes []Slope, directory string) error {
	for _, s := range slopes {
		p := plot.New()
		p.Title.Text = s.Role + ": " + s.Figure
		p.X.Label.Text, p.Y.Label.Text = "nodes", s.Figure
		points := make(plotter.XYs, len(s.Nodes))
		for i := range points {
			points[i] = plotter.XY{X: s.Nodes[i], Y: s.Values[i]}
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
		line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Base}, {X: DesignNodes, Y: s.Design}})
		if err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
		p.Add(scatter, line)
		name := strings.NewReplacer("/", "-per-").Replace(s.Role+"-"+s.Figure) + ".svg"
		if err := p.Save(plotWidth, plotHeight, filepath.Join(directory, name)); err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
	}
	return nil
}
