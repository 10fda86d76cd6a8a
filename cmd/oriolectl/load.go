package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"oriolerelay/load"
	"oriolerelay/load/experiment"
)

// throughputWorkers is the number of workers of -throughput.
const throughputWorkers = 6

// loadCommand runs load experiments against separate processes.
type loadCommand struct {
	options  experiment.Options
	workload string
	scale    float64
	maxTasks int
	policies string
	loads    string
	speeds   string
	slopes   string
	starts   float64
	latency  int
	callers  int
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "measure policies and costs against separate processes" }
func (*loadCommand) Usage() string {
	return "load [flags]\nload policies [flags]\n  Builds the programs of the module in the current directory, starts them on\n  loopback, runs every policy at every load on the same arrivals, and writes\n  result.json, result.md and ratio.svg. With -slopes it measures the cost of each\n  role instead, with -latency the time that the system adds to a request, with\n  -throughput the starts per second that the machine carries. \"load policies\"\n  compares policies on generated deployments; \"load policies -help\" lists its flags.\n"
}

func (l *loadCommand) SetFlags(f *flag.FlagSet) {
	o := &l.options
	f.StringVar(&o.Name, "name", "load", "name of the experiment")
	f.StringVar(&l.workload, "workload", "veils", "veils or sleeves")
	f.Float64Var(&l.scale, "scale", 1, "factor on run times")
	f.IntVar(&l.maxTasks, "max-tasks", load.MaxTasks, "largest job")
	f.StringVar(&l.policies, "policy", "least_expected_finish,naive", "policies, which take turns")
	f.StringVar(&l.loads, "loads", "0.7", "loads as fractions of the capacity")
	f.StringVar(&l.speeds, "speeds", "1,2,4", "speed of each endpoint")
	f.IntVar(&o.Slots, "slots", 8, "task slots of each endpoint")
	f.IntVar(&o.Entries, "entries", 2, "entries")
	f.DurationVar(&o.Duration, "length", 20*time.Second, "length of one run")
	f.DurationVar(&o.WarmUp, "warm-up", 3*time.Second, "load before each run that is not counted")
	f.IntVar(&o.Rounds, "rounds", 2, "runs of each policy at each load")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the first round")
	f.Float64Var(&o.DeclaredFactor, "declare", 0, "declared run time as a factor of the true one; 0 declares none")
	f.StringVar(&o.Module, "module", ".", "directory of the module")
	f.StringVar(&o.Out, "out", "out/load", "directory of the results")
	f.Func("fault", "fault such as straggler,endpoint=2,at=2s,for=5s,factor=8 (also fail, kill, burst); repeatable", func(s string) error {
		fault, err := experiment.ParseFault(s)
		o.Faults = append(o.Faults, fault)
		return err
	})
	f.StringVar(&l.slopes, "slopes", "", "numbers of agents, for instance 5,10,20,40")
	f.IntVar(&l.latency, "latency", 0, "number of single requests to compare with direct calls of the endpoint")
	f.IntVar(&l.callers, "throughput", 0, "number of callers that submit jobs of -max-tasks trivial tasks without a pause")
	f.Float64Var(&l.starts, "starts", 500, "starts per second of the busy window of -slopes")
}

func (l *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	run := l.run
	if f.Arg(0) == "policies" {
		run = func(ctx context.Context) error { return runPolicies(ctx, f.Args()[1:]) }
	}
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "oriolectl load:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (l *loadCommand) run(ctx context.Context) error {
	if l.latency > 0 {
		return experiment.Latency(ctx, experiment.LatencyOptions{Calls: l.latency, Module: l.options.Module, Out: os.Stdout})
	}
	if l.callers > 0 {
		return experiment.Throughput(ctx, experiment.ThroughputOptions{
			Callers: l.callers, JobTasks: min(l.maxTasks, load.MaxTasks), Entries: l.options.Entries, Workers: throughputWorkers,
			Duration: l.options.Duration, Module: l.options.Module, Out: os.Stdout,
		})
	}
	if l.slopes != "" {
		return l.runSlopes(ctx)
	}
	o := l.options
	w, err := load.WorkloadByName(l.workload)
	if err != nil {
		return err
	}
	o.Workload = w.Scaled(l.scale, l.maxTasks)
	o.Policies = strings.Split(l.policies, ",")
	if o.Loads, err = numbers(l.loads); err != nil {
		return fmt.Errorf("-loads: %w", err)
	}
	if o.Speeds, err = numbers(l.speeds); err != nil {
		return fmt.Errorf("-speeds: %w", err)
	}
	for _, f := range o.Faults {
		if f.Type != "burst" && f.Endpoint >= len(o.Speeds) {
			return fmt.Errorf("-fault: there is no endpoint %d", f.Endpoint)
		}
	}
	o.Progress = os.Stderr
	results, err := experiment.Run(ctx, o)
	if err != nil {
		return err
	}
	return load.WriteTable(os.Stdout, results)
}

func (l *loadCommand) runSlopes(ctx context.Context) error {
	sizes, err := numbers(l.slopes)
	if err != nil {
		return fmt.Errorf("-slopes: %w", err)
	}
	o := experiment.SlopeOptions{
		Entries: l.options.Entries, Idle: l.options.Duration, Busy: l.options.Duration,
		StartsPerSecond: l.starts, JobTasks: min(l.maxTasks, load.MaxTasks), Module: l.options.Module, Out: os.Stdout,
	}
	for _, n := range sizes {
		o.Agents = append(o.Agents, int(n))
	}
	return experiment.Slopes(ctx, o)
}

func numbers(list string) ([]float64, error) {
	var out []float64
	for _, s := range strings.Split(list, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil || v <= 0 {
			return nil, fmt.Errorf("%q is not a positive number", s)
		}
		out = append(out, v)
	}
	return out, nil
}
