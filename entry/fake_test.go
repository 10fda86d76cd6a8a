package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/dispatch"
	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/ticket"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// fakeDispatcher completes every job immediately and counts its task starts, or
// blocks jobs until release is closed.
type fakeDispatcher struct {
	starts *startCounter

	mu      sync.Mutex
	release chan struct{} // nil does not block jobs
	running chan struct{} // receives one value for each job that started, may be nil
	fail    *errkind.Error
	gate    func()                       // called before a job ends, may be nil
	result  func(t dispatch.Task) []byte // the result of a task; nil returns its payload
	// cancelled receives the id of each job whose context ended, may be nil.
	cancelled chan string
	parents   chan string     // receives the trace parent of each job, may be nil
	pushed    chan wire.State // receives each pushed configuration, may be nil
}

// startCounter counts the task starts of each team and submission.
type startCounter struct {
	mu sync.Mutex
	n  map[string]int
}

func (s *startCounter) add(job dispatch.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.n == nil {
		s.n = map[string]int{}
	}
	s.n[job.Team+" "+job.Submission.Raw] += len(job.Tasks)
}

func (s *startCounter) count(team, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n[team+" "+id]
}

func (d *fakeDispatcher) Do(ctx context.Context, job dispatch.Job) dispatch.Answer {
	if d.fail != nil {
		return failedAnswer(job, d.fail, errkind.NotRun)
	}
	d.starts.add(job)
	d.mu.Lock()
	running, release, gate, result, parents := d.running, d.release, d.gate, d.result, d.parents
	d.mu.Unlock()
	if parents != nil {
		parents <- job.TraceParent
	}
	if gate != nil {
		gate()
	}
	if running != nil {
		running <- struct{}{}
	}
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
			if d.cancelled != nil {
				d.cancelled <- job.Submission.Raw
			}
			return failedAnswer(job, errkind.New(errkind.CancelledRunning, "withdrawn"), errkind.MayHaveRun)
		}
	}
	a := dispatch.Answer{Started: len(job.Tasks)}
	for _, t := range job.Tasks {
		a.Tasks = append(a.Tasks, dispatch.TaskAnswer{Outcome: errkind.Done, Body: taskBody(t, result)})
	}
	return a
}

func taskBody(t dispatch.Task, result func(dispatch.Task) []byte) []byte {
	if result != nil {
		return result(t)
	}
	return t.Payload
}

func failedAnswer(job dispatch.Job, err *errkind.Error, o errkind.Outcome) dispatch.Answer {
	a := dispatch.Answer{Err: err}
	for range job.Tasks {
		a.Tasks = append(a.Tasks, dispatch.TaskAnswer{Outcome: o, Kind: err.Kind})
	}
	return a
}

func (d *fakeDispatcher) AgentHandler(*transport.Conn) transport.Handler { return noopHandler{} }
func (d *fakeDispatcher) PushState(m wire.State) {
	d.mu.Lock()
	pushed := d.pushed
	d.mu.Unlock()
	if pushed != nil {
		pushed <- m
	}
}

func (d *fakeDispatcher) Endpoints() []dispatch.EndpointStatus {
	return []dispatch.EndpointStatus{{Service: "veil-desk"}}
}

type noopHandler struct{}

func (noopHandler) Handle(*transport.Conn, wire.Frame) {}
func (noopHandler) Closed(*transport.Conn, error)      {}

func testState() *ticket.Config {
	return &ticket.Config{
		Number: 1,
		Services: map[string]ticket.Service{"veil-desk": {Kinds: map[string]ticket.Kind{
			"preview": {DeadlineMS: 2000, ExpectedMS: 50, MaxAttempts: 1},
		}}},
		Teams: map[string]ticket.Team{"veil": {}, "lace": {}},
	}
}

var testTokens = []CallerToken{{"veil-secret", "veil"}, {"lace-secret", "lace"}, {"caller-secret", "veils"}}

