package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/procfs"
	"gonum.org/v1/gonum/stat"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// SlopeOptions configure a measurement of the cost of each role by cluster size.
type SlopeOptions struct {
	Agents  []int // numbers of agents to measure, in ascending order
	Entries int
	// Idle and Busy are the durations of the two measured windows.
	Idle, Busy time.Duration
	// StartsPerSecond is the rate of task starts offered in the busy window, in jobs of
	// JobTasks tasks without run time. Zero skips the busy window.
	StartsPerSecond float64
	JobTasks        int
	Module          string
	Out             io.Writer
}

// quiesceDelay lets connections, announcements and the garbage collector reach a steady
// state before a window.
const quiesceDelay = 5 * time.Second

// usage is the resource usage of one process, or the mean over the processes of a role.
type usage struct {
	cpu      float64 // processor seconds per second
	rss      float64 // bytes
	messages float64 // sent per second
	bytes    float64 // sent per second, without transport headers
}

type slopeRow struct {
	agents          int
	entry, agent    usage // of the idle window
	busyEntry       usage
	busyAgent       usage
	startsPerSecond float64
}

// Slopes measures entries and agents, idle and busy, at each number of agents and prints a
// table and linear fits of the idle cost.
func Slopes(ctx context.Context, o SlopeOptions) error {
	dir, err := os.MkdirTemp("", "oriole-slopes-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := proctest.Build(ctx, o.Module, dir); err != nil {
		return err
	}
	var rows []slopeRow
	fmt.Fprintln(o.Out, "| agents | role | window | starts/s | CPU % of a core | RSS MB | messages/s sent | bytes/s sent |")
	fmt.Fprintln(o.Out, "|---|---|---|---|---|---|---|---|")
	for _, n := range o.Agents {
		row, err := o.measureSize(ctx, dir, n)
		if err != nil {
			return fmt.Errorf("%d agents: %w", n, err)
		}
		rows = append(rows, row)
		o.printRow(row)
	}
	fmt.Fprintln(o.Out)
	o.printFits(rows)
	return nil
}

func (o SlopeOptions) printRow(r slopeRow) {
	line := func(role, window string, starts float64, u usage) {
		fmt.Fprintf(o.Out, "| %d | %s | %s | %.0f | %.2f | %.1f | %.1f | %.0f |\n",
			r.agents, role, window, starts, 100*u.cpu, u.rss/1e6, u.messages, u.bytes)
	}
	line("entry", "idle", 0, r.entry)
	line("agent", "idle", 0, r.agent)
	line("entry", "busy", r.startsPerSecond, r.busyEntry)
	line("agent", "busy", r.startsPerSecond, r.busyAgent)
}

// printFits prints least-squares fits of the idle cost over the number of agents, and the
// processor time per start of the busy windows.
func (o SlopeOptions) printFits(rows []slopeRow) {
	fit := func(label, unit string, value func(slopeRow) float64) {
		var x, y []float64
		for _, r := range rows {
			x = append(x, float64(r.agents))
			y = append(y, value(r))
		}
		if len(x) < 2 {
			return
		}
		a, b := stat.LinearRegression(x, y, nil, false)
		fmt.Fprintf(o.Out, "- %s: %.4g %s + %.4g %s per agent (R² %.3f)\n", label, a, unit, b, unit, stat.RSquared(x, y, nil, a, b))
	}
	fit("idle entry, processor", "% of a core", func(r slopeRow) float64 { return 100 * r.entry.cpu })
	fit("idle entry, memory", "MB", func(r slopeRow) float64 { return r.entry.rss / 1e6 })
	fit("idle entry, messages sent", "1/s", func(r slopeRow) float64 { return r.entry.messages })
	fit("idle entry, bytes sent", "B/s", func(r slopeRow) float64 { return r.entry.bytes })
	fit("idle agent, processor", "% of a core", func(r slopeRow) float64 { return 100 * r.agent.cpu })
	fit("idle agent, memory", "MB", func(r slopeRow) float64 { return r.agent.rss / 1e6 })
	fit("idle agent, messages sent", "1/s", func(r slopeRow) float64 { return r.agent.messages })
	fit("idle agent, bytes sent", "B/s", func(r slopeRow) float64 { return r.agent.bytes })
	for _, r := range rows {
		if r.startsPerSecond == 0 {
			continue
		}
		entries := float64(o.Entries)
		fmt.Fprintf(o.Out, "- %d agents, busy: %.1f µs of entry processor and %.1f µs of agent processor per start, over the idle cost\n", r.agents,
			1e6*(r.busyEntry.cpu-r.entry.cpu)*entries/r.startsPerSecond,
			1e6*(r.busyAgent.cpu-r.agent.cpu)*float64(r.agents)/r.startsPerSecond)
	}
}

