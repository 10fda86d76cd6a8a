package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exploreAttempts is the number of attempts of a task in explore.
const exploreAttempts = 2

// explore plays stored jobs beside random disruptions, chosen by the seed in the variable SEED and limited
// to the kinds in the variable KINDS, and judges all rules that the rig knows. It is no case.
func explore(rec *recorder, trouble bool) ([]string, error) {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	rec.line("seed %d", seed)
	c, err := startCluster(rec, options{
		entries: number("ENTRIES", 3), workers: number("WORKERS", 5), labels: func(i int) []string { return []string{"ab"[i%2 : i%2+1], "r1-" + strconv.Itoa(i/2)} },
		room: resources{8_000, 131_072}, config: config(1, exploreAttempts, os.Getenv("GUARDS") != "0"),
	})
	if err != nil {
		return nil, err
	}
	defer c.close()
	if err := c.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	cl := newClients(c)
	for _, m := range c.workers {
		m.guards = os.Getenv("GUARDS") != "0"
	}
	stop := make(chan struct{})
	var traffic, troubles sync.WaitGroup
	mustFail, needs := make(map[string]bool), make(map[string]step)
	cancelled := make(map[string]time.Time) // when the cancelling was acknowledged; in the far future if it was not
	var mu sync.Mutex
	traffic.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			e, ms, count, outcome, kind := n%len(c.entries), 60+rand.IntN(900), 1+rand.IntN(4), "done", rand.IntN(20)
			if kind < 3 {
				outcome, ms, count = "failed", 200, 1
			}
			id := randomID()
			mu.Lock()
			mustFail[id] = outcome == "failed"
			mu.Unlock()
			res := resources{1000, 256}
			steps := []step{{Count: count, CPU: res.CPU, Mem: res.Mem, Estimate: ms}}
			if n%4 == 0 {
				steps[0].Requires = "b"
			}
			if n%4 == 1 {
				steps[0].AntiAffinity = 1
			}
			mu.Lock()
			needs[id] = steps[0]
			mu.Unlock()
			if kind > 15 {
				steps = append(steps, step{Count: 2, CPU: res.CPU, Mem: res.Mem, Estimate: ms, After: []int{0}})
			}
			traffic.Go(func() {
				j := cl.submit(id, e, spec(ms, res, outcome, 0), steps...)
				if j.accepted.IsZero() {
					return
				}
				if kind == 10 { // it is sent again late
					time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
					_, _, _ = cl.call("POST", (e+1)%len(c.entries), queuePrefix+id, map[string]any{"spec": spec(ms, res, outcome, 0), "steps": steps})
				}
				if kind == 11 {
					time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
					status, _, err := cl.call("DELETE", (e+2)%len(c.entries), queuePrefix+id, nil)
					rec.line("DELETE %s status=%d err=%v", id, status, err)
					at := time.Now()
					if err != nil || status != 200 {
						at = at.Add(time.Hour) // not acknowledged
					}
					mu.Lock()
					cancelled[id] = at
					mu.Unlock()
				}
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
				cl.ask(j, rand.IntN(len(c.entries)))
			})
		}
	})
	if trouble {
		troubles.Go(func() { c.disturb(rng, strings.Fields(os.Getenv("KINDS")), 30*time.Second) })
	}
	time.Sleep(32 * time.Second)
	troubles.Wait()
	time.Sleep(3 * time.Second)
	close(stop)
	traffic.Wait()
	time.Sleep(14 * time.Second)
	for i, j := range cl.jobs {
		if !j.accepted.IsZero() {
			cl.ask(j, i%len(c.entries))
		}
	}
	history := c.history()
	broken := append(judgeTwice(history), judgeBudget(history, exploreAttempts)...)
	broken = append(broken, cl.judgeLost(history)...)
	for _, m := range c.workers {
		broken = append(broken, m.overRoom...)
	}
	broken = append(broken, c.judgeRoute(history, needs)...)
	broken = append(broken, cl.judgeStates(history, mustFail, cancelled)...)
	for _, d := range append(append([]*daemon(nil), c.entries...), c.agents...) {
		if !d.running() {
			broken = append(broken, "ENDED "+d.name)
		}
	}
	rec.line("jobs %d", len(cl.jobs))
	fmt.Println("jobs", len(cl.jobs))
	return broken, nil
}

