package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteJSON writes r as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes r as text tables by cause, by queue and by second.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "jobs\t%d\nin time\t%d\t%s\nlost\t%d\t%s\nabandoned by caller\t%d\nin progress\t%d\n",
		r.Jobs, r.InTime, percent(r.InTime, r.Jobs), r.Lost, percent(r.Lost, r.Jobs), r.Abandoned, r.InProgress)
	if r.Skipped > 0 {
		fmt.Fprintf(t, "unparsable event lines\t%d\n", r.Skipped)
	}
	fmt.Fprintf(t, "refused with free capacity\t%d\tof %d\tmedian status age %.0f ms\n",
		r.Refusals.WithFreeCapacity, r.Refusals.Jobs, r.Refusals.MedianStatusAgeMS)
	fmt.Fprintf(t, "\ncause\tjobs\tshare of jobs\n")
	for _, c := range r.Causes {
		fmt.Fprintf(t, "%s\t%d\t%s\n", c.Cause, c.Jobs, percent(c.Jobs, r.Jobs))
	}
	fmt.Fprintf(t, "\nqueue\tjobs\tlost\tmain causes\n")
	for _, q := range r.Queues {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", q.Queue, q.Jobs, percent(q.Lost, q.Jobs), topCauses(q.Causes))
	}
	fmt.Fprintf(t, "\nsecond\tjobs\tin time\tbound\tmain causes\n")
	for _, s := range r.Seconds {
		fmt.Fprintf(t, "%d\t%d\t%.3f\t%.3f\t%s\n", s.Second, s.Jobs, 1-float64(s.Lost)/float64(max(s.Jobs, 1)), s.UpperBound, topCauses(s.Causes))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func percent(part, whole int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(max(whole, 1)))
}

// topCauses returns the three causes with the most jobs as text.
func topCauses(counts []CauseCount) string {
	var parts []string
	for _, c := range counts[:min(len(counts), 3)] {
		parts = append(parts, fmt.Sprintf("%s %d", c.Cause, c.Jobs))
	}
	return strings.Join(parts, ", ")
}

// refusalSample is the state known to the entry when it refused a job.
type refusalSample struct{ statusAgeMS float64 }

// add counts a job that was refused. The line is that of the entry that placed the job.
func (r *Refusals) add(c Cause, placement *line) {
	if c != NoCapacity && c != CallerTimeout || placement == nil || placement.text("free_millicores") == "" {
		return
	}
	r.Jobs++
	if placement.number("free_millicores") >= placement.number("need_millicores") {
		r.WithFreeCapacity++
	}
	r.samples = append(r.samples, refusalSample{placement.number("heard_ms")})
}

func (r *Refusals) computeMedian() {
	if len(r.samples) == 0 {
		return
	}
	slices.SortFunc(r.samples, func(a, b refusalSample) int { return cmp.Compare(a.statusAgeMS, b.statusAgeMS) })
	r.MedianStatusAgeMS = r.samples[len(r.samples)/2].statusAgeMS
}
