package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/settings"
)

type runnerFunc func(ctx context.Context, t Task) ([]byte, error)

func (f runnerFunc) RunTask(ctx context.Context, t Task) ([]byte, error) { return f(ctx, t) }

var (
	inTransit  atomic.Bool
	lateStatus = make(chan int, 1)
)

// Guards against a stop that aborts or refuses a task which the agent had begun to send
// before it learned of the stop.
func TestDrainServesTasksInTransit(t *testing.T) {
	_, announced, stop := serve(t, 1, runnerFunc(func(context.Context, Task) ([]byte, error) { return nil, nil }))
	<-announced
	inTransit.Store(true)
	stop()
	qt.Check(t, <-lateStatus, qt.Equals, 200)
	<-announced
	qt.Check(t, (<-announced)["leaving"], qt.Equals, true) // the announcement is repeated
}

// serve runs an endpoint with an agent that accepts every announcement. The returned
// function stops the endpoint and waits until it has stopped.
//
// While inTransit is set the agent has a task that reaches the endpoint only after the
// draining announcement.
func serve(t *testing.T, slots int, r Runner) (*Endpoint, chan map[string]any, func()) {
	announced := make(chan map[string]any, 16)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m map[string]any
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			t.Error(err)
		}
		announced <- m
		if m["leaving"] == true && inTransit.CompareAndSwap(true, false) {
			status, _, _ := request(t, "POST", "http://"+m["address"].(string)+"/run", "late",
				"Oriole-Submission", "order-17", "Oriole-Index", "4", "Oriole-Deadline-Ms", "5000")
			lateStatus <- status
			w.WriteHeader(http.StatusAccepted)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(agent.Close)
	e, err := New(Config{Agent: agent.Listener.Addr().String(), Listen: "127.0.0.1:0", Service: "veil-desk", Slots: slots}, r)
	qt.Assert(t, err, qt.IsNil)
	if s, ok := r.(*Sample); ok {
		s.Register(e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			qt.Check(t, <-ended, qt.IsNil)
		}
	}
	t.Cleanup(stop)
	return e, announced, stop
}

func request(t *testing.T, method, url, body string, headers ...string) (int, http.Header, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode, resp.Header, string(b)
}

func run(t *testing.T, e *Endpoint, payload string) (int, http.Header, string) {
	return request(t, "POST", "http://"+e.Address()+"/run", payload,
		"Oriole-Submission", "order-17", "Oriole-Index", "3", "Oriole-Deadline-Ms", "5000")
}

// Guards against a refusal without the header Oriole-Not-Run, and against that header on
// the error of a task that may have run.
func TestRunResponses(t *testing.T) {
	e, _, _ := serve(t, 2, runnerFunc(func(_ context.Context, task Task) ([]byte, error) {
		if string(task.Payload) == "busy" {
			return nil, ErrNotRun
		}
		return nil, errors.New("broken")
	}))
	status, header, _ := run(t, e, "busy")
	qt.Check(t, status, qt.Equals, 503)
	qt.Check(t, header.Get("Oriole-Not-Run"), qt.Equals, "true")
	status, header, _ = run(t, e, "x")
	qt.Check(t, status, qt.Equals, 500)
	qt.Check(t, header.Get("Oriole-Not-Run"), qt.Equals, "")
	status, header, _ = request(t, "POST", "http://"+e.Address()+"/run", "x", "Oriole-Index", "none")
	qt.Check(t, status, qt.Equals, 503)
	qt.Check(t, header.Get("Oriole-Not-Run"), qt.Equals, "true")
	status, _, _ = run(t, e, string(make([]byte, maxPayloadBytes+1)))
	qt.Check(t, status, qt.Equals, 503)
}

