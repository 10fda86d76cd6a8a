package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/internal/bubble"
	"oriolerelay/ticket"
)

func testState() *ticket.Config {
	return &ticket.Config{
		Number: 1,
		Services: map[string]ticket.Service{"veil-desk": {
			Kinds: map[string]ticket.Kind{
				"preview":     {Idempotent: true, DeadlineMS: 10_000, ExpectedMS: 50, MaxAttempts: 3, QueueLimit: 1000},
				"stock-check": {DeadlineMS: 10_000, ExpectedMS: 50, MaxAttempts: 3, QueueLimit: 1000},
			},
		}},
		Teams: map[string]ticket.Team{"veil": {Weight: 1}, "lace": {Weight: 3}},
	}
}

// testSubmission is a submission of a test and the answer that its caller received.
type testSubmission struct {
	job         Job
	cancelAfter time.Duration // zero means never
	answer      Answer
	submittedAt time.Time
	answeredAt  time.Time
}

// testCluster is a dispatcher with fake agents inside a synctest bubble.
type testCluster struct {
	d      *Dispatcher
	rec    *recorder
	agents []*fakeAgent
	stop   context.CancelFunc
}

func newTestCluster(f *faults, agents int) *testCluster {
	d := New(Config{Self: ids.Incarnation{Name: "entry-1", Number: 1}, State: testState})
	w := &testCluster{d: d, rec: newRecorder()}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() { _ = d.Run(ctx) }()
	for i := range agents {
		a := &fakeAgent{d: d, rec: w.rec, faults: f, id: ids.Incarnation{Name: fmt.Sprintf("agent-%d", i), Number: 1},
			slots: 2, buffer: 1, runTime: time.Duration(20+30*i) * time.Millisecond, tasks: map[uint64]*fakeTask{}}
		w.agents = append(w.agents, a)
		a.connect()
	}
	return w
}

// close stops all goroutines of the cluster.
func (w *testCluster) close() {
	w.stop()
	w.d.mu.Lock()
	var sessions []*session
	for _, a := range w.d.agents {
		if a.session != nil {
			sessions = append(sessions, a.session)
		}
	}
	w.d.mu.Unlock()
	for _, s := range sessions {
		s.stop()
	}
}

func (w *testCluster) run(s *testSubmission) {
	ctx := context.Background()
	if s.cancelAfter > 0 {
		c, cancel := context.WithTimeout(ctx, s.cancelAfter)
		defer cancel()
		ctx = c
	}
	s.submittedAt = time.Now()
	s.answer = w.d.Do(ctx, s.job)
	s.answeredAt = time.Now()
}

func testJob(n int, kind, id string, request bool, tasks int, deadline time.Duration) Job {
	j := Job{Submission: ids.Submission{Raw: id}, Team: []string{"veil", "lace"}[n%2], Service: "veil-desk",
		Kind: kind, Request: request, Deadline: time.Now().Add(deadline)}
	for i := range tasks {
		j.Tasks = append(j.Tasks, Task{Payload: []byte{byte(i)}, DeclaredRunTime: time.Duration(i%3) * 10 * time.Millisecond})
	}
	return j
}

// verify checks an answer against the recorded starts and results, after all late
// messages have arrived.
func (s *testSubmission) verify(rec *recorder) error {
	a := s.answer
	if len(a.Tasks) != len(s.job.Tasks) {
		return fmt.Errorf("%d task answers for %d tasks", len(a.Tasks), len(s.job.Tasks))
	}
	latest := s.job.Deadline
	if s.cancelAfter > 0 && s.submittedAt.Add(s.cancelAfter).Before(latest) {
		latest = s.submittedAt.Add(s.cancelAfter)
	}
	if s.answeredAt.After(latest) {
		return fmt.Errorf("answer is %v late", s.answeredAt.Sub(latest))
	}
	maxStarts := 1
	if s.job.Request && s.job.Kind == "preview" {
		maxStarts = 3
	}
	started := 0
	for i, t := range a.Tasks {
		name := taskName(s.job.Submission.Raw, i)
		n := rec.starts[name]
		if n > maxStarts {
			return fmt.Errorf("task %s started %d times", name, n)
		}
		if t.Outcome != errkind.NotRun {
			started++
		}
		switch {
		case t.Outcome == errkind.NotRun && n > 0:
			return fmt.Errorf("task %s is reported as not_run but started %d times", name, n)
		case t.Outcome == errkind.Done && n == 0:
			return fmt.Errorf("task %s is reported as done but never started", name)
		case t.Outcome == errkind.Done && a.Err == nil && !rec.bodies[name][string(t.Body)]:
			return fmt.Errorf("task %s has body %q, which no attempt returned", name, t.Body)
		case a.Err == nil && t.Outcome != errkind.Done:
			return fmt.Errorf("answer without error has task %s with outcome %s", name, t.Outcome)
		case a.Err != nil && t.Body != nil:
			return fmt.Errorf("answer with error has a body for task %s", name)
		case t.Outcome != errkind.Done && t.Kind == "":
			return fmt.Errorf("task %s with outcome %s has no error kind", name, t.Outcome)
		}
	}
	if started != a.Started {
		return fmt.Errorf("answer counts %d started tasks, but %d tasks have an outcome other than not_run", a.Started, started)
	}
	if a.Err != nil {
		advice := a.Err.Answer()
		if (advice.Outcome == errkind.NotRun) != (started == 0) {
			return fmt.Errorf("job outcome is %s (error kind %s) with %d started tasks", advice.Outcome, a.Err.Kind, started)
		}
		if started > 0 && advice.Retry != errkind.RetryNever {
			return fmt.Errorf("error kind %s advises retry %s with %d started tasks", a.Err.Kind, advice.Retry, started)
		}
	}
	return nil
}

