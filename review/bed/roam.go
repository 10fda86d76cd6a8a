package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roam"] = roam }

// sentJob is a job as its client knows it.
type sentJob struct {
	id         string
	body       jobBody
	sent       time.Duration
	acceptedAt time.Duration // 0 if it was not
	rejected   int
	tries      int
	cancelSent time.Duration
	cancelAck  time.Duration
	shown      string
	shownAt    time.Duration
}

type load struct {
	c    *cluster
	rng  *rand.Rand
	mu   sync.Mutex
	jobs map[string]*sentJob
	bad  []string
	wg   sync.WaitGroup
}

func (l *load) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bad = append(l.bad, fmt.Sprintf(format, args...))
}

func (l *load) newJob() *sentJob {
	k := work{MS: 20 + l.rng.IntN(300), CPU: 500 + 500*l.rng.IntN(4), Mem: 64}
	if l.rng.IntN(6) == 0 {
		k.MS = 1500 + l.rng.IntN(3000)
	}
	if l.rng.IntN(40) == 0 {
		k.Fails = true
	}
	steps := 1 + l.rng.IntN(3)
	j := &sentJob{id: newID(l.rng)}
	j.body.Spec = spec(k)
	for i := range steps {
		s := step{Count: 1 + l.rng.IntN(6), CPU: k.CPU, Mem: k.Mem, Estimate: k.MS}
		if i > 0 {
			s.After = []int{l.rng.IntN(i)}
		}
		j.body.Steps = append(j.body.Steps, s)
	}
	if l.rng.IntN(3) == 0 {
		j.body.BestEffort, j.body.Steps = true, j.body.Steps[:1]
		j.body.Spec = spec(work{MS: min(k.MS, 300), CPU: k.CPU, Mem: k.Mem})
	}
	return j
}

