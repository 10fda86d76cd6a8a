package tests

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/load"
)

// detectionTimeout is the sum of the bounds of docs/design.md section 8 for detecting an
// unresponsive peer (2 s) and for an agent that does not reconnect (2 s), plus
// one second for a request that was sent just before.
const detectionTimeout = 5 * time.Second

// The loss of one entry must not affect the other.
func TestKillEntry(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.Entries[0].Kill()
	for range 10 {
		s.assertComplete(s.stockCheck(1, 10))
	}
	s.assertComplete(s.submit(1, submission{kind: "lace-preview", ms: []int{20, 20, 20, 20, 20, 20}}))
	s.assertNoDoubleStart()
}

// A killed agent must fail at most the tasks that it had; after detectionTimeout all
// requests succeed. A task that may have run is not started again.
func TestKillAgent(t *testing.T) {
	s := newSystem(t, defaultSpec())
	const tasks = 24
	ms := make([]int, tasks)
	for i := range ms {
		ms[i] = 800
	}
	got := make(chan answer, 1)
	go func() { got <- s.submit(0, submission{kind: "lace-preview", ms: ms}) }()
	s.eventually(5*time.Second, "the job runs on all endpoints", func() error {
		all, err := s.target().CountStarts(s.ctx)
		if err == nil && len(all) < tasks {
			err = fmt.Errorf("%d tasks run", len(all))
		}
		return err
	})
	s.Agents[0].Kill()
	a := <-got
	s.c.Assert(a.err, qt.IsNil)
	s.c.Check(a.Status, qt.Equals, "failed", qt.Commentf("%s", a.rawBody))
	if a.Error != nil {
		s.c.Check(a.Error.Outcome, qt.Equals, "may_have_run", qt.Commentf("%s", a.rawBody))
	}
	s.assertOutcomesMatchStarts(a)
	for entry := range s.Entries {
		s.eventually(detectionTimeout, "requests succeed without the dead agent", func() error {
			return s.checkTenRequests(entry)
		})
	}
	s.assertNoDoubleStart()
}

func (s *system) checkTenRequests(entry int) error {
	for range 10 {
		if a := s.stockCheck(entry, 10); a.err != nil || a.Status != "complete" {
			return fmt.Errorf("answer %d %s %w", a.status, a.rawBody, a.err)
		}
	}
	return nil
}

// An endpoint that dies while its agent lives must be withdrawn by the agent.
func TestKillEndpoint(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.Endpoints[2].Kill()
	s.eventually(detectionTimeout, "requests succeed without the dead endpoint", func() error {
		return s.checkTenRequests(0)
	})
	s.c.Assert(s.WaitEndpoints(s.ctx, 0, veils.Service, 2), qt.IsNil)
	s.assertNoDoubleStart()
}

// Requests must be served without the platform, and the ticket in force must stay in force.
func TestKillPlatform(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.Platform.Kill()
	for entry := range s.Entries {
		s.assertComplete(s.stockCheck(entry, 10))
		s.assertComplete(s.submit(entry, submission{kind: "lace-preview", ms: []int{20, 20, 20}}))
	}
	number, err := s.target().TicketInForce(s.ctx, 0)
	s.c.Assert(err, qt.IsNil)
	s.c.Check(number, qt.Equals, uint64(1))
	s.assertNoDoubleStart()
}

// finalAnswerTimeout is detectionTimeout plus time for the longest run time (1 s) and the
// other submissions at 30% load. A final answer must not wait for the deadline, which
// is 15 s.
const finalAnswerTimeout = detectionTimeout + 5*time.Second

// The loss of an agent must not crash an entry under any policy that a ticket can set:
// a crash of the entries stops every service.
func TestKillAgentWithEachPolicy(t *testing.T) {
	for _, policy := range []string{"naive", "two_choices", "least_expected_finish"} {
		t.Run(policy, func(t *testing.T) {
			s := newSystem(t, defaultSpec())
			shortDeadlines := veils
			shortDeadlines.Classes = slices.Clone(veils.Classes)
			for i := range shortDeadlines.Classes {
				shortDeadlines.Classes[i].Deadline = 15 * time.Second
			}
			s.c.Assert(s.Configure(s.ctx, policy, shortDeadlines), qt.IsNil)
			plan := load.Plan{
				Workload: shortDeadlines, Seed: 21, Duration: 4 * time.Second,
				Rate: veils.RateFor(0.3, s.Fleet(veils.Service).Capacity()),
			}
			done := make(chan []load.Outcome, 1)
			go func() { done <- s.target().RunPlan(s.ctx, plan) }()
			s.sleep(time.Second)
			s.Agents[1].Kill()
			// Submissions may fail, since the naive policy ignores what is known about
			// the lost agent, but each must be answered.
			for i, o := range <-done {
				s.c.Check(o.Verdict, qt.Not(qt.Equals), load.NoAnswer, qt.Commentf("submission %d of seed 21: %v", i, o.Err))
				s.c.Check(o.Response < finalAnswerTimeout, qt.IsTrue, qt.Commentf("submission %d of seed 21 (%s, %d tasks) to entry %d was answered after %s: %s %+v",
					i, o.Submission.Class.Kind, len(o.Submission.RunTimes), o.Entry, o.Response, o.Verdict, o.Answer.Error))
				s.c.Check(o.ErrorKind(), qt.Not(qt.Equals), "internal", qt.Commentf("submission %d of seed 21: %+v", i, o.Answer.Error))
			}
			for _, p := range s.Entries {
				s.c.Check(p.PID(), qt.Not(qt.Equals), 0, qt.Commentf("%s has ended", p.Name))
			}
		})
	}
}
