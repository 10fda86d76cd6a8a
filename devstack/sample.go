package devstack

import (
	"context"
	"fmt"
	"io"
	"time"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// sampleSeed makes the run times of the sample jobs reproducible.
const sampleSeed = 1

// sampleLength and sampleRate (submissions per second) give about 20 submissions.
const (
	sampleLength = 2 * time.Second
	sampleRate   = 10
)

// runSamples configures the sample service, runs the sample jobs and checks that each was
// answered in full and that no task started twice.
func runSamples(ctx context.Context, cluster *proctest.Cluster, o Options) error {
	w := load.Veils().Scaled(0.3, 30)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range cluster.Entries {
		if err := proctest.Poll(startCtx, p.Name+" is ready", func() error { return proctest.GetOK(startCtx, p.ReadyURL) }); err != nil {
			return err
		}
	}
	if err := cluster.Configure(startCtx, "least_expected_finish", w); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "ticket 1 is in force: service %s, 2 entries, %d endpoints\n\n", w.Service, len(cluster.Spec.Workers))
	target := cluster.Target(proctest.VeilsToken)
	outcomes := target.RunPlan(ctx, load.Plan{Workload: w, Seed: sampleSeed, Rate: sampleRate, Duration: sampleLength})
	if err := printAnswers(o.Out, outcomes, cluster.Fleet(w.Service)); err != nil {
		return err
	}
	starts, err := target.CountStarts(ctx)
	if err != nil {
		return err
	}
	for key, n := range starts {
		if n > 1 {
			return fmt.Errorf("task %s started %d times", key, n)
		}
	}
	fmt.Fprintf(o.Out, "\n%d submissions answered in full, %d tasks started, none twice\n", len(outcomes), len(starts))
	return nil
}

// printAnswers prints a table of the answers and returns an error unless all are complete.
func printAnswers(w io.Writer, outcomes []load.Outcome, fleet load.Fleet) error {
	fmt.Fprintf(w, "%-14s %5s  %-5s %-9s %9s %9s  %s\n", "kind", "tasks", "entry", "status", "response", "ideal", "id")
	incomplete := 0
	for _, o := range outcomes {
		ideal := fleet.Ideal(o.Submission)
		fmt.Fprintf(w, "%-14s %5d  %-5d %-9s %6d ms %6d ms  %s", o.Submission.Class.Kind, len(o.Submission.RunTimes), o.Entry+1,
			o.Verdict, o.Response.Milliseconds(), ideal.Milliseconds(), o.Answer.ID)
		if o.Verdict != load.Complete {
			incomplete++
			fmt.Fprintf(w, " %s %v", o.ErrorKind(), o.Err)
		}
		fmt.Fprintln(w)
	}
	if incomplete > 0 || len(outcomes) == 0 {
		return fmt.Errorf("%d of %d sample submissions were not answered in full", incomplete, len(outcomes))
	}
	return nil
}

// printAddresses prints the addresses of all roles and the tokens.
func printAddresses(w io.Writer, c *proctest.Cluster) {
	fmt.Fprintf(w, "\nRunning until interrupted.\n  platform  %s\n", c.PlatformHTTP)
	for i, e := range c.EntryHTTP {
		fmt.Fprintf(w, "  entry-%d   %s\n", i+1, e)
	}
	for i, a := range c.AgentHTTP {
		fmt.Fprintf(w, "  agent-%d   %s with endpoint %s (speed %g)\n", i+1, a, c.EndpointHTTP[i], c.Spec.Workers[i].Speed)
	}
	fmt.Fprintf(w, "  caller token %s, operator token %s\n", proctest.VeilsToken, proctest.OperatorToken)
}