// Guards against a stop that aborts a task, accepts new ones or is not announced, and
// against more concurrent tasks than slots.
func TestStopFinishesTasks(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	e, announced, stop := serve(t, 1, runnerFunc(func(context.Context, Task) ([]byte, error) {
		close(begun)
		<-release
		return []byte("answer"), nil
	}))
	qt.Check(t, (<-announced)["leaving"], qt.Equals, false)
	answer := make(chan string, 1)
	go func() {
		_, _, body := run(t, e, "x")
		answer <- body
	}()
	<-begun
	status, header, _ := run(t, e, "y")
	qt.Check(t, status, qt.Equals, 503)
	qt.Check(t, header.Get("Oriole-Not-Run"), qt.Equals, "true")
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	for m := range announced {
		if m["leaving"] == true {
			break
		}
	}
	for body := ""; !strings.Contains(body, "endpoint is draining"); { // until the endpoint has read the agent's answer
		status, _, body = run(t, e, "z")
		qt.Assert(t, status, qt.Equals, 503)
	}
	close(release)
	qt.Check(t, <-answer, qt.Equals, "answer")
	<-stopped
}

// Guards against wrong run times, modes or start counts of the sample runner, which other
// tests rely on.
func TestSample(t *testing.T) {
	s := &Sample{Speed: 2, DefaultRunTime: 100 * time.Millisecond}
	e, _, _ := serve(t, 2, s)
	qt.Check(t, s.runTime([]byte(`{"ms":80}`)), qt.Equals, 40*time.Millisecond)
	qt.Check(t, s.runTime([]byte(`{}`)), qt.Equals, 50*time.Millisecond)
	_, _, body := run(t, e, `{"ms":0}`)
	qt.Check(t, body, qt.Equals, `{"submission":"order-17","index":3,"payload":{"ms":0}}`)
	_, _, body = request(t, "GET", "http://"+e.Address()+"/starts?submission=order-17&index=3", "")
	qt.Check(t, body, qt.Equals, `{"starts":1,"total":1}`+"\n")
	status, _, _ := request(t, "PUT", "http://"+e.Address()+"/mode", `{"fail":true,"straggler":5}`)
	qt.Check(t, status, qt.Equals, 204)
	qt.Check(t, s.runTime([]byte(`{"ms":80}`)), qt.Equals, 200*time.Millisecond)
	status, _, _ = run(t, e, `{}`)
	qt.Check(t, status, qt.Equals, 500)
	status, _, _ = request(t, "PUT", "http://"+e.Address()+"/mode", `{"speed":3}`)
	qt.Check(t, status, qt.Equals, 400)
}

// Guards against invalid settings that are accepted.
func TestSettings(t *testing.T) {
	var s Settings
	err := settings.Parse([]byte(`{"agent":"x","listen":"127.0.0.1:0","service":"veil-desk","slots":-1}`), &s)
	qt.Check(t, err, qt.ErrorMatches, `(?s)slots.*agent.*|(?s).*agent.*slots.*`)
	good := bytes.NewBufferString(`{"agent":"127.0.0.1:1","listen":"127.0.0.1:0","service":"veil-desk"}`)
	s = Settings{}
	qt.Check(t, settings.Parse(good.Bytes(), &s), qt.IsNil)
	qt.Check(t, s.Slots, qt.Equals, 8)
}

// Guards against tasks that are lost because the endpoint closes a connection that the agent
// has dialled and not used yet.
func TestUnusedConnectionStaysOpen(t *testing.T) {
	e, announced, stop := serve(t, 1, runnerFunc(func(context.Context, Task) ([]byte, error) { return nil, nil }))
	defer stop()
	<-announced
	conn, err := net.Dial("tcp", e.Address())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
	qt.Assert(t, conn.SetReadDeadline(time.Time{}), qt.IsNil)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address()+"/run", nil)
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Oriole-Submission", "order-17")
	req.Header.Set("Oriole-Index", "0")
	req.Header.Set("Oriole-Deadline-Ms", "5000")
	qt.Assert(t, req.Write(conn), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
}