// judgeStates checks that jobs are shown as completed only if all their tasks are done, as failed only if a
// task failed as often as the queue allows, and as cancelled only if the client has cancelled them.
func (cl *clients) judgeStates(history map[string][]run, mustFail map[string]bool, cancelled map[string]time.Time) (broken []string) {
	done, failed, crashed := make(map[string]int), make(map[string]int), make(map[string]int)
	for task, runs := range history {
		ok, n := false, 0
		for _, r := range runs {
			ok = ok || r.how == "done"
			if r.how == "failed" {
				n++
			}
			if r.how == "crashed" {
				crashed[jobOf(task)]++
			}
			if at, is := cancelled[jobOf(task)]; is && r.start.After(at.Add(3*time.Second)) {
				broken = append(broken, fmt.Sprintf("UNASKED task %s started %v after the cancelling", task, r.start.Sub(at)))
			}
		}
		if ok {
			done[jobOf(task)]++
		}
		failed[jobOf(task)] = max(failed[jobOf(task)], n)
	}
	for _, j := range cl.jobs {
		_, mayBeCancelled := cancelled[j.id]
		switch {
		case j.state == "completed" && (done[j.id] == 0 || mustFail[j.id]):
			broken = append(broken, "MIXED job "+j.id+" is completed, and its tasks are not")
		case j.state == "failed" && failed[j.id] < exploreAttempts && crashed[j.id] < 2:
			broken = append(broken, fmt.Sprintf("LOST job %s is failed after %d failures", j.id, failed[j.id]))
		case j.state == "cancelled" && !mayBeCancelled:
			broken = append(broken, "LOST job "+j.id+" is cancelled without cause")
		case !j.accepted.IsZero() && j.asked == 410:
			broken = append(broken, "LOST job "+j.id+" is not known")
		case j.refused && len(j.state) == 0 && (done[j.id] > 0 || failed[j.id] > 0):
			broken = append(broken, "REFUSED job "+j.id+" was refused at last and has run")
		}
	}
	return broken
}

// number returns the number in a variable of the environment.
func number(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return n
}

// judgeRoute checks the labels and the bounds for each worker of the first steps.
func (c *cluster) judgeRoute(history map[string][]run, needs map[string]step) (broken []string) {
	first := make(map[string][]run) // runs of first steps, by job and worker
	for task, runs := range history {
		if strings.Split(task, ".")[2] != "0" {
			continue
		}
		need := needs[jobOf(task)]
		for _, r := range runs {
			if need.Requires != "" && !slices.Contains(c.workers[r.worker].labels, need.Requires) {
				broken = append(broken, fmt.Sprintf("ROUTE task %s on worker %d", task, r.worker))
			}
			key := jobOf(task) + "/" + strconv.Itoa(r.worker)
			first[key] = append(first[key], r)
		}
	}
	for key, runs := range first {
		if needs[key[:16]].AntiAffinity != 1 {
			continue
		}
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.start.Before(b.end) && b.start.Before(a.end) {
					broken = append(broken, fmt.Sprintf("ROUTE tasks %s and %s beside each other on worker %d", a.task, b.task, a.worker))
				}
			}
		}
	}
	return broken
}