// trivialWorkload returns a workload of jobs whose tasks have no run time.
func (o SlopeOptions) trivialWorkload() load.Workload {
	return load.Workload{Name: "trivial", Service: "trivial", Team: "veils", Classes: []load.Class{{
		Kind: "trivial", Weight: 1, MinTasks: o.JobTasks, MaxTasks: o.JobTasks,
		RunTime: load.RunTimeDistribution{Min: time.Microsecond, Max: time.Microsecond}, Deadline: 5 * time.Second,
	}}}
}

func (o SlopeOptions) measureSize(ctx context.Context, bin string, n int) (slopeRow, error) {
	row := slopeRow{agents: n}
	dir, err := os.MkdirTemp("", "oriole-slopes-run-")
	if err != nil {
		return row, err
	}
	defer os.RemoveAll(dir)
	w := o.trivialWorkload()
	spec := proctest.Spec{Entries: o.Entries}
	for range n {
		spec.Workers = append(spec.Workers, proctest.Worker{Service: w.Service, Speed: 1, Slots: 8})
	}
	c, err := proctest.NewCluster(dir, bin, spec)
	if err != nil {
		return row, err
	}
	defer c.Stop()
	if err := startCluster(ctx, c); err != nil {
		return row, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.Configure(readyCtx, "least_expected_finish", w); err != nil {
		return row, err
	}
	if err := sleep(ctx, quiesceDelay); err != nil {
		return row, err
	}
	row.entry, row.agent, err = o.measureWindow(ctx, c, func() error { return sleep(ctx, o.Idle) })
	if err != nil || o.StartsPerSecond == 0 {
		return row, err
	}
	return row, o.measureBusy(ctx, c, w, &row)
}

func (o SlopeOptions) measureBusy(ctx context.Context, c *proctest.Cluster, w load.Workload, row *slopeRow) error {
	plan := load.Plan{Workload: w, Seed: 1, Rate: o.StartsPerSecond / float64(o.JobTasks), Duration: o.Busy}
	var outcomes []load.Outcome
	begin := time.Now()
	var err error
	row.busyEntry, row.busyAgent, err = o.measureWindow(ctx, c, func() error {
		outcomes = c.Target(proctest.VeilsToken).RunPlan(ctx, plan)
		return nil
	})
	seconds := time.Since(begin).Seconds()
	tasks := 0
	for _, out := range outcomes {
		if out.Verdict == load.Complete {
			tasks += len(out.Submission.RunTimes)
		}
	}
	row.startsPerSecond = float64(tasks) / seconds
	return err
}

// measureWindow returns the usage of both roles during work.
func (o SlopeOptions) measureWindow(ctx context.Context, c *proctest.Cluster, work func() error) (entry, agent usage, err error) {
	before, err := sampleAll(ctx, c)
	if err != nil {
		return entry, agent, err
	}
	begin := time.Now()
	if err := work(); err != nil {
		return entry, agent, err
	}
	after, err := sampleAll(ctx, c)
	if err != nil {
		return entry, agent, err
	}
	seconds := time.Since(begin).Seconds()
	return meanUsage(before.entries, after.entries, seconds), meanUsage(before.agents, after.agents, seconds), nil
}

type samples struct{ entries, agents []usage }

func sampleAll(ctx context.Context, c *proctest.Cluster) (samples, error) {
	var s samples
	var err error
	if s.entries, err = sampleRole(ctx, c.Entries, c.EntryHTTP); err != nil {
		return s, err
	}
	s.agents, err = sampleRole(ctx, c.Agents, c.AgentHTTP)
	return s, err
}

// sampleRole reads the totals since the start of each process and its current memory.
func sampleRole(ctx context.Context, processes []*proctest.Process, urls []string) ([]usage, error) {
	var list []usage
	for i, p := range processes {
		st, err := processStat(p)
		if err != nil {
			return nil, err
		}
		u := usage{cpu: st.CPUTime(), rss: float64(st.ResidentMemory())}
		m, err := load.ReadMetrics(ctx, http.DefaultClient, urls[i])
		if err != nil {
			return nil, err
		}
		for _, v := range m.SentByType("oriole_messages_total") {
			u.messages += v
		}
		for _, v := range m.SentByType("oriole_message_bytes_total") {
			u.bytes += v
		}
		list = append(list, u)
	}
	return list, nil
}

func meanUsage(before, after []usage, seconds float64) usage {
	var u usage
	n := float64(len(after))
	for i, a := range after {
		b := before[i]
		u.cpu += (a.cpu - b.cpu) / seconds / n
		u.rss += a.rss / n
		u.messages += (a.messages - b.messages) / seconds / n
		u.bytes += (a.bytes - b.bytes) / seconds / n
	}
	return u
}

func processStat(p *proctest.Process) (procfs.ProcStat, error) {
	proc, err := procfs.NewProc(p.PID())
	if err != nil {
		return procfs.ProcStat{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	st, err := proc.Stat()
	if err != nil {
		return procfs.ProcStat{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	return st, nil
}
