// Package experiment runs load against a cluster of separate processes on
// loopback and compares policies on the same arrivals.
package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// Options configure an experiment.
type Options struct {
	Name           string
	Workload       load.Workload
	Policies       []string
	Loads          []float64
	Entries        int
	Speeds         []float64 // of the endpoints; each has its own agent
	Slots          int
	Duration       time.Duration // of one run
	WarmUp         time.Duration // of the load before each run, which is not measured
	Rounds         int
	Seed           uint64
	DeclaredFactor float64
	Faults         []Fault
	// Module is the directory of the Go module from which the programs are built.
	Module string
	// Out is the directory to which result.json, result.md and ratio.svg are written.
	Out string
	// Progress receives one line per run.
	Progress io.Writer
}

// startTimeout bounds the startup of the processes and each change of policy.
const startTimeout = 30 * time.Second

// measurement accumulates all rounds of one policy at one load.
type measurement struct {
	recorder *load.Recorder
	result   load.Result
}

// Run starts the processes, measures every policy at every load and writes the
// results. In each round the policies run one after the other on the same arrivals.
func Run(ctx context.Context, o Options) ([]load.Result, error) {
	dir, err := os.MkdirTemp("", "oriole-load-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if err := proctest.Build(ctx, o.Module, dir); err != nil {
		return nil, err
	}
	spec := proctest.Spec{Entries: o.Entries}
	for _, s := range o.Speeds {
		spec.Workers = append(spec.Workers, proctest.Worker{Service: o.Workload.Service, Speed: s, Slots: o.Slots})
	}
	cluster, err := proctest.NewCluster(dir, dir, spec)
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	if err := startCluster(ctx, cluster); err != nil {
		return nil, err
	}
	results, err := o.runAll(ctx, cluster)
	if err != nil {
		return results, err
	}
	return results, o.write(results)
}

func startCluster(ctx context.Context, c *proctest.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return c.Start(ctx)
}

func (o Options) runAll(ctx context.Context, c *proctest.Cluster) ([]load.Result, error) {
	var results []load.Result
	for _, fraction := range o.Loads {
		measurements := map[string]*measurement{}
		for _, policy := range o.Policies {
			measurements[policy] = &measurement{recorder: load.NewRecorder(), result: load.Result{
				Name: o.Name, Workload: o.Workload.Name, Policy: policy, Load: fraction, Seed: o.Seed, Rounds: o.Rounds,
				Declared: formatDeclared(o.DeclaredFactor),
			}}
		}
		for round := range o.Rounds {
			for i := range o.Policies {
				// The order rotates from round to round, so that no policy always runs first.
				policy := o.Policies[(i+round)%len(o.Policies)]
				if err := o.runOnce(ctx, c, measurements[policy], policy, fraction, uint64(round)); err != nil {
					return results, err
				}
			}
		}
		for _, policy := range o.Policies {
			results = append(results, measurements[policy].result)
		}
	}
	return results, nil
}

func formatDeclared(factor float64) string {
	if factor == 0 {
		return "none"
	}
	return fmt.Sprintf("x%g", factor)
}

func (o Options) runOnce(ctx context.Context, c *proctest.Cluster, m *measurement, policy string, fraction float64, round uint64) error {
	readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.Configure(readyCtx, policy, o.Workload); err != nil {
		return fmt.Errorf("policy %s: %w", policy, err)
	}
	token := proctest.VeilsToken
	if o.Workload.Team == "sleeves" {
		token = proctest.SleevesToken
	}
	t := c.Target(token)
	fleet := c.Fleet(o.Workload.Service)
	plan := load.Plan{
		Workload: o.Workload, Seed: o.Seed + round, Duration: o.Duration, DeclaredFactor: o.DeclaredFactor,
		Rate: o.Workload.RateFor(fraction, fleet.Capacity()), Bursts: bursts(o.Faults),
	}
	if o.WarmUp > 0 {
		warm := plan
		warm.Seed, warm.Duration, warm.Bursts = o.Seed+1_000_000+round, o.WarmUp, nil
		t.RunPlan(ctx, warm)
	}
	waitFaults := startFaults(ctx, c, o.Faults)
	fleet = liveFleet(fleet, o.Faults, o.Duration)
	m.result.Fleet = fleet
	for _, f := range o.Faults {
		if round == 0 {
			m.result.Faults = append(m.result.Faults, fmt.Sprintf("%+v", f))
		}
	}
	outcomes, err := t.Measure(ctx, plan, fleet, m.recorder, &m.result)
	if err != nil {
		return err
	}
	if err := waitFaults(); err != nil {
		return fmt.Errorf("fault: %w", err)
	}
	if err := c.CheckAlive(); err != nil {
		return fmt.Errorf("load %.2f, round %d, %s: %w", fraction, round+1, policy, err)
	}
	fmt.Fprintf(o.Progress, "%s: load %.0f%%, round %d, %s: %d submissions, p50 %.2f, p99 %.2f so far\n",
		o.Name, 100*fraction, round+1, policy, len(outcomes), m.result.Ratio.P50, m.result.Ratio.P99)
	return nil
}

func (o Options) write(results []load.Result) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return err
	}
	for name, write := range map[string]func(io.Writer, []load.Result) error{
		"result.json": load.WriteJSON, "result.md": load.WriteTable,
	} {
		f, err := os.Create(filepath.Join(o.Out, name))
		if err != nil {
			return err
		}
		if err := write(f, results); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	return load.SavePlot(filepath.Join(o.Out, "ratio.svg"), results)
}