// disturb applies random disruptions of the given kinds, all if none is given.
func (c *cluster) disturb(rng *rand.Rand, kinds []string, length time.Duration) {
	all := []string{
		"kill-entry", "term-entry", "freeze-entry", "kill-agent", "freeze-agent", "cut-agent", "cut-some", "cut-entry", "crash", "crash-keep",
		"rebalance", "forget", "slow", "lost", "late", "late-orders", "late-all", "down-one", "down-all", "revoke",
	}
	if len(kinds) == 0 {
		kinds = all
	}
	var g sync.WaitGroup
	defer g.Wait()
	seconds := func(low, high float64) time.Duration {
		return time.Duration((low + (high-low)*rng.Float64()) * float64(time.Second))
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(seconds(0.3, 3)) {
		kind, e, a, d := kinds[rng.IntN(len(kinds))], rng.IntN(len(c.entries)), rng.IntN(len(c.agents)), seconds(0.4, 5)
		down := []string{"busy", "silent", "reset"}[rng.IntN(3)]
		c.rec.line("DISRUPTION %s entry=%d agent=%d for=%v %s", kind, e+1, a, d.Round(time.Millisecond), down)
		entry, agent := c.entries[e], c.agents[a]
		view := "edge-" + strconv.Itoa(e+1)
		g.Go(func() {
			switch kind {
			case "kill-entry":
				c.restart(entry, min(d, 3500*time.Millisecond))
			case "kill-agent":
				c.restart(agent, min(d/2, 3500*time.Millisecond))
			case "term-entry":
				c.terminate(entry)
			case "freeze-entry":
				entry.freeze(min(d, 4*time.Second))
			case "freeze-agent":
				agent.freeze(min(d, 4*time.Second))
			case "cut-agent":
				c.cutFor(d, c.links[a]...)
			case "cut-some":
				c.cutFor(d, c.links[a][e])
			case "cut-entry":
				var links []*link
				for i := range c.links {
					links = append(links, c.links[i][e])
				}
				c.cutFor(d, links...)
			case "late-orders", "late-all":
				for _, m := range c.workers {
					m.setLate(0.055, kind == "late-all")
				}
				time.Sleep(d)
				for _, m := range c.workers {
					m.setLate(0, false)
				}
			case "crash", "crash-keep":
				c.workers[a].crash(c.ctx, d/2, kind == "crash-keep")
			case "rebalance":
				c.store.rebalance()
			case "forget":
				c.store.forget()
			case "slow":
				c.storeFault(d, storeFaults{slow: 240 * time.Millisecond})
			case "lost", "late":
				c.storeFault(min(d, 4500*time.Millisecond), storeFaults{lost: 0.35, late: kind == "late"})
			case "down-all":
				c.storeFault(min(d, 4500*time.Millisecond), storeFaults{down: down})
			case "down-one":
				c.storeFault(d, storeFaults{down: down}, view)
			case "revoke":
				c.store.revoke(entry.name)
				c.storeFault(d, storeFaults{down: down}, view)
			}
		})
	}
}

// setLate sets the share of the orders that get no answer and are carried out late.
func (m *worker) setLate(share float64, holds bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late, m.lateHolds = share, holds
}

// storeFault applies faults to views of the store for a while, to all if none is given.
func (c *cluster) storeFault(d time.Duration, f storeFaults, views ...string) {
	if len(views) == 0 {
		for _, p := range append(append([]*daemon(nil), c.entries...), c.agents...) {
			views = append(views, p.name)
		}
	}
	for _, v := range views {
		c.store.setFaults(v, f)
	}
	time.Sleep(d)
	for _, v := range views {
		c.store.setFaults(v, storeFaults{})
	}
}

func (c *cluster) cutFor(d time.Duration, links ...*link) {
	for _, l := range links {
		l.cut.Store(true)
	}
	time.Sleep(d)
	for _, l := range links {
		l.cut.Store(false)
	}
}

func (d *daemon) freeze(t time.Duration) {
	d.signal(syscall.SIGSTOP)
	time.Sleep(t)
	d.signal(syscall.SIGCONT)
}

// restart kills d and starts it again after the given time.
func (c *cluster) restart(d *daemon, after time.Duration) {
	d.changing.Lock()
	defer d.changing.Unlock()
	d.kill()
	time.Sleep(after)
	if c.ctx.Err() == nil {
		_ = c.run(d)
	}
}

// terminate stops d as the platform does, and starts it again.
func (c *cluster) terminate(d *daemon) {
	d.changing.Lock()
	defer d.changing.Unlock()
	d.signal(syscall.SIGTERM)
	for end := time.Now().Add(graceSeconds * time.Second); d.running() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	d.kill()
	if c.ctx.Err() == nil {
		_ = c.run(d)
	}
}
