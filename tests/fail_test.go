package tests

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/load"
)

// ejectAfterFailures is the number of consecutive failures after which the sample ticket
// ejects an endpoint. maxProbationTasks is the number of tasks that the endpoint may get
// on probation in the few seconds of the test, since the first ejection lasts 1 s.
const (
	ejectAfterFailures = 5
	maxProbationTasks  = 3
)

// An endpoint that fails every task immediately has the shortest response time and must not
// attract all tasks. A task that failed there may have run, so it must not start again.
func TestFailingEndpointIsEjected(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.c.Assert(s.target().SetMode(s.ctx, 2, true, 1), qt.IsNil)
	failed := 0
	for range 60 {
		a := s.stockCheck(0, 10)
		s.c.Assert(a.err, qt.IsNil)
		if a.Status == "complete" {
			continue
		}
		failed++
		s.c.Check(a.kind(), qt.Equals, "task_failed", qt.Commentf("%s", a.rawBody))
		s.c.Check(a.Error.Outcome, qt.Equals, "may_have_run", qt.Commentf("%s", a.rawBody))
	}
	s.c.Check(failed >= 1 && failed <= ejectAfterFailures+maxProbationTasks, qt.IsTrue, qt.Commentf("%d of 60 failed", failed))
	s.assertNoDoubleStart()
}

// A single request of an idempotent kind must be retried at another endpoint. The endpoint
// that served the first request fails from then on, so that later requests are sent to it.
func TestIdempotentRequestIsRetried(t *testing.T) {
	s := newSystem(t, defaultSpec())
	request := submission{kind: "lace-preview", request: true, ms: []int{10}}
	s.assertComplete(s.submit(0, request))
	for i := range s.Endpoints {
		if s.checkStarted(i) == nil {
			s.c.Assert(s.target().SetMode(s.ctx, i, true, 1), qt.IsNil)
		}
	}
	for range 10 {
		s.assertComplete(s.submit(0, request))
	}
	starts, err := s.target().CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	retried := 0
	for _, n := range starts {
		if n > 1 {
			retried++
		}
	}
	s.c.Check(retried >= 1, qt.IsTrue, qt.Commentf("the failing endpoint got no request"))
}

// At low load the fastest endpoint must be found although no endpoint is full: a response
// time within 1.1 of the ideal requires it. Twenty requests are enough to try three
// endpoints several times.
func TestFastestEndpointIsFoundAtLowLoad(t *testing.T) {
	s := newSystem(t, defaultSpec())
	for range 20 {
		s.assertComplete(s.stockCheck(0, 20))
	}
	fastest := load.Target{Endpoints: s.EndpointHTTP[2:]}
	before, err := fastest.CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	for range 20 {
		s.assertComplete(s.stockCheck(0, 20))
	}
	after, err := fastest.CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	s.c.Check(len(after)-len(before) >= 10, qt.IsTrue, qt.Commentf("%d of 20 requests ran on the fastest endpoint", len(after)-len(before)))
}
