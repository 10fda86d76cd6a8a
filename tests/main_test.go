// Package tests runs the programs as separate processes and injects failures.
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

// binaries holds the programs, built once for all tests.
var binaries string

// buildLimit allows for a cold build cache.
const buildLimit = 4 * time.Minute

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "oriole-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	if err := proctest.Build(ctx, "..", dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binaries = dir
	return m.Run()
}

// testLimit bounds one test, including start and stop of its processes.
const testLimit = 90 * time.Second

// veils is a workload with short tasks, so that a test
// sees many of them.
var (
	veils = load.Veils().Scaled(0.2, 20)
)

// system is a running cluster with the sample services in force.
type system struct {
	*proctest.Cluster
	c   *qt.C
	ctx context.Context
}

func spec() proctest.Spec {
	return proctest.Spec{Entries: 2, Workers: []proctest.Worker{
		{Service: veils.Service, Speed: 1, Slots: 8},
		{Service: veils.Service, Speed: 2, Slots: 8},
		{Service: veils.Service, Speed: 4, Slots: 8},
	}, Entry: map[string]any{"drain_grace_ms": 1000}}
}

func newSystem(t *testing.T, s proctest.Spec) *system {
	t.Helper()
	sys := newProcesses(t, s)
	sys.c.Assert(sys.Cluster.Start(sys.ctx), qt.IsNil)
	sys.c.Assert(sys.Configure(sys.ctx, "least_expected_finish", veils), qt.IsNil)
	return sys
}

// newProcesses prepares a cluster without starting it.
func newProcesses(t *testing.T, s proctest.Spec) *system {
	t.Helper()
	c := qt.New(t)
	cluster, err := proctest.NewCluster(t.TempDir(), binaries, s)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
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

// answer is the HTTP status and body of a call.
type answer struct {
	status int
	load.Answer
	text string
	err  error
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
	req.Close = true // each call has its own connection, which a restart cannot cut
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, text: string(text), err: err}
	if err == nil {
		a.err = json.Unmarshal(text, &a.Answer)
	}
	return a
}

// submission describes a job (several run times) or, with request, one task.
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

// getJSON decodes the body of a successful answer.
func (s *system) getJSON(a answer, into any) {
	s.c.Helper()
	s.c.Assert(a.err, qt.IsNil)
	s.c.Assert(a.status/100, qt.Equals, 2, qt.Commentf("%s", a.text))
	s.c.Assert(json.Unmarshal([]byte(a.text), into), qt.IsNil)
}

func (s *system) mustComplete(a answer) {
	s.c.Helper()
	s.c.Assert(a.err, qt.IsNil)
	s.c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.text))
	s.c.Assert(a.Status, qt.Equals, "complete", qt.Commentf("%s", a.text))
}

// starts returns the starts of every task of a submission, counted at the endpoints.
func (s *system) starts(id string) map[string]int {
	s.c.Helper()
	all, err := s.liveTarget().CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	of := map[string]int{}
	for key, n := range all {
		if strings.HasPrefix(key, id+"/") {
			of[key] = n
		}
	}
	return of
}

// liveTarget leaves out endpoints that do not run.
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

// assertNoDoubleStart checks every task of all submissions at all live endpoints.
// Idempotent kinds must not have been used for single requests.
func (s *system) assertNoDoubleStart() {
	s.c.Helper()
	all, err := s.liveTarget().CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	for key, n := range all {
		s.c.Check(n, qt.Equals, 1, qt.Commentf("task %s", key))
	}
}

// eventually polls check until it holds or limit has passed.
func (s *system) eventually(limit time.Duration, what string, check func() error) {
	s.c.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	s.c.Assert(proctest.Poll(ctx, what, check), qt.IsNil)
}

// waitStarted waits until any task of the submission runs at an endpoint.
func (s *system) waitStarted(id string) {
	s.c.Helper()
	s.eventually(5*time.Second, "submission "+id+" has started", func() error {
		if len(s.starts(id)) == 0 {
			return errors.New("no task has started")
		}
		return nil
	})
}
