package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// What the rule LOST says of the jobs at the end.
const (
	finishTime  = 14 * time.Second // finish_s: after the end of the traffic the jobs are asked for
	idleTime    = 3 * time.Second  // for so long an accepted job has nothing running
	askPatience = 3 * time.Second  // for an answer at the end, from each entry
	sampleEvery = 50 * time.Millisecond
)

// The room of a worker of the site.
const (
	workerCPU = 32000
	workerMem = 131072
)

// ordinary is the traffic of clients that behave: small jobs that have to be kept.
type ordinary struct {
	c    *cluster
	rng  *rand.Rand
	mu   sync.Mutex
	jobs []*sentJob // that were accepted
	wg   sync.WaitGroup
	// racks is set if each job requires one of so many racks.
	racks int
}

func newOrdinary(c *cluster) *ordinary {
	return &ordinary{c: c, rng: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid())))}
}

// play hands jobs in for the given time, each at one of the entries.
func (o *ordinary) play(length, every time.Duration) {
	body := jobBody{Spec: spec(work{MS: 60, CPU: 500, Mem: 64}), Steps: []step{{Count: 4, CPU: 500, Mem: 64, Estimate: 60}}}
	began := o.c.rec.now()
	for i := 0; o.c.rec.now() < began+length; i++ {
		j := &sentJob{id: newID(o.rng), body: body}
		if o.racks > 0 {
			j.body.Steps = slices.Clone(body.Steps)
			j.body.Steps[0].Requires = fmt.Sprintf("r%d", 1+i%o.racks)
		}
		entry := o.rng.IntN(len(o.c.entries))
		o.wg.Go(func() {
			if a := o.c.submit(entry, j.id, j.body, 2*time.Second); a.status/100 == 2 {
				o.mu.Lock()
				j.acceptedAt = o.c.rec.now()
				o.jobs = append(o.jobs, j)
				o.mu.Unlock()
			}
		})
		time.Sleep(every)
	}
	o.wg.Wait()
}

// lost asks for all accepted jobs once finishTime has passed since the end of the traffic. It returns how many
// break the rule LOST: no entry gives an answer, an entry says that there is no such job, or the job has not ended
// and had nothing running for idleTime, while less than half of the service's capacity was in use.
func (o *ordinary) lost(trafficEnd time.Duration) (lost int) {
	rec := o.c.rec
	time.Sleep(trafficEnd + finishTime - idleTime - rec.now())
	from := rec.now()
	busiest := 0.0
	for rec.now() < from+idleTime {
		used := 0
		for _, m := range o.c.workers {
			m.mu.Lock()
			used += m.usedCPU
			m.mu.Unlock()
		}
		busiest = max(busiest, float64(used)/float64(workerCPU*len(o.c.workers)))
		time.Sleep(sampleEvery)
	}
	lastRun := make(map[string]time.Duration) // by job
	for _, m := range o.c.workers {
		for _, r := range m.runs() {
			id, _, _ := strings.Cut(r.task, ".")
			ended := r.ended
			if r.how == "" {
				ended = rec.now()
			}
			lastRun[id] = max(lastRun[id], ended)
		}
	}
	rec.logf("at most %.2f of the service's capacity was in use for the last %v", busiest, idleTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	count := make(map[string]int)
	slots := make(chan struct{}, 32)
	for i, j := range o.jobs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			verdict := o.ask(j, i, lastRun[j.id], from, busiest)
			mu.Lock()
			defer mu.Unlock()
			count[verdict]++
			if verdict != "completed" && verdict != "in progress" {
				lost++
			}
		})
	}
	wg.Wait()
	verdicts := []string{}
	for v, n := range count {
		verdicts = append(verdicts, fmt.Sprintf("%s: %d", v, n))
	}
	slices.Sort(verdicts)
	rec.logf("of %d accepted jobs: %s", len(o.jobs), strings.Join(verdicts, ", "))
	fmt.Printf("of %d accepted jobs: %s\n", len(o.jobs), strings.Join(verdicts, ", "))
	return lost
}

// ask asks for a job at the entries in turn until one answers.
func (o *ordinary) ask(j *sentJob, first int, lastRun, from time.Duration, busiest float64) string {
	for i := range o.c.entries {
		entry := (first + i) % len(o.c.entries)
		a := o.c.call(entry, "GET", j.id, nil, askPatience)
		o.c.rec.logf("GET %s (accepted at %.3f, last ran at %.3f) at entry %d: status %d %s %v", j.id, j.acceptedAt.Seconds(), lastRun.Seconds(), entry, a.status, a.state, a.err)
		switch {
		case a.status == 410:
			return "not known"
		case a.status != 200:
			continue
		case a.state == "completed":
			return "completed"
		case a.state == "failed" || a.state == "cancelled":
			return a.state + " without cause"
		case lastRun < from && busiest < 0.5:
			return "nothing running for 3 s"
		}
		return "in progress"
	}
	return "no answer"
}

// unacknowledged returns how many workers have no acknowledgement of a heartbeat since the given time.
func (c *cluster) unacknowledged(since time.Duration) (n int) {
	for _, m := range c.workers {
		m.mu.Lock()
		if m.beatAckedAt < since {
			n++
		}
		m.mu.Unlock()
	}
	return n
}
