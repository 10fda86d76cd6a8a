package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot of differences: plotRowHeight for each policy, and plotMargin for the title and
// the axis.
const (
	plotWidth     = 18 * vg.Centimeter
	plotRowHeight = 1 * vg.Centimeter
	plotMargin    = 4 * vg.Centimeter
)

// policyLabel returns the label of a policy with the given mechanisms disabled.
func policyLabel(disabled string) string {
	switch disabled {
	case "":
		return "all mechanisms"
	case Naive:
		return Naive
	}
	return "without " + disabled
}

// WriteTable writes differences as a text table with a line for each group and policy.
func WriteTable(w io.Writer, differences []Difference) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "group\tpolicy\tseeds\tworth\tdifference\t95%\tbetter\tworse")
	for _, d := range differences {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.4f\t%+.4f\t±%.4f\t%d\t%d\n", d.Group, policyLabel(d.Policy), d.Seeds, d.EarnedShare, d.Mean, d.HalfWidth, d.Better, d.Worse)
	}
	return t.Flush()
}

// WriteJSON writes differences as a JSON array.
func WriteJSON(w io.Writer, differences []Difference) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(differences)
}

// errorBars holds the points of a plot and their confidence intervals.
type errorBars struct {
	plotter.XYs
	plotter.XErrors
}

// SavePlot plots the differences over all seeds with their confidence intervals. The extension of
// path (.svg or .png) selects the format.
func SavePlot(path string, differences []Difference) error {
	var bars errorBars
	var names []string
	for _, d := range differences {
		if d.Group != AllSeeds || len(names) == 0 && d.Mean == 0 && d.HalfWidth == 0 {
			continue // a group, or the first policy
		}
		bars.XYs = append(bars.XYs, plotter.XY{X: d.Mean, Y: float64(len(names))})
		bars.XErrors = append(bars.XErrors, struct{ Low, High float64 }{d.HalfWidth, d.HalfWidth})
		names = append(names, policyLabel(d.Policy))
	}
	if len(names) == 0 {
		return fmt.Errorf("plot %s: no policy to compare with the first one", path)
	}
	p := plot.New()
	p.Title.Text = "Worth of the answers, paired by seed, with 95% confidence intervals"
	p.X.Label.Text = "difference from the first policy"
	p.NominalY(names...)
	points, err := plotter.NewScatter(bars.XYs)
	if err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	whiskers, err := plotter.NewXErrorBars(bars)
	if err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	p.Add(plotter.NewGrid(), points, whiskers)
	if err := p.Save(plotWidth, plotMargin+plotRowHeight*vg.Length(len(names)), path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
