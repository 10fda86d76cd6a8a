package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

func init() {
	cases["agents-hang"] = agentsHang
	cases["entry-hangs"] = entryHangs
	cases["records-stop"] = recordsStop
	cases["placing-hangs"] = placingHangs
}

// uncontrolled hands jobs in at the entries in turn, one after each pause, waits for the answers at most the given time, and leaves.
func (c *cluster) uncontrolled(jobs []jobBody, every, patience time.Duration) {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid())))
	var wg sync.WaitGroup
	for i, j := range jobs {
		id := newID(rng)
		c.rec.logf("the uncontrolled client hands in %s: spec %s, %d steps, first of %d tasks", id, j.Spec, len(j.Steps), j.Steps[0].Count)
		wg.Go(func() { c.submit(i%len(c.entries), id, j, patience) })
		time.Sleep(every)
	}
	wg.Wait()
	c.rec.logf("the uncontrolled client has left")
}

// playUncontrolled plays ordinary traffic, with the jobs of an uncontrolled client 2 s after its start, and checks LOST,
// and that no process hangs or ends: each agent acknowledges heartbeats of its worker, which are 1.5 s apart, after the traffic.
func playUncontrolled(rec *record, trouble bool, racks int, every time.Duration, jobs []jobBody) (bool, error) {
	c, err := startCluster(rec, 3, 11, workerCPU, workerMem)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	o := newOrdinary(c)
	o.racks = racks
	if trouble {
		time.AfterFunc(2*time.Second, func() { c.uncontrolled(jobs, every, 4*time.Second) })
	}
	o.play(15*time.Second, 50*time.Millisecond)
	end := rec.now()
	rec.logf("the traffic ends; %d jobs were accepted", len(o.jobs))
	lost := o.lost(end)
	ended := 0
	for _, d := range append(append([]*daemon{}, c.entries...), c.agents...) {
		d.mu.Lock()
		ended += d.ends
		d.mu.Unlock()
	}
	hung := c.unacknowledged(end)
	rec.logf("%d of %d workers had no heartbeat acknowledged since the end of the traffic; %d processes ended by themselves", hung, len(c.workers), ended)
	fmt.Printf("%d of %d agents acknowledged no heartbeat for %v; %d processes ended by themselves\n", hung, len(c.workers), (rec.now() - end).Round(time.Second), ended)
	if os.Getenv("DUMP") != "" {
		for _, d := range c.agents {
			d.signal(3, 0)
		}
		time.Sleep(time.Second)
	}
	for _, m := range c.workers {
		m.writeHistory()
	}
	return lost == 0 && hung == 0 && ended == 0, nil
}

// agentsHang: on each rack a job with many tasks that need a thousandth of a core each.
func agentsHang(rec *record, trouble bool) (bool, error) {
	var jobs []jobBody
	for i := range 24 {
		rack := fmt.Sprintf("r%d", 1+i%4)
		jobs = append(jobs, jobBody{
			Spec: spec(work{MS: 20, CPU: 1}), BestEffort: true,
			Steps: []step{{Count: 25000, CPU: 1, Estimate: 20, Requires: rack}},
		})
	}
	return playUncontrolled(rec, trouble, 4, 300*time.Millisecond, jobs)
}

// entryHangs: a job with many small steps, each of which comes after a first step of many tasks.
func entryHangs(rec *record, trouble bool) (bool, error) {
	steps := []step{{Count: 3000, CPU: 1, Estimate: 20}}
	for range 7000 {
		steps = append(steps, step{Count: 1, CPU: 1, After: []int{0}})
	}
	return playUncontrolled(rec, trouble, 0, 0, []jobBody{{Spec: spec(work{MS: 20, CPU: 1}), Steps: steps}})
}

// recordsStop: jobs of which many tasks fail at the same time.
func recordsStop(rec *record, trouble bool) (bool, error) {
	j := jobBody{Spec: spec(work{MS: 2000, CPU: 1, Fails: true}), Steps: []step{{Count: 4600, CPU: 1, Estimate: 2000}}}
	return playUncontrolled(rec, trouble, 0, 2500*time.Millisecond, []jobBody{j, j, j, j, j})
}

// placingHangs: jobs of many tasks, of which a bounded number may run on one worker.
func placingHangs(rec *record, trouble bool) (bool, error) {
	j := jobBody{
		Spec:  spec(work{MS: 20, CPU: 1}),
		Steps: []step{{Count: 42000, CPU: 1, Estimate: 20, AntiAffinity: 4200}},
	}
	return playUncontrolled(rec, trouble, 0, time.Second, []jobBody{j, j, j})
}
