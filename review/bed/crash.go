package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crashes-unknown"] = crashesUnknown }

const (
	// crashAfter is the time from the start of the task to the crash.
	crashAfter = 120 * time.Millisecond
	// hostsLost is how often the agent beside the worker is killed at the moment of the crash, and hostTime is how
	// long it is away.
	hostsLost = 2
	hostTime  = 3 * time.Second
	// crashesAllowed and startsAllowed are the figures of the rule: after so many crashes fewer starts than these.
	crashesAllowed = 3
	startsAllowed  = 3
	crashWatch     = 40 * time.Second
	// touchTime is the time without a disruption after which a machine is in touch.
	touchTime = 3 * time.Second
)

// crashesUnknown plays one job that has to be kept, whose task crashes each worker that starts it. The hosts of the first
// two workers go down with them.
func crashesUnknown(rec *record, trouble bool) (bool, error) {
	c, err := startCluster(rec, 3, 11, workerCPU, workerMem)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	crashes := 0
	lostAt := make(map[int]time.Duration) // by agent
	for i, m := range c.workers {
		m.mu.Lock()
		m.onCrash = func(r *run) {
			mu.Lock()
			defer mu.Unlock()
			crashes++
			rec.logf("crash %d: %s run %d crashes %s", crashes, r.task, r.number, r.worker)
			if trouble && crashes <= hostsLost {
				lostAt[i] = rec.now()
				c.agents[i].signal(syscall.SIGKILL, hostTime)
			}
		}
		m.mu.Unlock()
	}
	o := newOrdinary(c)
	id := newID(o.rng)
	a := c.submit(0, id, jobBody{
		Spec:  spec(work{MS: 1000, CPU: 500, Mem: 64, Crash: int(crashAfter.Milliseconds())}),
		Steps: []step{{Count: 1, CPU: 500, Mem: 64, Estimate: 1000}},
	}, 3*time.Second)
	if a.status != 200 {
		return false, fmt.Errorf("the job is not accepted: status %d %v", a.status, a.err)
	}
	o.play(10*time.Second, 100*time.Millisecond)
	state := ""
	for began := rec.now(); rec.now() < began+crashWatch && state != "failed"; time.Sleep(500 * time.Millisecond) {
		state = c.call(1, "GET", id, nil, askPatience).state
	}
	rec.logf("the job with the task is shown as %q", state)
	var runs []run
	inTouch := make(map[uint32]bool) // by run
	for i, m := range c.workers {
		for _, r := range m.runs() {
			if strings.HasPrefix(r.task, id) {
				runs = append(runs, r)
				at, lost := lostAt[i]
				inTouch[r.number] = !lost || r.started < at || r.started > at+hostTime+touchTime
			}
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return int(a.started - b.started) })
	ended, later := 0, 0
	for _, r := range runs {
		before := 0
		for _, other := range runs {
			if other.how == "crashed" && other.ended <= r.started {
				before++
			}
		}
		if before >= crashesAllowed && inTouch[r.number] {
			later++
		}
		if r.how == "crashed" {
			ended++
		}
		rec.logf("%s run %d started at %.3f at %s, %d workers had crashed under it, its machine in touch %v; %s at %.3f", r.task, r.number, r.started.Seconds(), r.worker, before, inTouch[r.number], r.how, r.ended.Seconds())
	}
	rec.logf("%d starts by machines in touch after %d workers had crashed under the task; %d crashes in all", later, crashesAllowed, ended)
	fmt.Printf("%d starts by machines in touch after %d workers had crashed under the task; %d crashes in all\n", later, crashesAllowed, ended)
	return later < startsAllowed, nil
}
