package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// trivialName is the name of the service and the kind of tasks without run time.
const trivialName = "trivial"

// startTrivial starts a cluster whose endpoints serve trivialName. stop shuts it down.
func startTrivial(ctx context.Context, module string, entries, workers int) (c *proctest.Cluster, stop func(), err error) {
	dir, err := os.MkdirTemp("", "oriole-trivial-")
	if err != nil {
		return nil, nil, err
	}
	stop = func() {
		if c != nil {
			c.Stop()
		}
		_ = os.RemoveAll(dir) // files left in the temporary directory are harmless
	}
	if err := proctest.Build(ctx, module, dir); err != nil {
		stop()
		return nil, nil, err
	}
	spec := proctest.Spec{Entries: entries}
	for range workers {
		spec.Workers = append(spec.Workers, proctest.Worker{Service: trivialName, Speed: 1, Slots: 8})
	}
	if c, err = proctest.NewCluster(dir, dir, spec); err == nil {
		err = startCluster(ctx, c)
	}
	if err == nil {
		readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		err = c.Configure(readyCtx, "least_expected_finish", load.Workload{Name: trivialName, Service: trivialName, Team: "veils", Classes: []load.Class{{
			Kind: trivialName, Weight: 1, Request: true, RunTime: load.RunTimeDistribution{Min: time.Microsecond, Max: time.Microsecond}, Deadline: 5 * time.Second,
		}}})
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return c, stop, nil
}

// ThroughputOptions configure a closed loop of callers that submit jobs of tasks without
// run time. Each caller submits the next job when the last one is answered.
type ThroughputOptions struct {
	Callers, JobTasks int
	Entries, Workers  int
	Duration          time.Duration
	Module            string
	Out               io.Writer
}

// Throughput prints the task starts per second in complete jobs and the processor time
// of each role. The callers run in this process, on the same machine as the cluster.
func Throughput(ctx context.Context, o ThroughputOptions) error {
	c, stop, err := startTrivial(ctx, o.Module, o.Entries, o.Workers)
	if err != nil {
		return err
	}
	defer stop()
	roles := []struct {
		name      string
		processes []*proctest.Process
		before    float64
	}{{name: "entry", processes: c.Entries}, {name: "agent", processes: c.Agents}, {name: "endpoint", processes: c.Endpoints}}
	for i := range roles {
		if roles[i].before, err = cpuSeconds(roles[i].processes); err != nil {
			return err
		}
	}
	begin := time.Now()
	complete, incomplete, err := o.submitLoop(ctx, c)
	if err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	starts := float64(complete) * float64(o.JobTasks)
	fmt.Fprintf(o.Out, "- %.0f starts/s in %d complete jobs of %d, %d jobs without a complete answer\n", starts/seconds, complete, o.JobTasks, incomplete)
	for _, r := range roles {
		after, err := cpuSeconds(r.processes)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "- %s: %.2f cores, %.3f core-seconds per 1000 starts\n", r.name, (after-r.before)/seconds, 1000*(after-r.before)/starts)
	}
	return nil
}

// submitLoop runs the callers and returns the numbers of jobs with and without a complete answer.
func (o ThroughputOptions) submitLoop(ctx context.Context, c *proctest.Cluster) (complete, incomplete int64, err error) {
	tasks := make([]map[string]any, o.JobTasks)
	for i := range tasks {
		tasks[i] = map[string]any{"payload": map[string]int{"ms": 0}}
	}
	body, err := json.Marshal(map[string]any{"service": trivialName, "kind": trivialName, "tasks": tasks})
	if err != nil {
		return 0, 0, err
	}
	var done, failed atomic.Int64
	end := time.Now().Add(o.Duration)
	g, ctx := errgroup.WithContext(ctx)
	for i := range o.Callers {
		g.Go(func() error {
			for time.Now().Before(end) && ctx.Err() == nil {
				url := c.EntryHTTP[i%len(c.EntryHTTP)] + "/v1/jobs"
				status, err := post(ctx, url, body, map[string]string{"Authorization": "Bearer " + proctest.VeilsToken})
				switch {
				case err != nil:
					return err
				case status == http.StatusOK:
					done.Add(1)
				default:
					failed.Add(1)
				}
			}
			return ctx.Err()
		})
	}
	err = g.Wait()
	return done.Load(), failed.Load(), err
}

func cpuSeconds(processes []*proctest.Process) (float64, error) {
	var sum float64
	for _, p := range processes {
		st, err := processStat(p)
		if err != nil {
			return 0, err
		}
		sum += st.CPUTime()
	}
	return sum, nil
}
