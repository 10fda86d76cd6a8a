package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/httplimit"
	"oriolerelay/ids"
)

// fakeLeaver signals that Leave was called and blocks it until proceed is closed.
type fakeLeaver struct {
	left    chan struct{}
	proceed chan struct{}
}

func (l *fakeLeaver) Leave(context.Context) error {
	close(l.left)
	<-l.proceed
	return nil
}

func (l *fakeLeaver) HomeUntil(ids.Incarnation) (time.Time, bool) { return time.Time{}, false }

// TestDrainKeepsRequestsInFlight guards against a drain that interrupts a request
// in flight, and against one that closes the listener while the load balancer
// still sends requests.
func TestDrainKeepsRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	disp := &fakeDispatcher{starts: &startCounter{}, release: make(chan struct{}), running: make(chan struct{}, 10)}
	s := testServer(disp)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	httpServer := &http.Server{Handler: s.Handler()}
	served := make(chan error, 1)
	go func() { served <- httpServer.Serve(l) }()
	post := func(body string) postResult {
		r, _ := http.NewRequest("POST", "http://"+l.Addr().String()+"/v1/requests", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer veil-secret")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return postResult{Body: err.Error()}
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return postResult{resp.StatusCode, resp.Header, string(b)}
	}
	postAsync := func(body string) <-chan postResult {
		ch := make(chan postResult, 1)
		go func() { ch <- post(body) }()
		return ch
	}
	leaver := &fakeLeaver{left: make(chan struct{}), proceed: make(chan struct{})}
	drainStarted := make(chan struct{})
	drained := make(chan struct{})
	d := &drainer{
		server: s, httpServer: httpServer, callers: httplimit.New(httplimit.Config{}).Group(0), leaver: leaver, gracePeriod: time.Millisecond, timeout: time.Minute,
		drainJobs: func(context.Context) error {
			close(drainStarted)
			<-disp.release
			return nil
		},
	}
	before := postAsync(previewBody)
	receive(t, disp.running)
	go func() {
		defer close(drained)
		d.run()
	}()
	receive(t, leaver.left)
	status, _, _ := call(s.Handler(), "GET", "/readyz", "", "")
	c.Assert(status, qt.Equals, 503)
	during := postAsync(requestWithID("order-17", time.Now(), `1`))
	receive(t, disp.running)
	close(leaver.proceed)
	receive(t, drainStarted)
	refused := post(previewBody)
	c.Assert(refused.Status, qt.Equals, 503)
	c.Assert(errorKind(t, refused.Body), qt.Equals, errkind.Draining)
	close(disp.release)
	c.Assert(receive(t, before).Status, qt.Equals, 200)
	c.Assert(receive(t, during).Status, qt.Equals, 200)
	receive(t, drained)
	c.Assert(receive(t, served), qt.Equals, http.ErrServerClosed)
}
