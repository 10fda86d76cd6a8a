package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// callServer makes one call to an endpoint with the given handler.
func callServer(t *testing.T, budget time.Duration, h http.HandlerFunc) (wire.TaskResult, bool) {
	t.Helper()
	srv := httptest.NewServer(h)
	defer srv.Close()
	return callAddress(srv.Listener.Addr().String(), budget)
}

func callAddress(address string, budget time.Duration) (wire.TaskResult, bool) {
	b := newEndpointClient(Announcement{Service: "veil-desk", Address: address, Slots: 1, Connections: 1}, Config{})
	defer b.close()
	return b.call(&task{spec: newStartTask(1, budget, `{"ms":1}`), deadline: time.Now().Add(budget)})
}

// Guards against a wrong outcome or error kind for a response of the endpoint.
func TestEndpointAnswers(t *testing.T) {
	answer := func(status int, header, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if header != "" {
				w.Header().Set("Oriole-Not-Run", header)
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		outcome errkind.Outcome
		kind    errkind.Kind
	}{
		{"done", answer(200, "", "{}"), errkind.Done, ""},
		{"largest answer", answer(200, "", string(make([]byte, maxAnswerBytes))), errkind.Done, ""},
		{"answer too large", answer(200, "", string(make([]byte, maxAnswerBytes+1))), errkind.MayHaveRun, errkind.AnswerTooLarge},
		{"refused", answer(503, "true", "full"), errkind.NotRun, errkind.ConnectionRefused},
		{"503 without the header", answer(503, "", ""), errkind.MayHaveRun, errkind.TaskFailed},
		{"header without 503", answer(500, "true", ""), errkind.MayHaveRun, errkind.TaskFailed},
		{"created is not done", answer(201, "", ""), errkind.MayHaveRun, errkind.TaskFailed},
		{"redirect is not followed", http.RedirectHandler("/other", http.StatusFound).ServeHTTP, errkind.MayHaveRun, errkind.TaskFailed},
		{"answer without end", func(w http.ResponseWriter, _ *http.Request) {
			for err := error(nil); err == nil; {
				_, err = w.Write(make([]byte, 32<<10))
			}
		}, errkind.MayHaveRun, errkind.AnswerTooLarge},
		{"dies during the call", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, errkind.MayHaveRun, errkind.EndpointLost},
		{"dies during the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		}, errkind.MayHaveRun, errkind.EndpointLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, unreachable := callServer(t, time.Second, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/run" {
					t.Errorf("request for %s", r.URL.Path)
				}
				test.handler(w, r)
			})
			qt.Check(t, r.Outcome, qt.Equals, test.outcome, qt.Commentf("%s", r.Detail))
			qt.Check(t, r.Kind, qt.Equals, test.kind)
			qt.Check(t, unreachable, qt.IsFalse)
		})
	}
}

// Guards against a call that continues after its deadline, and against reporting not_run
// for a call whose request was written.
func TestCallEndsAtDeadline(t *testing.T) {
	r, _ := callServer(t, 50*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body was read
		<-r.Context().Done()
	})
	qt.Check(t, r.Kind, qt.Equals, errkind.DeadlinePassed)
	qt.Check(t, r.Outcome, qt.Equals, errkind.MayHaveRun)
}

// Guards against reporting may_have_run for a task that no endpoint has received.
func TestUnreachableEndpointIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	r, unreachable := callAddress(l.Addr().String(), time.Second)
	qt.Check(t, r.Outcome, qt.Equals, errkind.NotRun)
	qt.Check(t, r.Kind, qt.Equals, errkind.ConnectionRefused)
	qt.Check(t, unreachable, qt.IsTrue)
}

// Guards against a request being sent again when the endpoint closes a pooled connection
// without a response. net/http retries requests whose body it can rewind.
func TestLostCallIsNotReplayed(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	b := newEndpointClient(Announcement{Address: srv.Listener.Addr().String(), Slots: 1, Connections: 1}, Config{})
	defer b.close()
	for i, want := range []errkind.Outcome{errkind.Done, errkind.MayHaveRun} {
		r, _ := b.call(&task{spec: newStartTask(uint64(i), time.Second, "{}"), deadline: time.Now().Add(testTimeout)})
		qt.Check(t, r.Outcome, qt.Equals, want)
	}
	qt.Check(t, calls.Load(), qt.Equals, int32(2))
}

// Guards against a request being written after its call was reported as not run.
func TestSealedConnectionCannotWrite(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &countedConn{Conn: near}
	_, err := c.Write([]byte("earlier request"))
	qt.Assert(t, err, qt.IsNil)
	a := &attempt{conns: []usedConn{{c, c.count()}}}
	qt.Check(t, a.seal(), qt.IsFalse)
	_, err = c.Write([]byte("late request"))
	qt.Check(t, err, qt.Equals, errSealed)
}

// Guards against more connections than the endpoint allows.
func TestConnectionLimit(t *testing.T) {
	b := newEndpointClient(Announcement{Slots: 8, Connections: 3}, Config{})
	qt.Check(t, b.slots(), qt.Equals, 3)
	qt.Check(t, b.transport.MaxConnsPerHost, qt.Equals, 3)
}

// Guards against a trace that ends at the agent: the queue wait and the call must be
// spans of the home entry's trace, and the call must be the parent span of the endpoint.
func TestSpansContinueTrace(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	provider := trace.NewTracerProvider(trace.WithSpanProcessor(spans))
	header := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { header <- r.Header.Get("traceparent") }))
	defer srv.Close()
	b := newEndpointClient(Announcement{Address: srv.Listener.Addr().String(), Slots: 1, Connections: 1}, Config{Traces: provider})
	defer b.close()
	spec := newStartTask(1, time.Second, "{}")
	spec.TraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	b.call(&task{spec: spec, arrived: time.Now(), deadline: time.Now().Add(testTimeout)})
	ended := spans.Ended()
	qt.Assert(t, ended, qt.HasLen, 2)
	call := ended[1].SpanContext()
	qt.Check(t, ended[0].Name(), qt.Equals, "agent.queue")
	qt.Check(t, ended[0].Parent().SpanID().String(), qt.Equals, "b7ad6b7169203331")
	qt.Check(t, <-header, qt.Equals, fmt.Sprintf("00-0af7651916cd43dd8448eb211c80319c-%s-01", call.SpanID()))
}
