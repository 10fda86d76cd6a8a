package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// cancelled is a job whose cancelling was answered.
type cancelled struct {
	id     string
	at     time.Time
	status int
}

// lostCancel hands in stored jobs of several steps, of which clients cancel half soon after the
// acceptance, freezes one entry for a second, ten times, and looks for tasks that start long after the
// answer to a cancelling.
func lostCancel(rec *recorder, trouble bool) ([]string, error) {
	const (
		freeze   = time.Second
		freezes  = 10
		cancelIn = 3 * time.Second // cancel_ms
		taskMS   = 1500
		steps    = 8
	)
	c, err := startCluster(rec, options{
		entries: 3, workers: 5, room: resources{64_000, 262_144}, config: config(1, 4, true),
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
	res := resources{200, 64}
	var chain []step
	for i := range steps {
		s := step{Count: 1, CPU: res.CPU, Mem: res.Mem, Estimate: taskMS}
		if i > 0 {
			s.After = []int{i - 1}
		}
		chain = append(chain, s)
	}
	var mu sync.Mutex
	var answered []cancelled
	var traffic sync.WaitGroup
	stop := make(chan struct{})
	traffic.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(12 * time.Millisecond):
			}
			traffic.Go(func() {
				j := cl.submit(randomID(), 2*(n/2%2), spec(taskMS, res, "done", 0), chain...)
				if j.accepted.IsZero() {
					return
				}
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				if n%2 != 0 {
					cl.ask(j, rand.IntN(3))
					return
				}
				e := 1 // the entry that freezes
				status, _, err := cl.call(http.MethodDelete, e, queuePrefix+j.id, nil)
				rec.line("DELETE %s entry=%d status=%d err=%v", j.id, e+1, status, err)
				if err == nil && (status == http.StatusOK || status == http.StatusGone) {
					mu.Lock()
					answered = append(answered, cancelled{j.id, time.Now(), status})
					mu.Unlock()
				}
			})
		}
	})
	traffic.Go(func() { // clients ask for the states of jobs from time to time
		for {
			select {
			case <-stop:
				return
			case <-time.After(15 * time.Millisecond):
			}
			cl.mu.Lock()
			n := len(cl.jobs)
			if n == 0 {
				cl.mu.Unlock()
				continue
			}
			j := cl.jobs[max(n-1-rand.IntN(100), 0)]
			cl.mu.Unlock()
			traffic.Go(func() { _, _, _ = cl.call(http.MethodGet, 1, queuePrefix+j.id, nil) })
		}
	})
	time.Sleep(3 * time.Second)
	for range freezes {
		if trouble {
			rec.line("freeze entry=2 for %v", freeze)
			c.entries[1].freeze(freeze)
			rec.line("entry=2 wakes")
		} else {
			time.Sleep(freeze)
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	traffic.Wait()
	time.Sleep(steps*taskMS*time.Millisecond + 3*time.Second)
	starts := make(map[string][]run)
	for task, runs := range c.history() {
		starts[jobOf(task)] = append(starts[jobOf(task)], runs...)
	}
	var broken []string
	for _, d := range answered {
		late := 0
		for _, r := range starts[d.id] {
			if r.start.After(d.at.Add(cancelIn)) {
				late++
			}
		}
		if late > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED job %s: %d tasks started more than %v after its cancelling was answered with %d", d.id, late, cancelIn, d.status))
		}
	}
	rec.line("cancels answered: %d", len(answered))
	return broken, nil
}
