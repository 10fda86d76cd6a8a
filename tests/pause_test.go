package tests

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pauseDuration is longer than the time after which an unresponsive peer is detected (2 s).
const pauseDuration = 4 * time.Second

// sleep waits for d, or fails the test when its timeout expires.
func (s *system) sleep(d time.Duration) {
	s.c.Helper()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		s.c.Fatal("the test timeout has expired")
	}
}

// A home entry that resumes after a pause must not start a task again, and a resubmission
// during the pause must not start it at another endpoint.
func TestPauseEntry(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.waitBothHomes()
	sub, first := s.startWithHome(0, 0, []int{1500, 1500, 1500, 1500})
	const home = 0
	s.c.Assert(s.Entries[home].Pause(), qt.IsNil)
	again := make(chan answer, 1)
	go func() { again <- s.submit(1-home, sub) }()
	s.assertComplete(s.stockCheck(1-home, 10))
	s.sleep(pauseDuration)
	s.c.Assert(s.Entries[home].Resume(), qt.IsNil)
	for _, got := range []<-chan answer{first, again} {
		a := <-got
		s.c.Assert(a.err, qt.IsNil)
		if a.Status != "complete" {
			s.c.Check(a.Error.Outcome, qt.Equals, "may_have_run", qt.Commentf("%s", a.rawBody))
		}
	}
	s.assertNoDoubleStart()
	s.eventually(detectionTimeout, "the resumed entry serves", func() error { return s.checkTenRequests(home) })
}

// A paused agent must get no tasks once its pause is detected, and must not run a task
// twice after it resumes.
func TestPauseAgent(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.c.Assert(s.Agents[2].Pause(), qt.IsNil)
	s.eventually(detectionTimeout, "requests succeed without the paused agent", func() error {
		return s.checkTenRequests(0)
	})
	s.sleep(pauseDuration)
	s.c.Assert(s.Agents[2].Resume(), qt.IsNil)
	s.c.Assert(s.WaitEndpoints(s.ctx, 0, veils.Service, 3), qt.IsNil)
	s.eventually(detectionTimeout, "requests succeed again", func() error { return s.checkTenRequests(0) })
	s.assertNoDoubleStart()
}
