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

// throughputWorkers is the number of agents and endpoints for -throughput.
const throughputWorkers = 6

// loadCommand runs load experiments against daemons in separate processes.
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
func (*loadCommand) Synopsis() string { return "measure policies and costs on separate processes" }
func (*loadCommand) Usage() string {
	return "load [flags]\nload policies [flags]\n  Builds the programs of the module in the current directory, starts them on\n  loopback, runs each policy at each load with the same arrivals, and writes\n  result.json, result.md and ratio.svg. With -slopes it measures the resource use\n  of each role instead, with -latency the overhead of the system per request, with\n  -throughput the starts per second that the machine sustains. \"load policies\"\n  compares policies on generated deployments; \"load policies -help\" lists its flags.\n"
}

func (l *loadCommand) SetFlags(f *flag.FlagSet) {
	o := &l.options
	f.StringVar(&o.Name, "name", "load", "name of the experiment")
	f.StringVar(&l.workload, "workload", "veils", "veils or sleeves")
	f.Float64Var(&l.scale, "scale", 1, "factor for all run times")
	f.IntVar(&l.maxTasks, "max-tasks", load.MaxTasks, "largest number of tasks of a job")
	f.StringVar(&l.policies, "policy", "least_expected_finish,naive", "policies to compare, separated by commas; they run alternately")
	f.StringVar(&l.loads, "loads", "0.7", "loads as fractions of the capacity, separated by commas")
	f.StringVar(&l.speeds, "speeds", "1,2,4", "speed of each endpoint, separated by commas")
	f.IntVar(&o.Slots, "slots", 8, "task slots of each endpoint")
	f.IntVar(&o.Entries, "entries", 2, "entries")
	f.DurationVar(&o.Length, "length", 20*time.Second, "duration of one run")
	f.DurationVar(&o.WarmUp, "warm-up", 3*time.Second, "duration of load before each run that is not measured")
	f.IntVar(&o.Rounds, "rounds", 2, "runs of each policy at each load")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the first round")
	f.Float64Var(&o.Declare, "declare", 0, "declared run time as a multiple of the actual one; 0 declares none")
	f.StringVar(&o.Module, "module", ".", "directory of the module")
	f.StringVar(&o.Out, "out", "out/load", "output directory")
	f.Func("fault", "fault to inject, for instance straggler,endpoint=2,at=2s,for=5s,factor=8 (also fail, kill, burst); repeatable", func(s string) error {
		fault, err := experiment.ParseFault(s)
		o.Faults = append(o.Faults, fault)
		return err
	})
	f.StringVar(&l.slopes, "slopes", "", "measure resource use with these numbers of agents, for instance 5,10,20,40")
	f.IntVar(&l.latency, "latency", 0, "measure overhead with this number of single requests, compared with direct calls of the endpoint")
	f.IntVar(&l.callers, "throughput", 0, "measure throughput with this number of callers, which submit jobs of -max-tasks trivial tasks without a pause")
	f.Float64Var(&l.starts, "starts", 500, "starts per second in the busy period of -slopes")
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
			Length: l.options.Length, Module: l.options.Module, Out: os.Stdout,
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
	if o.Loads, err = parsePositiveNumbers(l.loads); err != nil {
		return fmt.Errorf("-loads: %w", err)
	}
	if o.Speeds, err = parsePositiveNumbers(l.speeds); err != nil {
		return fmt.Errorf("-speeds: %w", err)
	}
	for _, f := range o.Faults {
		if f.Type != "burst" && f.Endpoint >= len(o.Speeds) {
			return fmt.Errorf("-fault: endpoint %d does not exist", f.Endpoint)
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
	sizes, err := parsePositiveNumbers(l.slopes)
	if err != nil {
		return fmt.Errorf("-slopes: %w", err)
	}
	o := experiment.SlopeOptions{
		Entries: l.options.Entries, Idle: l.options.Length, Busy: l.options.Length,
		StartsPerSecond: l.starts, JobTasks: min(l.maxTasks, load.MaxTasks), Module: l.options.Module, Out: os.Stdout,
	}
	for _, n := range sizes {
		o.Agents = append(o.Agents, int(n))
	}
	return experiment.Slopes(ctx, o)
}

// parsePositiveNumbers parses numbers that are separated by commas.
func parsePositiveNumbers(list string) ([]float64, error) {
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
