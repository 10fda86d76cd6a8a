package main

import (
	"sync"
	"time"
)

// lostFailure hands in jobs whose only task always fails, beside jobs that keep all workers busy, and cuts
// the path between one agent and one entry for 5 s, four times. A task has two attempts.
func lostFailure(rec *recorder, trouble bool) ([]string, error) {
	const (
		attempts = 2
		cuts     = 4
		cut      = 5 * time.Second
		finish   = 14 * time.Second
	)
	c, err := startCluster(rec, options{
		entries: 3, workers: 5, room: resources{64_000, 262_144}, config: config(1, attempts, true),
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
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	send := func(interval time.Duration, ms, count int, outcome string) {
		res := resources{1000, 256}
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			traffic.Go(func() {
				cl.submit(randomID(), n%3, spec(ms, res, outcome, 0), step{Count: count, CPU: res.CPU, Mem: res.Mem, Estimate: ms})
			})
		}
	}
	traffic.Go(func() { send(100*time.Millisecond, 900, 13, "done") })
	traffic.Go(func() { send(28*time.Millisecond, 250, 1, "failed") })
	time.Sleep(3 * time.Second)
	for i := range cuts {
		if trouble {
			rec.line("cut agent=%d entry=%d for %v", i+1, i%3+1, cut)
			c.cutFor(cut, c.links[i][i%3])
			rec.line("the cut heals")
		} else {
			time.Sleep(cut)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	traffic.Wait()
	time.Sleep(finish)
	for i, j := range cl.jobs {
		cl.ask(j, i%3)
	}
	return judgeBudget(c.history(), attempts), nil
}
