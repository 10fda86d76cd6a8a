// Package tests runs the programs as separate processes and injects faults.
package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// binDir is the directory of the programs, which are built once for all tests.
var binDir string

// buildTimeout is long enough for a cold build cache.
const buildTimeout = 4 * time.Minute

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "oriole-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	if err := proctest.Build(ctx, "..", dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// testTimeout bounds one test, including the start and stop of its processes.
const testTimeout = 90 * time.Second

// veils is a workload with short tasks, so that a test completes many of
// them.
var (
	veils = load.Veils().Scaled(0.2, 20)
)

// system is a running cluster with the sample services in force.
type system struct {
	*proctest.Cluster
	c   *qt.C
	ctx context.Context
}

func defaultSpec() proctest.Spec {
	return proctest.Spec{Entries: 2, Workers: []proctest.Worker{
		{Service: veils.Service, Speed: 1, Slots: 8},
		{Service: veils.Service, Speed: 2, Slots: 8},
		{Service: veils.Service, Speed: 4, Slots: 8},
	}, Entry: map[string]any{"drain_grace_ms": 1000}}
}

func newSystem(t *testing.T, s proctest.Spec) *system {
	t.Helper()
	sys := newStoppedSystem(t, s)
	sys.c.Assert(sys.Cluster.Start(sys.ctx), qt.IsNil)
	sys.c.Assert(sys.Configure(sys.ctx, "least_expected_finish", veils), qt.IsNil)
	return sys
}

// newStoppedSystem prepares a cluster without starting it.
func newStoppedSystem(t *testing.T, s proctest.Spec) *system {
	t.Helper()
	c := qt.New(t)
	cluster, err := proctest.NewCluster(t.TempDir(), binDir, s)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		cluster.Stop()
		if t.Failed() {
			for _, p := range cluster.Processes() {
				t.Logf("log of %s:\n%s", p.Name, p.Tail())
			}
		}
	})
	return &system{Cluster: cluster, c: c, ctx: ctx}
}

func (s *system) target() load.Target { return s.Target(proctest.VeilsToken) }

// answer is the HTTP response to a call with the decoded Answer, or the error of the call.
type answer struct {
	status int
	load.Answer
	rawBody string
	err     error
}

func (a answer) kind() string {
	if a.Error == nil {
		return ""
	}
	return a.Error.Kind
}

func (s *system) call(method, url, token string, body any) answer {
	b, err := json.Marshal(body)
	if err != nil {
		return answer{err: err}
	}
	req, err := http.NewRequestWithContext(s.ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Close = true // a new connection per call, so that a restart cannot break a reused one
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	rawBody, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, rawBody: string(rawBody), err: err}
	if err == nil {
		a.err = json.Unmarshal(rawBody, &a.Answer)
	}
	return a
}

// submission describes a job with a task per run time or, if request is set, a single request.
type submission struct {
	id          string
	submittedAt time.Time
	kind        string
	request     bool
	ms          []int
}

func (s *system) submit(entry int, sub submission) answer {
	type task struct {
		Payload map[string]int `json:"payload"`
	}
	body := map[string]any{"service": veils.Service, "kind": sub.kind}
	if !sub.submittedAt.IsZero() {
		body["submitted_at"] = sub.submittedAt.UnixMilli()
	}
	if sub.id != "" {
		body["id"] = sub.id
	}
	if sub.request {
		body["payload"] = map[string]int{"ms": sub.ms[0]}
		return s.call(http.MethodPost, s.EntryHTTP[entry]+"/v1/requests", proctest.VeilsToken, body)
	}
	var tasks []task
	for _, ms := range sub.ms {
		tasks = append(tasks, task{map[string]int{"ms": ms}})
	}
	body["tasks"] = tasks
	return s.call(http.MethodPost, s.EntryHTTP[entry]+"/v1/jobs", proctest.VeilsToken, body)
}

// stockCheck submits a request of a kind that is not idempotent.
func (s *system) stockCheck(entry, ms int) answer {
	return s.submit(entry, submission{kind: "stock-check", request: true, ms: []int{ms}})
}

// getJSON decodes the body of a response with a 2xx status.
func (s *system) getJSON(a answer, into any) {
	s.c.Helper()
	s.c.Assert(a.err, qt.IsNil)
	s.c.Assert(a.status/100, qt.Equals, 2, qt.Commentf("%s", a.rawBody))
	s.c.Assert(json.Unmarshal([]byte(a.rawBody), into), qt.IsNil)
}

func (s *system) assertComplete(a answer) {
	s.c.Helper()
	s.c.Assert(a.err, qt.IsNil)
	s.c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.rawBody))
	s.c.Assert(a.Status, qt.Equals, "complete", qt.Commentf("%s", a.rawBody))
}

// starts returns the number of starts of every task of a submission, counted at the
// endpoints whose process runs.
func (s *system) starts(id string) map[string]int {
	s.c.Helper()
	all, err := s.liveTarget().CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	own := map[string]int{}
	for key, n := range all {
		if strings.HasPrefix(key, id+"/") {
			own[key] = n
		}
	}
	return own
}

// liveTarget returns the target without endpoints whose process does not run.
func (s *system) liveTarget() load.Target {
	t := s.target()
	t.Endpoints = nil
	for i, p := range s.Endpoints {
		if p.PID() != 0 {
			t.Endpoints = append(t.Endpoints, s.EndpointHTTP[i])
		}
	}
	return t
}

// assertNoDoubleStart checks that every task at the live endpoints has started only once.
// It must not be used after single requests of idempotent kinds, which may be retried.
func (s *system) assertNoDoubleStart() {
	s.c.Helper()
	all, err := s.liveTarget().CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	for key, n := range all {
		s.c.Check(n, qt.Equals, 1, qt.Commentf("task %s", key))
	}
}

// eventually polls check until it returns nil, and fails the test after limit.
func (s *system) eventually(limit time.Duration, what string, check func() error) {
	s.c.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	s.c.Assert(proctest.Poll(ctx, what, check), qt.IsNil)
}

// waitStarted waits until any task of the submission has started at an endpoint.
func (s *system) waitStarted(id string) {
	s.c.Helper()
	s.eventually(5*time.Second, "submission "+id+" has started", func() error {
		if len(s.starts(id)) == 0 {
			return errors.New("no task has started")
		}
		return nil
	})
}
