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

// Size of a plot of differences: plotRow for each policy, plotFrame for the title and the
// axis.
const (
	plotWidth     = 18 * vg.Centimeter
	plotRowHeight = 1 * vg.Centimeter
	plotMargin    = 4 * vg.Centimeter
)

// policyName names a policy by the mechanisms that it does without.
func policyLabel(disabled string) string {
	switch disabled {
	case "":
		return "all mechanisms"
	case Naive:
		return Naive
	}
	return "without " + disabled
}

// WriteTable writes differences, one line for each group and policy.
func WriteTable(w io.Writer, differences []Difference) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "group\tpolicy\tseeds\tworth\tdifference\t95%\tbetter\tworse")
	for _, d := range differences {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.4f\t%+.4f\t±%.4f\t%d\t%d\n", d.Group, policyLabel(d.Policy), d.Seeds, d.Worth, d.Mean, d.HalfWidth, d.Better, d.Worse)
	}
	return t.Flush()
}

// WriteJSON writes differences as an array.
func WriteJSON(w io.Writer, differences []Difference) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(differences)
}

// errorBars are the points of a plot with their confidence intervals.
type errorBars struct {
	plotter.XYs
	plotter.XErrors
}

// SavePlot draws the differences of all seeds with their confidence intervals. The
// extension of path (.svg or .png) selects the format.
func SavePlot(path string, differences []Difference) error {
	var bars errorBars
	var names []string
	for _, d := range differences {
		if d.Group != AllSeeds || len(names) == 0 && d.Mean == 0 && d.HalfWidth == 0 {
			continue // a group, or the policy that the others are compared with
		}
		bars.XYs = append(bars.XYs, plotter.XY{X: d.Mean, Y: float64(len(names))})
		bars.XErrors = append(bars.XErrors, struct{ Low, High float64 }{d.HalfWidth, d.HalfWidth})
		names = append(names, policyLabel(d.Policy))
	}
	if len(names) == 0 {
		return fmt.Errorf("plot %s: there is one policy", path)
	}
	p := plot.New()
	p.Title.Text = "Worth of the answers, paired by seed, with 95% confidence"
	p.X.Label.Text = "difference to the first policy"
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
