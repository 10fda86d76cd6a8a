package tests

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// membershipTimeout covers the activation delay of membership records (3 s) and the time until
// they are read.
const membershipTimeout = 10 * time.Second

// waitBothHomes waits until both entries are active members, so that caller-chosen ids are
// assigned to both. A submission whose home is the other entry is forwarded.
func (s *system) waitBothHomes() {
	s.c.Helper()
	seen := map[int]bool{}
	try := 0
	s.eventually(membershipTimeout, "caller-chosen ids have their homes on both entries", func() error {
		try++
		sub := submission{id: fmt.Sprintf("warm-%d", try), submittedAt: time.Now(), kind: "stock-check", request: true, ms: []int{1}}
		before := s.forwardsSent(0)
		a := s.submit(0, sub)
		if a.err != nil || a.Status != "complete" {
			return fmt.Errorf("answer %d %s %w", a.status, a.rawBody, a.err)
		}
		if s.forwardsSent(0) > before {
			seen[1] = true
		} else {
			seen[0] = true
		}
		if len(seen) < 2 {
			return fmt.Errorf("homes seen: %v", seen)
		}
		return nil
	})
}

// forwardsSent returns the number of submissions that an entry has forwarded to other homes.
func (s *system) forwardsSent(entry int) float64 {
	s.c.Helper()
	m, err := load.ReadMetrics(s.ctx, http.DefaultClient, s.EntryHTTP[entry])
	s.c.Assert(err, qt.IsNil)
	return m.SentByType("oriole_messages_total")["forward"]
}

// startWithHome submits jobs to an entry until one with the given home has started.
// It returns that submission and a channel for its answer.
func (s *system) startWithHome(entry, home int, ms []int) (submission, <-chan answer) {
	s.c.Helper()
	for try := range 20 {
		sub := submission{
			id: fmt.Sprintf("job-%d-%d-%d", entry, home, try), submittedAt: time.Now(), kind: "layout-render", ms: ms,
		}
		before := s.forwardsSent(entry)
		got := make(chan answer, 1)
		go func() { got <- s.submit(entry, sub) }()
		s.waitStarted(sub.id)
		if forwarded := s.forwardsSent(entry) > before; forwarded == (entry != home) {
			return sub, got
		}
		s.call(http.MethodDelete, fmt.Sprintf("%s/v1/jobs/%s?submitted_at=%d", s.EntryHTTP[entry], sub.id, sub.submittedAt.UnixMilli()), proctest.VeilsToken, nil)
	}
	s.c.Fatal("no submission had the requested home")
	return submission{}, nil
}

var longTasks = []int{1500, 1500, 1500, 1500}

// A resubmission while the job runs must attach to the running job, not start it again.
func TestResubmitToOtherEntryWhileRunning(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.waitBothHomes()
	for home := range s.Entries {
		sub, first := s.startWithHome(0, home, longTasks)
		second := s.submit(1, sub)
		a := <-first
		s.assertComplete(a)
		s.assertComplete(second)
		s.c.Check(second.rawBody, qt.Equals, a.rawBody)
		// A resubmission after the end of the job gets the recorded answer.
		third := s.submit(1, sub)
		s.c.Check(third.rawBody, qt.Equals, a.rawBody)
	}
	s.assertNoDoubleStart()
}

// A submission that reuses the id of another one with a different body must be refused and
// must not affect the first.
func TestResubmitWithAnotherBody(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.waitBothHomes()
	for home := range s.Entries {
		sub, first := s.startWithHome(0, home, longTasks)
		changed := sub
		changed.ms = []int{1, 1}
		for entry := range s.Entries {
			a := s.submit(entry, changed)
			s.c.Check(a.kind(), qt.Equals, "id_conflict", qt.Commentf("%s", a.rawBody))
		}
		s.assertComplete(<-first)
	}
	s.assertNoDoubleStart()
}

// The home entry must continue a job when only the entry that received it has died.
func TestResubmitAfterReceivingEntryDied(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.waitBothHomes()
	sub, first := s.startWithHome(0, 1, longTasks)
	s.Entries[0].Kill()
	s.c.Check((<-first).err, qt.IsNotNil)
	s.assertComplete(s.submit(1, sub))
	s.c.Check(s.starts(sub.id), qt.HasLen, len(sub.ms))
	s.assertNoDoubleStart()
}

// When the home entry has died, no other entry knows which tasks have run, so none may start
// again: not before the death is detected, not after the entry has left the membership, and
// not when a new incarnation has the same name.
func TestResubmitAfterHomeDied(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.waitBothHomes()
	sub, _ := s.startWithHome(1, 0, longTasks)
	s.Entries[0].Kill()
	checkHomeLost := func(a answer) error {
		if a.err != nil {
			return a.err
		}
		s.c.Assert(a.Error, qt.IsNotNil, qt.Commentf("%s", a.rawBody))
		s.c.Assert(a.Error.Outcome, qt.Equals, "may_have_run", qt.Commentf("%s", a.rawBody))
		if a.kind() != "home_lost" {
			return fmt.Errorf("answer %s", a.rawBody)
		}
		return nil
	}
	s.eventually(membershipTimeout, "the home is known to be lost", func() error { return checkHomeLost(s.submit(1, sub)) })
	s.c.Assert(s.Entries[0].Start(), qt.IsNil)
	s.c.Assert(s.Entries[0].WaitReady(s.ctx), qt.IsNil)
	for entry := range s.Entries {
		s.eventually(membershipTimeout, "the old home stays lost", func() error { return checkHomeLost(s.submit(entry, sub)) })
	}
	s.assertNoDoubleStart()
	s.waitIDsAccepted()
}

// waitIDsAccepted waits until new caller-chosen ids are accepted again.
func (s *system) waitIDsAccepted() {
	s.c.Helper()
	try := 0
	s.eventually(membershipTimeout, "new caller-chosen ids are accepted", func() error {
		try++
		a := s.submit(1, submission{id: fmt.Sprintf("after-%d", try), submittedAt: time.Now(), kind: "stock-check", request: true, ms: []int{1}})
		if a.err != nil || a.Status != "complete" {
			return fmt.Errorf("answer %d %s %w", a.status, a.rawBody, a.err)
		}
		return nil
	})
}
