package trial

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// resultOf returns the result of a seed with a policy.
func resultOf(seed uint64, policy string, worth float64, groups ...string) Result {
	return Result{Seed: seed, Policy: policy, Groups: groups, Outcome: Outcome{EarnedShare: worth}}
}

// Guards against comparisons of different seeds, and against differences with the wrong sign or
// in the wrong group.
func TestCompare(t *testing.T) {
	c := qt.New(t)
	results := []Result{
		resultOf(1, "", 0.5, "burst"), resultOf(2, "", 0.9), resultOf(3, "", 0.7),
		resultOf(2, "moves", 0.9), resultOf(1, "moves", 0.3, "burst"),
	}
	got, err := Compare(results, []string{"", "moves"})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 4)
	c.Check(got[0].Mean, qt.Equals, 0.0)
	c.Check(got[0].Seeds, qt.Equals, 3)
	all, burst := got[1], got[3]
	c.Check(all.Seeds, qt.Equals, 2) // seeds with results of both policies
	c.Check(all.Mean > -0.1001 && all.Mean < -0.0999, qt.IsTrue, qt.Commentf("%v", all.Mean))
	c.Check(all.Worse, qt.Equals, 1)
	c.Check(all.Better, qt.Equals, 0)
	c.Check(all.HalfWidth > 0.19 && all.HalfWidth < 0.2, qt.IsTrue, qt.Commentf("%v", all.HalfWidth)) // 1.96 x 0.1414 / sqrt(2)
	c.Check(burst.Group, qt.Equals, "burst")
	c.Check(burst.Seeds, qt.Equals, 1)
	_, err = Compare(results, nil)
	c.Check(err, qt.ErrorMatches, "no policy to compare with")

	var table, asJSON bytes.Buffer
	c.Assert(WriteTable(&table, got), qt.IsNil)
	c.Check(strings.Contains(table.String(), "without moves"), qt.IsTrue)
	c.Assert(WriteJSON(&asJSON, got), qt.IsNil)
	c.Check(strings.Contains(asJSON.String(), `"difference": -0.`), qt.IsTrue)
	file := filepath.Join(t.TempDir(), "differences.svg")
	c.Assert(SavePlot(file, got), qt.IsNil)
	svg, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Check(bytes.Contains(svg, []byte("without moves")), qt.IsTrue)
	c.Check(SavePlot(file, got[:1]), qt.ErrorMatches, ".*no policy to compare with the first one")
}

// Guards against seeds that are left out or run twice when they are divided among processes.
func TestRunner(t *testing.T) {
	c := qt.New(t)
	done := 0
	r := Runner{
		Module: "..", Policies: []string{"", Naive}, FirstSeed: 1015, Seeds: seedsPerProcess/5 + 1, Processes: 2,
		Progress: func(n, all int) {
			done = n
			c.Check(all, qt.Equals, 2*(seedsPerProcess/5+1))
		},
	}
	results, err := r.Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(done, qt.Equals, len(results))
	seen := make(map[uint64]map[string]bool)
	for _, p := range results {
		if seen[p.Seed] == nil {
			seen[p.Seed] = make(map[string]bool)
		}
		seen[p.Seed][p.Policy] = true
		c.Check(p.Outcome.Jobs > 0, qt.IsTrue)
	}
	for seed := r.FirstSeed; seed < r.FirstSeed+uint64(r.Seeds); seed++ {
		c.Check(seen[seed], qt.DeepEquals, map[string]bool{"": true, Naive: true}, qt.Commentf("seed %d", seed))
	}

	r.Policies = []string{"", "nonsense"}
	_, err = r.Run(t.Context())
	c.Check(err, qt.ErrorMatches, `"nonsense" is not a mechanism .*`)
	r.Policies = []string{""}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = r.Run(ctx)
	c.Check(err, qt.IsNotNil)
}
