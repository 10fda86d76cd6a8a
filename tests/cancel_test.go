package tests

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/proctest"
)

// assertOutcomesMatchStarts compares the outcomes of a failed job with the starts that
// the endpoints counted: a task that is reported as not run must not have started, and a
// task that is reported as done must have started once.
func (s *system) assertOutcomesMatchStarts(a answer) {
	s.c.Helper()
	starts := s.starts(a.ID)
	for _, task := range a.Tasks {
		n := starts[fmt.Sprintf("%s/%d", a.ID, task.Index)]
		switch task.Outcome {
		case "not_run":
			s.c.Check(n, qt.Equals, 0, qt.Commentf("task %d is reported as not run", task.Index))
		case "done":
			s.c.Check(n, qt.Equals, 1, qt.Commentf("task %d is reported as done", task.Index))
		}
		s.c.Check(len(task.Body), qt.Equals, 0, qt.Commentf("the answer of a failed job contains results"))
	}
}

// issuedID requests one submission id from an entry, which is then its home entry.
func (s *system) issuedID(entry int) string {
	s.c.Helper()
	var got struct {
		IDs []string `json:"ids"`
	}
	s.getJSON(s.call(http.MethodPost, s.EntryHTTP[entry]+"/v1/submission-ids", proctest.VeilsToken, map[string]int{"count": 1}), &got)
	s.c.Assert(got.IDs, qt.HasLen, 1)
	return got.IDs[0]
}

// Cancelling a job must prevent tasks that have not started from starting, and the answer
// must report the outcome of each task correctly. The jobs have four times as many tasks
// as there are slots, and each is cancelled at the entry that is not its home.
func TestCancelWhileRunning(t *testing.T) {
	s := newSystem(t, defaultSpec())
	ms := make([]int, 96)
	for i := range ms {
		ms[i] = 1000
	}
	for home := range s.Entries {
		sub := submission{id: s.issuedID(home), kind: "layout-render", ms: ms}
		got := make(chan answer, 1)
		go func() { got <- s.submit(1-home, sub) }()
		s.waitStarted(sub.id)
		cancelled := s.call(http.MethodDelete, s.EntryHTTP[1-home]+"/v1/jobs/"+sub.id, proctest.VeilsToken, nil)
		s.c.Check(cancelled.kind(), qt.Equals, "cancelled_running", qt.Commentf("%s", cancelled.rawBody))
		a := <-got
		s.c.Assert(a.err, qt.IsNil)
		s.c.Check(a.Status, qt.Equals, "failed", qt.Commentf("%s", a.rawBody))
		s.c.Check(a.kind(), qt.Equals, "cancelled_running", qt.Commentf("%s", a.rawBody))
		s.sleep(1200 * time.Millisecond) // long enough for a queued task to start after the cancellation
		s.assertOutcomesMatchStarts(a)
		s.c.Check(len(s.starts(sub.id)) < len(ms), qt.IsTrue, qt.Commentf("all tasks started"))
	}
	s.assertNoDoubleStart()
	s.assertComplete(s.stockCheck(0, 10))
}