// client hands a job in, follows it and cancels it now and then.
func (l *load) client(j *sentJob, cancelAfter, repeatAfter time.Duration, entry int, until time.Duration) {
	defer l.wg.Done()
	rec := l.c.rec
	entries := len(l.c.entries)
	l.mu.Lock()
	j.sent = rec.now()
	l.jobs[j.id] = j
	l.mu.Unlock()
	for rec.now() < until {
		a := l.c.submit(entry, j.id, j.body, 2500*time.Millisecond)
		l.mu.Lock()
		j.tries++
		switch {
		case a.status/100 == 2:
			j.acceptedAt = rec.now()
			if j.body.BestEffort {
				j.shown, j.shownAt = a.state, rec.now()
			}
		case a.status == 429 || a.status == 503 || a.status == 404:
			j.rejected++
		}
		done := j.acceptedAt > 0
		l.mu.Unlock()
		if done {
			break
		}
		if a.status == 429 || a.status == 503 || a.status == 404 {
			return
		}
		entry = (entry + 1) % entries
		if j.body.BestEffort {
			time.Sleep(1300 * time.Millisecond)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if j.body.BestEffort || j.acceptedAt == 0 {
		return
	}
	if repeatAfter > 0 {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			time.Sleep(repeatAfter)
			a := l.c.submit((entry+1)%entries, j.id, j.body, 2500*time.Millisecond)
			_ = a
		}()
	}
	if cancelAfter > 0 {
		time.Sleep(cancelAfter)
		l.mu.Lock()
		j.cancelSent = rec.now()
		l.mu.Unlock()
		for try := 0; try < 6; try++ {
			a := l.c.call((entry+try)%entries, "DELETE", j.id, nil, 2500*time.Millisecond)
			rec.logf("DELETE %s at entry %d: %d %v", j.id, (entry+try)%entries, a.status, a.err)
			if a.status/100 == 2 || a.status == 410 {
				l.mu.Lock()
				j.cancelAck = rec.now()
				l.mu.Unlock()
				if a.status == 410 {
					l.violate("LOST: DELETE of accepted %s is answered 410", j.id)
				}
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
		return
	}
	for rec.now() < until {
		e := l.rngEntry()
		a := l.c.call(e, "GET", j.id, nil, 2500*time.Millisecond)
		if a.status == 410 {
			l.violate("LOST?: GET of %s (accepted %.3f) at entry %d at %.3f is answered 410", j.id, j.acceptedAt.Seconds(), e, rec.now().Seconds())
		}
		if a.err != nil || a.status != 200 || rec.now() > until-2*time.Second {
			rec.logf("GET %s at entry %d: %d %s %v", j.id, e, a.status, a.state, a.err)
		}
		if a.status == 200 && (a.state == "completed" || a.state == "failed" || a.state == "cancelled") {
			l.mu.Lock()
			j.shown, j.shownAt = a.state, rec.now()
			l.mu.Unlock()
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func (l *load) rngEntry() int { return rand.IntN(len(l.c.entries)) }

func roam(rec *record, trouble bool) (bool, error) {
	seed := uint64(envInt("SEED", 1))
	c, err := startCluster(rec, envInt("ENTRIES", 3), envInt("AGENTS", 5), 32000, 131072)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	l := &load{c: c, rng: rand.New(rand.NewPCG(seed, 7)), jobs: make(map[string]*sentJob)}
	began := rec.now()
	length := time.Duration(envInt("LENGTH", 20)) * time.Second
	end := began + length
	if trouble {
		go l.troubles(rand.New(rand.NewPCG(seed, 11)), end-2*time.Second)
	}
	for rec.now() < end {
		j := l.newJob()
		cancel, repeat := time.Duration(0), time.Duration(0)
		if l.rng.IntN(8) == 0 {
			cancel = time.Duration(l.rng.IntN(2500)+10) * time.Millisecond
		}
		if l.rng.IntN(8) == 0 {
			repeat = time.Duration(l.rng.IntN(4000)+10) * time.Millisecond
		}
		l.wg.Add(1)
		go l.client(j, cancel, repeat, l.rng.IntN(len(c.entries)), end+26*time.Second)
		time.Sleep(time.Duration(20+l.rng.IntN(50)) * time.Millisecond)
	}
	l.wg.Wait()
	time.Sleep(max(0, end+14*time.Second-rec.now()))
	l.judge(end)
	for _, b := range l.bad {
		rec.logf("VIOLATION %s", b)
		fmt.Println(b)
	}
	rec.logf("%d jobs", len(l.jobs))
	return len(l.bad) == 0, nil
}

// troubles injects the disruptions that KINDS names, one after the other or overlapping.
func (l *load) troubles(rng *rand.Rand, until time.Duration) {
	c, rec := l.c, l.c.rec
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	if os.Getenv("KINDS") == "" {
		kinds = []string{"deal", "forget", "down", "slow", "lost", "late", "node503", "nodesilent", "nodereset", "killentry", "killagent", "freezeentry", "freezeagent",
			"term", "termagent", "crash", "crashsame", "leave", "hang", "laterun", "cutagent", "cutentry", "killall"}
	}
	allDoors := func(f faults) {
		for _, d := range c.store.doors {
			d.set(f)
		}
	}
	time.Sleep(time.Second)
	for rec.now() < until {
		kind := kinds[rng.IntN(len(kinds))]
		e, a := rng.IntN(len(c.entries)), rng.IntN(len(c.agents))
		d := time.Duration(500+rng.IntN(5000)) * time.Millisecond
		rec.logf("TROUBLE %s entry %d agent %d for %v", kind, e, a, d)
		after := func(f func()) { time.AfterFunc(d, func() { rec.logf("end of %s", kind); f() }) }
		switch kind {
		case "deal":
			c.store.deal()
		case "forget":
			c.store.forget()
		case "down":
			allDoors(faults{Status: 503})
			after(func() { allDoors(faults{}) })
		case "silent":
			allDoors(faults{Silent: true})
			after(func() { allDoors(faults{}) })
		case "slow":
			allDoors(faults{Slow: 240 * time.Millisecond})
			after(func() { allDoors(faults{}) })
		case "lost":
			allDoors(faults{Lose: 0.35})
			after(func() { allDoors(faults{}) })
		case "late":
			allDoors(faults{Lose: 0.35, LateFor: 5 * time.Second})
			after(func() { allDoors(faults{}) })
		case "node503":
			c.door(10 + e).set(faults{Status: 503})
			after(func() { c.door(10 + e).set(faults{}) })
		case "nodesilent":
			c.door(10 + e).set(faults{Silent: true})
			after(func() { c.door(10 + e).set(faults{}) })
		case "nodereset":
			c.door(10 + e).set(faults{Reset: true})
			after(func() { c.door(10 + e).set(faults{}) })
		case "killentry":
			c.entries[e].signal(syscall.SIGKILL, min(d, 3500*time.Millisecond))
		case "killagent":
			c.agents[a].signal(syscall.SIGKILL, min(d, 3500*time.Millisecond))
		case "killall":
			for _, p := range slices.Concat(c.entries, c.agents) {
				p.signal(syscall.SIGKILL, time.Second)
			}
		case "freezeentry", "freezeagent":
			p := c.entries[e]
			if kind == "freezeagent" {
				p = c.agents[a]
			}
			p.signal(syscall.SIGSTOP, 0)
			d = min(d, 4*time.Second)
			after(func() { p.signal(syscall.SIGCONT, 0) })
		case "term":
			c.entries[e].signal(syscall.SIGTERM, 300*time.Millisecond)
		case "termagent":
			c.agents[a].signal(syscall.SIGTERM, 300*time.Millisecond)
		case "crash":
			c.workers[a].crash(false, d)
		case "crashsame":
			c.workers[a].crash(true, d)
		case "leave":
			c.workers[a].leave(d)
		case "hang":
			c.workers[a].set(true, 0)
			after(func() { c.workers[a].set(false, 0) })
		case "laterun":
			for _, m := range c.workers {
				m.set(false, 0.06)
			}
			after(func() {
				for _, m := range c.workers {
					m.set(false, 0)
				}
			})
		case "cutagent":
			c.cutAgent(a, true)
			c.door(100 + a).set(faults{Silent: true})
			after(func() { c.cutAgent(a, false); c.door(100 + a).set(faults{}) })
		case "cutentry":
			c.cutEntry(e, true)
			c.door(10 + e).set(faults{Silent: true})
			after(func() { c.cutEntry(e, false); c.door(10 + e).set(faults{}) })
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
}

// judge checks the rules by what clients and workers have seen.
func (l *load) judge(end time.Duration) {
	c, rec := l.c, l.c.rec
	byTask := make(map[string][]run)
	for _, m := range c.workers {
		for _, r := range m.runs() {
			byTask[r.task] = append(byTask[r.task], r)
		}
	}
	firstDone := make(map[string]time.Duration)
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b run) int { return int(a.started - b.started) })
		id, _, _ := strings.Cut(task, ".")
		l.mu.Lock()
		j := l.jobs[id]
		l.mu.Unlock()
		if j == nil {
			l.violate("UNASKED: %s", task)
			continue
		}
		failed := 0
		for i, r := range runs {
			if r.spec != j.body.Spec {
				l.violate("UNASKED: spec of %s", task)
			}
			if j.cancelAck > 0 && r.started > j.cancelAck+3*time.Second {
				l.violate("UNASKED?: %s starts %.3f s after its cancel was acknowledged at %.3f", task, (r.started - j.cancelAck).Seconds(), j.cancelAck.Seconds())
			}
			if j.acceptedAt == 0 && j.rejected == j.tries && j.tries > 0 {
				l.violate("REFUSED: %s starts", task)
			}
			if !j.body.BestEffort && j.shown == "completed" && r.started > j.shownAt+time.Second {
				l.violate("TWICE: %s starts %.3f s after its job was shown as completed", task, (r.started - j.shownAt).Seconds())
			}
			if failed >= attempts && !j.body.BestEffort {
				l.violate("BUDGET: %s starts after %d noted failures", task, failed)
			}
			for _, o := range runs[:i] {
				over := o.ended
				if o.how == "" {
					over = rec.now()
				}
				if r.started < over && !(o.worker == r.worker && o.number == r.number) {
					l.violate("TWICE: %s runs at %s (run %d, %.3f to %.3f %s) and %s (run %d, %.3f to %.3f %s)", task, o.worker, o.number, o.started.Seconds(), over.Seconds(), o.how,
						r.worker, r.number, r.started.Seconds(), r.ended.Seconds(), r.how)
				}
				if o.how == "done" && o.noted && !j.body.BestEffort {
					l.violate("TWICE: %s starts at %s at %.3f after it was done at %s at %.3f, noted", task, r.worker, r.started.Seconds(), o.worker, o.ended.Seconds())
				}
			}
			if r.how == "failed" && r.noted {
				failed++
			}
			if r.how == "done" {
				if t, ok := firstDone[task]; !ok || r.ended < t {
					firstDone[task] = r.ended
				}
			}
		}
	}
	for id, j := range l.jobs {
		for si, s := range j.body.Steps {
			for i := range s.Count {
				task := fmt.Sprintf("%s.0.%d.%d", id, si, i)
				if j.shown == "completed" {
					if _, ok := firstDone[task]; !ok {
						l.violate("MIXED: %s is completed, %s is not done", id, task)
					}
				}
				for _, r := range byTask[task] {
					for _, a := range s.After {
						for k := range j.body.Steps[a].Count {
							if t, ok := firstDone[fmt.Sprintf("%s.0.%d.%d", id, a, k)]; !ok || t > r.started {
								l.violate("ORDER: %s starts before step %d is done", task, a)
							}
						}
					}
				}
			}
		}
		if j.body.BestEffort || j.acceptedAt == 0 || j.cancelSent > 0 {
			continue
		}
		fails := strings.Contains(j.body.Spec, `"fails":true`)
		switch {
		case j.shown == "completed":
		case j.shown == "failed" && fails:
		case j.shown == "":
			l.violate("LOST: %s accepted at %.3f is not completed", id, j.acceptedAt.Seconds())
		default:
			crashes := 0
			for task, runs := range byTask {
				if strings.HasPrefix(task, id) {
					n := 0
					for _, r := range runs {
						if r.how == "crashed" {
							n++
						}
					}
					crashes = max(crashes, n)
				}
			}
			if crashes < 2 {
				l.violate("LOST: %s accepted at %.3f is shown as %s at %.3f", id, j.acceptedAt.Seconds(), j.shown, j.shownAt.Seconds())
			}
		}
	}
}
