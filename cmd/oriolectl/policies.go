package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"

	"oriolerelay/policy"
	"oriolerelay/trial"
)

// policiesCommand compares policies in simulations of generated deployments, loads and
// faults.
type policiesCommand struct {
	runner trial.Runner
	off    []string
	ablate bool
	groups bool
	format string
	plot   string
}

const policiesUsage = `load policies [flags]
Simulates generated deployments, loads and faults with several policies and the same
arrivals, and prints by how much the value of the answers differs from that with all
mechanisms enabled. Builds package trial of the module in -module. Flags:
`

func (c *policiesCommand) flags() *flag.FlagSet {
	f := flag.NewFlagSet("load policies", flag.ContinueOnError)
	f.Usage = func() {
		fmt.Fprint(f.Output(), policiesUsage)
		f.PrintDefaults()
	}
	f.StringVar(&c.runner.Module, "module", ".", "directory of the module")
	f.Uint64Var(&c.runner.FirstSeed, "first", 1, "first seed")
	f.IntVar(&c.runner.Seeds, "seeds", 100, "number of seeds")
	f.IntVar(&c.runner.Processes, "processes", runtime.NumCPU(), "number of seeds that are simulated in parallel")
	f.Func("off", "also compare a policy without these mechanisms (separated by commas, or naive for all); repeatable", func(list string) error {
		_, err := trial.ParsePolicy(list)
		c.off = append(c.off, list)
		return err
	})
	f.BoolVar(&c.ablate, "ablate", false, "also compare policies with one mechanism disabled each")
	f.BoolVar(&c.groups, "groups", false, "also print the differences for groups of deployments")
	f.StringVar(&c.format, "format", "table", "table or json")
	f.StringVar(&c.plot, "plot", "", "write a plot to this .svg or .png file")
	return f
}

// policies returns the policies to compare as lists of disabled mechanisms. The first one,
// the baseline, has all mechanisms enabled.
func (c *policiesCommand) policies() []string {
	out := append([]string{""}, c.off...)
	if c.ablate {
		for _, m := range policy.Mechanisms() {
			out = append(out, string(m))
		}
	}
	if len(out) == 1 {
		out = append(out, trial.Naive)
	}
	return out
}

func (c *policiesCommand) run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	f := c.flags()
	f.SetOutput(stderr)
	if err := f.Parse(args); errors.Is(err, flag.ErrHelp) {
		return nil
	} else if err != nil {
		return err
	}
	if c.format != "table" && c.format != "json" {
		return fmt.Errorf("format %q is neither table nor json", c.format)
	}
	if c.runner.Seeds < 1 || f.NArg() > 0 {
		return fmt.Errorf("-seeds must be at least 1, and no arguments are allowed")
	}
	c.runner.Policies = c.policies()
	c.runner.Progress = func(done, all int) { fmt.Fprintf(stderr, "\r%s", progressBar(done, all)) }
	results, err := c.runner.Run(ctx)
	fmt.Fprintln(stderr)
	if err != nil {
		return err
	}
	differences, err := trial.Compare(results, c.runner.Policies)
	if err != nil {
		return err
	}
	if c.plot != "" {
		if err := trial.SavePlot(c.plot, differences); err != nil {
			return err
		}
	}
	if !c.groups {
		differences = differences[:len(c.runner.Policies)] // the differences over all seeds come first
	}
	if c.format == "json" {
		err = trial.WriteJSON(stdout, differences)
	} else {
		err = trial.WriteTable(stdout, differences)
	}
	if err != nil {
		return err
	}
	return guaranteeViolations(results)
}

// guaranteeViolations returns an error that lists the guarantees that were violated in the
// simulations, or nil.
func guaranteeViolations(results []trial.Result) error {
	var violations []string
	for _, result := range results {
		for _, violation := range result.Outcome.Violations {
			violations = append(violations, fmt.Sprintf("seed %d, off %q: %s", result.Seed, result.Policy, violation))
		}
	}
	if len(violations) > 0 {
		return fmt.Errorf("violated guarantees:\n%s", strings.Join(violations, "\n"))
	}
	return nil
}

// progressWidth is the width of the progress bar in characters.
const progressWidth = 40

func progressBar(done, all int) string {
	n := progressWidth * done / max(all, 1)
	return fmt.Sprintf("[%s%s] %d/%d", strings.Repeat("#", n), strings.Repeat(" ", progressWidth-n), done, all)
}

// runPolicies runs the subcommand "load policies", which has its own flags.
func runPolicies(ctx context.Context, args []string) error {
	return new(policiesCommand).run(ctx, args, os.Stdout, os.Stderr)
}
