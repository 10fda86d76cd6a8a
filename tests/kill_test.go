package tests

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// detection is the sum of the bounds of docs/design.md section 8 for a silent
// connection (2 s) and for an agent that does not return (2 s), plus one second
// for a request that was sent just before.
const detection = 5 * time.Second

// One dead entry must not stop the other.
func TestKillEntry(t *testing.T) {
	s := newSystem(t, spec())
	s.Entries[0].Kill()
	for range 10 {
		s.mustComplete(s.stockCheck(1, 10))
	}
	s.mustComplete(s.submit(1, submission{kind: "lace-preview", ms: []int{20, 20, 20, 20, 20, 20}}))
	s.assertNoDoubleStart()
}

// A killed agent costs at most the tasks that it had; after the detection time
// all tasks succeed. Nothing that may have run is started again.
func TestKillAgent(t *testing.T) {
	s := newSystem(t, spec())
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
	s.c.Check(a.Status, qt.Equals, "failed", qt.Commentf("%s", a.text))
	if a.Error != nil {
		s.c.Check(a.Error.Outcome, qt.Equals, "may_have_run", qt.Commentf("%s", a.text))
	}
	s.assertOutcomesTrue(a)
	for entry := range s.Entries {
		s.eventually(detection, "requests succeed without the dead agent", func() error {
			return s.servesTenRequests(entry)
		})
	}
	s.assertNoDoubleStart()
}

func (s *system) servesTenRequests(entry int) error {
	for range 10 {
		if a := s.stockCheck(entry, 10); a.err != nil || a.Status != "complete" {
			return fmt.Errorf("answer %d %s %w", a.status, a.text, a.err)
		}
	}
	return nil
}

// An endpoint that dies alone must be withdrawn by its agent.
func TestKillEndpoint(t *testing.T) {
	s := newSystem(t, spec())
	s.Endpoints[2].Kill()
	s.eventually(detection, "requests succeed without the dead endpoint", func() error {
		return s.servesTenRequests(0)
	})
	s.c.Assert(s.WaitEndpoints(s.ctx, 0, veils.Service, 2), qt.IsNil)
	s.assertNoDoubleStart()
}

// Requests do not need the platform, and what is in force stays in force.
func TestKillPlatform(t *testing.T) {
	s := newSystem(t, spec())
	s.Platform.Kill()
	for entry := range s.Entries {
		s.mustComplete(s.stockCheck(entry, 10))
		s.mustComplete(s.submit(entry, submission{kind: "lace-preview", ms: []int{20, 20, 20}}))
	}
	number, err := s.target().InForce(s.ctx, 0)
	s.c.Assert(err, qt.IsNil)
	s.c.Check(number, qt.Equals, uint64(1))
	s.assertNoDoubleStart()
}