// fakeTickets holds a configuration that Offer replaces.
type fakeTickets struct {
	mu      sync.Mutex
	state   *ticket.Config
	changed chan struct{}
}

func newFakeTickets(s *ticket.Config) *fakeTickets {
	return &fakeTickets{state: s, changed: make(chan struct{})}
}

func (f *fakeTickets) Load() *ticket.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeTickets) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeTickets) ExportConfig() (uint64, []byte, error) {
	s := f.Load()
	b, err := json.Marshal(s)
	return s.Number, b, err
}

func (f *fakeTickets) ImportConfig(b []byte) error {
	s := new(ticket.Config)
	if err := json.Unmarshal(b, s); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Number > f.state.Number {
		f.state = s
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return nil
}

func (f *fakeTickets) LogState() (ticket.LogState, bool) {
	return ticket.LogState{Config: f.Load()}, true
}

func (f *fakeTickets) Submit(context.Context, *ticket.Ticket) (ticket.Verdict, error) {
	return ticket.Verdict{}, errkind.New(errkind.LogUnavailable, "no log in this test")
}

// fakeMembers is a membership that the test sets.
type fakeMembers struct {
	mu       sync.Mutex
	home     func(id ids.Submission, team string) (ids.Incarnation, error)
	left     map[ids.Incarnation]bool
	entries  []wire.EntryAddress
	suspects []ids.Incarnation
	// reported is closed at the first report of a suspect member, may be nil.
	reported chan struct{}
}

func (f *fakeMembers) Home(id ids.Submission, team string, _ time.Time) (ids.Incarnation, error) {
	if id.Issued() {
		return id.Home, nil
	}
	f.mu.Lock()
	home := f.home
	f.mu.Unlock()
	return home(id, team)
}

func (f *fakeMembers) ReportSuspects(nodes []ids.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects = nodes
	if f.reported != nil && len(nodes) > 0 {
		close(f.reported)
		f.reported = nil
	}
}

func (f *fakeMembers) HasLeft(n ids.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left[n]
}

func (f *fakeMembers) Addresses() []wire.EntryAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

// homeAt returns a function that makes node the home of every id.
func homeAt(node ids.Incarnation) func(ids.Submission, string) (ids.Incarnation, error) {
	return func(ids.Submission, string) (ids.Incarnation, error) { return node, nil }
}

var testSelf = ids.Incarnation{Name: "entry-1", Number: 0x5f}

func testOptions(disp Dispatcher) Options {
	return Options{
		Self:       testSelf,
		Dispatcher: disp,
		Tickets:    newFakeTickets(testState()),
		Members:    &fakeMembers{home: homeAt(testSelf)},
		Callers:    testTokens,
		Operators:  []OperatorToken{{"operator-secret", "rhian"}},
	}
}

func testServer(disp Dispatcher) *Server { return New(testOptions(disp)) }

// call sends one request to h and returns the status, headers and body of the
// response.
func call(h http.Handler, method, path, token, body string) (int, http.Header, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	b, _ := io.ReadAll(w.Result().Body)
	return w.Code, w.Result().Header, string(b)
}

func decodeAnswer(t testing.TB, body string) responseBody {
	t.Helper()
	var a responseBody
	qt.Assert(t, json.Unmarshal([]byte(body), &a), qt.IsNil, qt.Commentf("%s", body))
	return a
}

// errorKind returns the error kind in a response body, or "" if there is none.
func errorKind(t testing.TB, body string) errkind.Kind {
	t.Helper()
	if e := decodeAnswer(t, body).Error; e != nil {
		return e.Kind
	}
	return ""
}

// receiveTimeout is longer than any wait in a passing test.
const receiveTimeout = 30 * time.Second

// receive returns the next value of ch, or fails the test after receiveTimeout.
func receive[T any](t testing.TB, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(receiveTimeout):
		t.Fatalf("no value received within %s", receiveTimeout)
		panic("unreachable")
	}
}
