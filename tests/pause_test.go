package tests

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pauseFor is longer than the detection of a silent connection (2 s).
const pauseDuration = 4 * time.Second

// wait lets real time pass while a process is paused.
func (s *system) sleep(d time.Duration) {
	s.c.Helper()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		s.c.Fatal("test limit reached")
	}
}

// A paused home that resumes must not start a task again, and a resubmission
// meanwhile must not start it anywhere else.
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

// A paused agent gets no work that would be lost, and after it resumes it runs
// nothing twice.
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
