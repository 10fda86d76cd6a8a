package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/load"
)

func newJob(tasks int) load.Submission {
	return load.Submission{Class: &load.Class{Kind: "k", Deadline: time.Second}, RunTimes: make([]time.Duration, tasks)}
}

func completeAnswer(order ...int) []byte {
	tasks := []map[string]any{}
	for position, i := range order {
		tasks = append(tasks, map[string]any{"index": position, "outcome": "done", "body": map[string]any{
			"index": i, "payload": map[string]any{"nonce": fmt.Sprintf("n/%d", i)},
		}})
	}
	b, _ := json.Marshal(map[string]any{"id": "x", "status": "complete", "tasks": tasks})
	return b
}

// Guards against counting a partial, reordered or foreign answer as complete.
func TestClassify(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		name   string
		status int
		body   string
		want   load.Verdict
	}{
		{"whole", 200, string(completeAnswer(0, 1, 2)), load.Complete},
		{"partial", 200, string(completeAnswer(0, 1)), load.WrongAnswer},
		{"mixed order", 200, string(completeAnswer(0, 2, 1)), load.WrongAnswer},
		{"not JSON", 200, "<html>", load.NoAnswer},
		{"no error", 500, "{}", load.NoAnswer},
		{"refused", 503, `{"error": {"kind": "queue_full", "outcome": "not_run"}}`, load.Refused},
		{"missed", 504, `{"error": {"kind": "deadline_passed", "outcome": "may_have_run"}}`, load.DeadlineMissed},
		{"failed", 502, `{"error": {"kind": "agent_lost", "outcome": "may_have_run"}}`, load.Failed},
	} {
		got, _ := load.Classify(newJob(3), "n", tc.status, []byte(tc.body))
		c.Check(got, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
	other, _ := load.Classify(newJob(3), "other", 200, completeAnswer(0, 1, 2))
	c.Check(other, qt.Equals, load.WrongAnswer)
}

// Measure must count every submission, the messages since the start of the run, and each task
// that started twice.
func TestMeasure(t *testing.T) {
	c := qt.New(t)
	calls := 0
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		calls++
		fmt.Fprintf(w, "# TYPE oriole_messages_total counter\noriole_messages_total{direction=\"sent\",type=\"refused\"} %d\n", calls*10)
		fmt.Fprintf(w, "oriole_messages_total{direction=\"received\",type=\"refused\"} 99\n")
		fmt.Fprintf(w, "# TYPE oriole_message_bytes_total counter\noriole_message_bytes_total{direction=\"sent\",type=\"refused\"} %d\n", calls*400)
	})
	mux.HandleFunc("GET /starts/tasks", func(w http.ResponseWriter, _ *http.Request) {
		if calls > 1 {
			_, _ = w.Write([]byte(`[{"submission":"a","index":0,"starts":1},{"submission":"a","index":1,"starts":2}]`))
			return
		}
		_, _ = w.Write([]byte(`[]`))
	})
	mux.HandleFunc("POST /", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(503)
		_, _ = w.Write([]byte(`{"error": {"kind": "no_endpoint", "outcome": "not_run"}}`))
	})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	target := load.Target{Entries: []string{srv.URL}, Nodes: []string{srv.URL}, Endpoints: []string{srv.URL}}
	plan := load.Plan{Workload: load.Veils(), Seed: 1, Rate: 400, Duration: 200 * time.Millisecond}
	var res load.Result
	outcomes, err := target.Measure(context.Background(), plan, load.Fleet{{Speed: 1, Slots: 1}}, load.NewRecorder(), &res)
	c.Assert(err, qt.IsNil)
	c.Check(len(outcomes), qt.Equals, len(plan.Schedule()))
	c.Check(res.Verdicts, qt.DeepEquals, map[load.Verdict]int{load.Refused: len(outcomes)})
	c.Check(res.ErrorKinds, qt.DeepEquals, map[string]int{"no_endpoint": len(outcomes)})
	c.Check(res.Starts, qt.Equals, 3)
	c.Check(res.DoubleStarts, qt.Equals, 1)
	c.Check(res.Traffic.Messages["refused"], qt.Equals, 10.0)
	c.Check(res.OverheadPerTask, qt.Equals, 10.0/3)
}

// A run that is cancelled must return the outcomes of the sent submissions, without a data
// race between them and the end of the schedule.
func TestCancelledPlanReturnsSentSubmissions(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var once sync.Once
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		once.Do(cancel)
		<-r.Context().Done()
	}))
	defer srv.Close()
	plan := load.Plan{Workload: load.Veils(), Seed: 1, Rate: 100, Duration: time.Minute}
	outcomes := load.Target{Entries: []string{srv.URL}}.RunPlan(ctx, plan)
	qt.Assert(t, len(outcomes) > 0 && len(outcomes) < len(plan.Schedule()), qt.IsTrue, qt.Commentf("%d outcomes", len(outcomes)))
	for _, o := range outcomes {
		qt.Check(t, o.Verdict, qt.Equals, load.NoAnswer)
	}
}
