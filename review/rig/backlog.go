package main

import (
	"fmt"
	"sync"
	"time"
)

// backlog hands in more stored jobs than the workers can run soon, lets the store be down for 4.5 s, and
// looks whether the jobs go on.
func backlog(rec *recorder, trouble bool) ([]string, error) {
	const (
		jobs   = 15_400
		perS   = 252
		taskMS = 3600
		down   = 4500 * time.Millisecond
		calm   = 15 * time.Second
	)
	c, err := startCluster(rec, options{
		entries: 3, workers: 4, room: resources{64_000, 262_144}, config: config(1, 4, true),
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	if err := c.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // the entries share the partitions
	cl := newClients(c)
	task := resources{6200, 64}
	tick := time.NewTicker(time.Second / perS)
	var g sync.WaitGroup
	limit := make(chan struct{}, 200)
	for n := range jobs {
		<-tick.C
		limit <- struct{}{}
		g.Go(func() {
			defer func() { <-limit }()
			cl.submit(randomID(), n%3, spec(taskMS, task, "done", 0), step{Count: 1, CPU: task.CPU, Mem: task.Mem, Estimate: taskMS})
		})
	}
	tick.Stop()
	g.Wait()
	rec.line("handed in; runs so far: %d", c.started())
	if trouble {
		rec.line("the store is down for %v", down)
		c.storeFault(down, storeFaults{down: "busy"})
		rec.line("the store is back")
	} else {
		time.Sleep(down)
	}
	time.Sleep(calm)
	before := c.started()
	time.Sleep(quietTime)
	rec.line("runs so far: %d, and %v ago %d", c.started(), quietTime, before)
	cl.ask(cl.jobs[len(cl.jobs)-1], 0)
	waiting := 0
	for _, runs := range c.history() {
		for _, r := range runs {
			if r.how == "done" {
				waiting--
			}
		}
	}
	for _, j := range cl.jobs {
		if !j.accepted.IsZero() {
			waiting++
		}
	}
	if c.started() == before && waiting > 0 {
		return []string{fmt.Sprintf("LOST %d accepted jobs wait, no task has started for %v, and all workers are empty", waiting, quietTime)}, nil
	}
	return nil, nil
}

// started returns the number of runs that the workers have started.
func (c *cluster) started() (n int) {
	for _, m := range c.workers {
		n += len(m.runs())
	}
	return n
}
