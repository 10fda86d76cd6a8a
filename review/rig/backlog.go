package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// kindOfJob is a kind of request of the site, with the means of its shape.
type kindOfJob struct {
	perS       float64
	count, ms  int
	cumulative float64
}

// siteMix returns the kinds of the site, with cumulative rates, and the sum of the rates.
func siteMix() (kinds []kindOfJob, perS float64) {
	kinds = []kindOfJob{{perS: 34.4, count: 8, ms: 60}, {perS: 6.25, count: 4, ms: 900}, {perS: 100, count: 2, ms: 200}}
	for i := range kinds {
		perS += kinds[i].perS
		kinds[i].cumulative = perS
	}
	return kinds, perS
}

// backlog hands in the site's traffic as stored jobs where one worker is left, which cannot run them soon,
// lets the store be down for 4.5 s, and looks whether the jobs go on.
func backlog(rec *recorder, trouble bool) ([]string, error) {
	const (
		length = 80 * time.Second
		down   = 4500 * time.Millisecond
		finish = 14 * time.Second // finish_s, from the end of the traffic
	)
	c, err := startCluster(rec, options{
		entries: 2, workers: 1, room: resources{64_000, 262_144}, config: config(1, 4, true),
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	if err := c.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the entries share the partitions
	cl := newClients(c)
	kinds, perS := siteMix()
	tick := time.NewTicker(time.Duration(float64(time.Second) / perS))
	var g sync.WaitGroup
	n := 0
	for end := time.Now().Add(length); time.Now().Before(end); n++ {
		<-tick.C
		k, draw := kinds[0], perS*rand.Float64()
		for i := 1; draw > k.cumulative; i++ {
			k = kinds[i]
		}
		g.Go(func() {
			task := resources{6200, 64}
			cl.submit(randomID(), n%2, spec(k.ms, task, "done", 0), step{Count: k.count, CPU: task.CPU, Mem: task.Mem, Estimate: k.ms})
		})
	}
	tick.Stop()
	g.Wait()
	ended := time.Now()
	rec.line("the traffic ends; runs so far: %d", c.started())
	if trouble {
		rec.line("the store is down for %v", down)
		c.storeFault(down, storeFaults{down: "busy"})
		rec.line("the store is back")
	}
	time.Sleep(time.Until(ended.Add(finish - quietTime)))
	before := c.started()
	time.Sleep(time.Until(ended.Add(finish)))
	rec.line("runs so far: %d, and %v ago %d", c.started(), quietTime, before)
	cl.ask(cl.jobs[len(cl.jobs)-1], 0)
	if waiting := cl.notDone(); c.started() == before && waiting > 0 {
		return []string{fmt.Sprintf("LOST %d accepted jobs are not done, no task has started for %v, and the worker is empty", waiting, quietTime)}, nil
	}
	return nil, nil
}

// notDone returns the number of accepted jobs of which no run has ended done.
func (cl *clients) notDone() (n int) {
	done := make(map[string]bool)
	for task, runs := range cl.c.history() {
		for _, r := range runs {
			done[jobOf(task)] = done[jobOf(task)] || r.how == "done"
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, j := range cl.jobs {
		if !j.accepted.IsZero() && !done[j.id] {
			n++
		}
	}
	return n
}

// started returns the number of runs that the workers have started.
func (c *cluster) started() (n int) {
	for _, m := range c.workers {
		n += len(m.runs())
	}
	return n
}
