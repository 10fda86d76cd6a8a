package load

import (
	"fmt"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// SavePlot plots p50 and p99 of response/ideal over the load for each policy.
// The extension of path (.svg or .png) selects the format.
func SavePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Response time relative to the ideal"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "response / ideal"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	lines := map[string]plotter.XYs{}
	for _, r := range results {
		if r.Ratio.Count == 0 {
			continue
		}
		lines[r.Policy+" p50"] = append(lines[r.Policy+" p50"], plotter.XY{X: r.Load, Y: r.Ratio.P50})
		lines[r.Policy+" p99"] = append(lines[r.Policy+" p99"], plotter.XY{X: r.Load, Y: r.Ratio.P99})
	}
	if len(lines) == 0 {
		return fmt.Errorf("plot %s: no run has a complete answer", path)
	}
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	var args []any
	for _, name := range names {
		pts := lines[name]
		sort.Slice(pts, func(i, j int) bool { return pts[i].X < pts[j].X })
		args = append(args, name, pts)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
