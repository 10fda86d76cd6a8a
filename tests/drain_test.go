package tests

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// stopTimeout bounds a graceful stop, given the run times of these tests.
const stopTimeout = 20 * time.Second

// maxDrainNotice is the bound of invariant 6 of docs/design.md, after which a draining
// agent gets no new tasks.
const maxDrainNotice = 3 * time.Second

// runUnderLoad calls step while submissions arrive at the entries that are ready for the
// load balancer, and checks that every answer is complete.
func (s *system) runUnderLoad(seed uint64, fraction float64, duration time.Duration, step func()) {
	s.c.Helper()
	t := s.liveTarget()
	readiness := t.WatchReadiness(s.ctx)
	defer readiness.Stop()
	t.Ready = readiness.Ready
	plan := load.Plan{
		Workload: veils, Seed: seed, Duration: duration,
		Rate: veils.RateFor(fraction, s.Fleet(veils.Service).Capacity()),
	}
	done := make(chan []load.Outcome, 1)
	go func() { done <- t.RunPlan(s.ctx, plan) }()
	s.sleep(time.Second)
	step()
	outcomes := <-done
	s.c.Check(len(outcomes), qt.Equals, len(plan.Schedule()))
	for i, o := range outcomes {
		s.c.Check(o.Verdict, qt.Equals, load.Complete, qt.Commentf("submission %d of seed %d to entry %d: %+v %v", i, seed, o.Entry, o.Answer.Error, o.Err))
	}
}

func (s *system) restart(p *proctest.Process) {
	s.c.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	s.c.Assert(p.Terminate(ctx), qt.IsNil)
	s.c.Assert(p.Start(), qt.IsNil)
	s.c.Assert(p.WaitReady(ctx), qt.IsNil)
}

// A graceful stop of any one program must not interrupt a request.
func TestTerminateEachProgramUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name string
		pick func(s *system) *proctest.Process
	}{
		{"entry", func(s *system) *proctest.Process { return s.Entries[0] }},
		{"agent", func(s *system) *proctest.Process { return s.Agents[2] }},
		{"endpoint", func(s *system) *proctest.Process { return s.Endpoints[2] }},
		{"platform", func(s *system) *proctest.Process { return s.Platform }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t, defaultSpec())
			s.runUnderLoad(11, 0.3, 5*time.Second, func() {
				ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
				defer cancel()
				s.c.Assert(tc.pick(s).Terminate(ctx), qt.IsNil)
			})
		})
	}
}

// A rolling upgrade, which restarts one process after the other, must not fail a request.
func TestRollingUpgradeUnderLoad(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.runUnderLoad(12, 0.3, 25*time.Second, func() {
		for i := range s.Agents {
			s.restart(s.Endpoints[i])
			s.restart(s.Agents[i])
			for entry := range s.Entries {
				s.c.Assert(s.WaitEndpoints(s.ctx, entry, veils.Service, len(s.Agents)), qt.IsNil)
			}
		}
		for i, p := range s.Entries {
			s.restart(p)
			s.eventually(stopTimeout, "the new entry is ready", func() error { return proctest.GetOK(s.ctx, s.EntryHTTP[i]+"/readyz") })
			s.c.Assert(s.WaitEndpoints(s.ctx, i, veils.Service, len(s.Agents)), qt.IsNil)
		}
		s.restart(s.Platform)
	})
}

// A draining agent must get no new tasks after 3 s, although its process still
// finishes a long task.
func TestDrainingAgentGetsNoNewTasks(t *testing.T) {
	s := newSystem(t, defaultSpec())
	long := make(chan answer, 1)
	ms := make([]int, 24)
	for i := range ms {
		ms[i] = 4500
	}
	go func() { long <- s.submit(0, submission{kind: "lace-preview", ms: ms}) }()
	s.eventually(5*time.Second, "endpoint 1 has started a task", func() error { return s.checkStarted(0) })
	stopped := make(chan error, 1)
	go func() { stopped <- s.Agents[0].Terminate(s.ctx) }()
	s.sleep(maxDrainNotice)
	firstEndpoint := load.Target{Endpoints: s.EndpointHTTP[:1]}
	before, err := firstEndpoint.CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	for range 20 {
		s.assertComplete(s.stockCheck(1, 5))
	}
	after, err := firstEndpoint.CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	s.c.Check(len(after), qt.Equals, len(before))
	s.assertComplete(<-long)
	s.c.Assert(<-stopped, qt.IsNil)
	s.assertNoDoubleStart()
}

// checkStarted returns nil if the endpoint has started a task.
func (s *system) checkStarted(endpoint int) error {
	t := load.Target{Endpoints: s.EndpointHTTP[endpoint : endpoint+1]}
	starts, err := t.CountStarts(s.ctx)
	if err == nil && len(starts) == 0 {
		err = errors.New("no task has started")
	}
	return err
}
