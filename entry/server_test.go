package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
)

const previewBody = `{"service":"veil-desk","kind":"preview","payload":{"motif":"<rose & vine>"}}`

// TestAnswers guards against answers in which a result is missing or belongs to
// another task.
func TestAnswers(t *testing.T) {
	c := qt.New(t)
	counts := &startCounter{}
	h := testServer(&fakeDispatcher{starts: counts}).Handler()
	status, _, body := call(h, "POST", "/v1/requests", "veil-secret", previewBody)
	c.Assert(status, qt.Equals, 200)
	a := decodeAnswer(t, body)
	c.Assert(counts.count("veil", a.ID), qt.Equals, 1)
	c.Assert(a.Status, qt.Equals, statusComplete)
	c.Assert(a.ID, qt.Matches, `@entry-1\.5f\.\d+`)
	c.Assert(string(a.Tasks[0].Body), qt.Equals, `{"motif":"<rose & vine>"}`)

	status, _, body = call(h, "POST", "/v1/jobs", "veil-secret",
		`{"service":"veil-desk","kind":"preview","tasks":[{"payload":1},{"payload":"two"},{}]}`)
	c.Assert(status, qt.Equals, 200)
	a = decodeAnswer(t, body)
	c.Assert(a.Tasks, qt.HasLen, 3)
	for i, want := range []string{`1`, `"two"`, `null`} {
		c.Assert(a.Tasks[i].Index, qt.Equals, i)
		c.Assert(string(a.Tasks[i].Body), qt.Equals, want)
	}
}

// TestRefusals guards against refusals whose status, kind or retry advice differs
// from errkind.Table.
func TestRefusals(t *testing.T) {
	h := testServer(&fakeDispatcher{starts: &startCounter{}, fail: errkind.New(errkind.QueueFull, "full")}).Handler()
	big := `{"service":"` + string(make([]byte, MaxBodyBytes)) + `"}`
	tests := []struct {
		name, method, path, token, body string
		kind                            errkind.Kind
	}{
		{"no token", "POST", "/v1/jobs", "", previewBody, errkind.Unauthenticated},
		{"unknown token", "POST", "/v1/jobs", "x", previewBody, errkind.Unauthenticated},
		{"operator's token", "POST", "/v1/jobs", "operator-secret", previewBody, errkind.Forbidden},
		{"caller's token", "GET", "/v1/endpoints", "veil-secret", "", errkind.Forbidden},
		{"method", "PUT", "/v1/jobs", "veil-secret", previewBody, errkind.MethodNotAllowed},
		{"method of metrics", "POST", "/metrics", "", "", errkind.MethodNotAllowed},
		{"path", "POST", "/v1/job", "veil-secret", previewBody, errkind.NotFound},
		{"size", "POST", "/v1/requests", "veil-secret", big, errkind.BodyTooLarge},
		{"service", "POST", "/v1/requests", "veil-secret", `{"service":"x","kind":"preview"}`, errkind.UnknownService},
		{"kind", "POST", "/v1/requests", "veil-secret", `{"service":"veil-desk","kind":"x"}`, errkind.UnknownKind},
		{"deadline", "POST", "/v1/requests", "veil-secret", `{"service":"veil-desk","kind":"preview","deadline_ms":2001}`, errkind.InvalidRequest},
		{"dispatcher", "POST", "/v1/requests", "veil-secret", previewBody, errkind.QueueFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			status, header, body := call(h, test.method, test.path, test.token, test.body)
			want := errkind.Table[test.kind]
			c.Assert(header.Get("Allow") != "", qt.Equals, test.kind == errkind.MethodNotAllowed)
			a := decodeAnswer(t, body)
			c.Assert(a.Error, qt.IsNotNil)
			c.Assert(a.Error.Kind, qt.Equals, test.kind)
			c.Assert(status, qt.Equals, want.Status)
			c.Assert(a.Error.Outcome, qt.Equals, want.Outcome)
			c.Assert(a.Error.Retry, qt.Equals, want.Retry)
			c.Assert(a.Error.RetryAfterMS, qt.Equals, want.RetryAfter.Milliseconds())
			if want.RetryAfter > 0 {
				c.Assert(header.Get("Retry-After"), qt.Equals, strconv.Itoa(int(want.RetryAfter.Seconds())))
			} else {
				c.Assert(header.Get("Retry-After"), qt.Equals, "")
			}
		})
	}
}

// TestDrainingRefusesNew guards against new submissions at a draining entry, and
// against a readiness check that still succeeds.
func TestDrainingRefusesNew(t *testing.T) {
	c := qt.New(t)
	counts := &startCounter{}
	s := testServer(&fakeDispatcher{starts: counts})
	h := s.Handler()
	status, _, _ := call(h, "GET", "/readyz", "", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	s.draining.Store(true)
	s.refusingNew.Store(true)
	status, _, body := call(h, "POST", "/v1/requests", "veil-secret", previewBody)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(errorKind(t, body), qt.Equals, errkind.Draining)
	c.Assert(counts.n, qt.HasLen, 0)
	status, _, _ = call(h, "GET", "/readyz", "", "")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	status, _, _ = call(h, "GET", "/healthz", "", "")
	c.Assert(status, qt.Equals, http.StatusOK)
}

// TestSlowBody guards against a caller that blocks a request, and with it a drain,
// by never completing its body, and against a read deadline that also ends the wait
// for an answer.
func TestSlowBody(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		disp := &fakeDispatcher{starts: &startCounter{}, release: make(chan struct{}), running: make(chan struct{}, 1), cancelled: make(chan string, 1)}
		client, server := net.Pipe()
		web := &http.Server{Handler: testServer(disp).Handler()}
		go func() { _ = web.Serve(&singleConnListener{conn: server, closed: make(chan struct{})}) }()
		defer web.Close()
		answers := bufio.NewReader(client)
		head := "POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer veil-secret\r\nContent-Length: %d\r\n\r\n"
		fmt.Fprintf(client, head+"%s", len(previewBody), previewBody)
		receive(t, disp.running)
		time.Sleep(10 * bodyReadTimeout) // the answer takes longer than the body read timeout
		close(disp.release)
		resp, err := http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, 200)
		_, _ = io.Copy(io.Discard, resp.Body)

		fmt.Fprintf(client, head+"{", len(previewBody))
		start := time.Now()
		resp, err = http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, 400)
		c.Assert(time.Since(start), qt.Equals, bodyReadTimeout)
	})
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	conn   net.Conn
	closed chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *singleConnListener) Close() error {
	close(l.closed)
	return nil
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }
