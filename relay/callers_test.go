package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/event"
	"oriolerelay/job"
)

// callersFixture is a callersServer that listens on a loopback address.
type callersFixture struct {
	*callersServer
	listener net.Listener
	served   chan error
}

func newCallersFixture(t *testing.T, h http.HandlerFunc) *callersFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	f := &callersFixture{newCallersServer(h, event.NewLogger(io.Discard, "entry-1")), l, make(chan error, 1)}
	go func() { f.served <- f.serve(l) }()
	t.Cleanup(func() { f.close(l) })
	return f
}

// caller is a connection from a caller.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func (f *callersFixture) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", f.listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	quicktest.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), quicktest.IsNil)
	return &caller{c, bufio.NewReader(c)}
}

// get sends a request with a header of the given size and returns the response status.
func (c *caller) get(t *testing.T, path string, size int) int {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\n\r\n", path, strings.Repeat("x", size))
	quicktest.Assert(t, err, quicktest.IsNil)
	return c.status(t)
}

// status reads a response and returns its status.
func (c *caller) status(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, resp.Body.Close(), quicktest.IsNil)
	return resp.StatusCode
}

// Guards against limits that keep their default values when the configuration changes them,
// and against open connections that are closed by such a change.
func TestCallerLimitsFollowConfiguration(t *testing.T) {
	const overhead = 8 << 10 // net/http allows 4 KiB beyond the limit
	f := newCallersFixture(t, func(http.ResponseWriter, *http.Request) {})
	open := f.dial(t)
	quicktest.Assert(t, open.get(t, "/", 12<<10), quicktest.Equals, http.StatusOK)

	f.setLimits(job.Limits{MaxHeaderBytes: 2 << 10})
	quicktest.Check(t, f.dial(t).get(t, "/", 2<<10+overhead), quicktest.Equals, http.StatusRequestHeaderFieldsTooLarge)
	quicktest.Check(t, open.get(t, "/", 12<<10), quicktest.Equals, http.StatusOK)

	f.setLimits(job.Limits{MaxHeaderBytes: 64 << 10})
	quicktest.Check(t, f.dial(t).get(t, "/", 48<<10), quicktest.Equals, http.StatusOK)
}

// Guards against an idle timeout other than the configured one.
func TestIdleTimeoutClosesCallerConnection(t *testing.T) {
	f := newCallersFixture(t, func(http.ResponseWriter, *http.Request) {})
	f.setLimits(job.Limits{IdleTimeout: 50 * time.Millisecond})
	c := f.dial(t)
	quicktest.Assert(t, c.get(t, "/", 0), quicktest.Equals, http.StatusOK)
	_, err := c.r.ReadByte() // returns when the connection is closed or the test's deadline passes
	quicktest.Assert(t, err, quicktest.Equals, io.EOF)
}

// Guards against responses that are lost when the process stops after a change of the limits:
// shutdown must also wait for requests on connections with previous limits.
func TestShutdownWaitsForRequestsUnderPreviousLimits(t *testing.T) {
	began, respond := make(chan bool), make(chan bool)
	f := newCallersFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			began <- true
			<-respond
		}
	})
	c := f.dial(t)
	_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	quicktest.Assert(t, err, quicktest.IsNil)
	<-began
	f.setLimits(job.Limits{IdleTimeout: time.Minute})
	f.setLimits(job.Limits{IdleTimeout: 2 * time.Minute})
	stopped := make(chan error)
	go func() { stopped <- f.shutdown(context.Background(), f.listener) }()
	quicktest.Assert(t, <-f.served, quicktest.IsNil)
	select {
	case <-stopped:
		t.Error("shutdown returned while a request was in flight")
	default:
	}
	respond <- true
	quicktest.Check(t, c.status(t), quicktest.Equals, http.StatusOK)
	quicktest.Check(t, <-stopped, quicktest.IsNil)
}

// Guards against a list of previous servers that grows with each change of the limits.
func TestServersWithoutConnectionsAreRemoved(t *testing.T) {
	f := newCallersFixture(t, func(http.ResponseWriter, *http.Request) {})
	open := f.dial(t)
	quicktest.Assert(t, open.get(t, "/", 0), quicktest.Equals, http.StatusOK)
	for i := range 100 {
		f.setLimits(job.Limits{IdleTimeout: time.Duration(i+1) * time.Minute})
	}
	f.mu.Lock()
	n := len(f.servers())
	f.mu.Unlock()
	quicktest.Check(t, n, quicktest.Equals, 2) // the first, which has an open connection, and the current one
	quicktest.Check(t, open.get(t, "/", 0), quicktest.Equals, http.StatusOK)
}