// checkLeaks returns an error if any state of jobs remains while no job is running.
func (d *Dispatcher) checkLeaks() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if s.queued != 0 || s.queue.Len() != 0 {
			return fmt.Errorf("%d tasks of %d jobs still queued", s.queued, s.queue.Len())
		}
		for _, k := range s.kinds {
			if k.queued != 0 {
				return fmt.Errorf("kind %s counts %d queued", k.name, k.queued)
			}
		}
	}
	for _, a := range d.agents {
		if a.inFlight != 0 {
			return fmt.Errorf("agent %s counts %d in flight", a.id, a.inFlight)
		}
	}
	if len(d.refs) != 0 || len(d.jobs) != 0 || d.inFlightBytes != 0 {
		return fmt.Errorf("%d refs, %d jobs, %d bytes left", len(d.refs), len(d.jobs), d.inFlightBytes)
	}
	if n := d.quotas.InFlight("veil") + d.quotas.InFlight("lace"); n != 0 {
		return fmt.Errorf("quotas count %d in flight", n)
	}
	return nil
}

// TestRulesUnderFaults guards against violations of the execution guarantees
// (sections 5.1 and 5.2 of the design) under faults at every step: messages are lost,
// delayed, duplicated and reordered, connections fail or stop delivering, and agents
// crash. A task of a job starts at most once, and answers match what was executed.
func TestRulesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 0, 400).Draw(rt, "faults")
		agents := rapid.IntRange(1, 4).Draw(rt, "agents")
		type plan struct {
			kind               string
			request            bool
			tasks              int
			deadline, at, stop int
		}
		plans := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plan {
			p := plan{
				kind:     rapid.SampledFrom([]string{"preview", "stock-check"}).Draw(rt, "kind"),
				request:  rapid.Bool().Draw(rt, "request"),
				tasks:    rapid.IntRange(1, 12).Draw(rt, "tasks"),
				deadline: rapid.IntRange(20, 9000).Draw(rt, "deadline ms"),
				at:       rapid.IntRange(2, 2000).Draw(rt, "at ms"),
				stop:     rapid.SampledFrom([]int{0, 0, 0, 1, 40, 300, 1500}).Draw(rt, "cancel ms"),
			}
			if p.request {
				p.tasks = 1
			}
			return p
		}), 1, 8).Draw(rt, "submissions")
		var failure error
		bubble.Test(t, func(*testing.T) {
			w := newTestCluster(&faults{choices: choices}, agents)
			defer w.close()
			var wg sync.WaitGroup
			all := make([]*testSubmission, len(plans))
			for i, p := range plans {
				wg.Add(1)
				time.AfterFunc(time.Duration(p.at)*time.Millisecond, func() {
					defer wg.Done()
					all[i] = &testSubmission{
						job: testJob(i, p.kind, fmt.Sprintf("s-%d", i), p.request, p.tasks,
							time.Duration(p.deadline)*time.Millisecond),
						cancelAfter: time.Duration(p.stop) * time.Millisecond,
					}
					w.run(all[i])
				})
			}
			wg.Wait()
			<-time.After(time.Minute) // late messages arrive and unsettled tasks fail
			synctest.Wait()
			w.rec.mu.Lock()
			defer w.rec.mu.Unlock()
			for _, s := range all {
				if err := s.verify(w.rec); err != nil {
					failure = fmt.Errorf("%s %s: %w; answer %+v error %v", s.job.Submission.Raw, s.job.Kind, err, s.answer, s.answer.Err)
				}
			}
			if failure == nil {
				failure = w.d.checkLeaks()
			}
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}
