package entry

import (
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
)

const previewBody = `{"service":"veil-desk","kind":"preview","payload":{"motif":"<rose & vine>"}}`

// TestAnswers guards against answers that lack a result or carry another
// task's one.
func TestAnswers(t *testing.T) {
	c := qt.New(t)
	counts := &starts{}
	h := testServer(&fakeDispatcher{starts: counts}).Handler()
	status, _, body := call(h, "POST", "/v1/requests", "veil-secret", previewBody)
	c.Assert(status, qt.Equals, 200)
	a := decodeAnswer(t, body)
	c.Assert(counts.of("veil", a.ID), qt.Equals, 1)
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

// TestRefusals guards against refusals with another status, kind or retry
// advice than the table of errkind states.
func TestRefusals(t *testing.T) {
	h := testServer(&fakeDispatcher{starts: &starts{}, fail: errkind.New(errkind.QueueFull, "full")}).Handler()
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

// TestDrainingRefusesNew guards against new work at an entry that is leaving,
// and against a readyz that still attracts callers.
func TestDrainingRefusesNew(t *testing.T) {
	c := qt.New(t)
	counts := &starts{}
	s := testServer(&fakeDispatcher{starts: counts})
	h := s.Handler()
	status, _, _ := call(h, "GET", "/readyz", "", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	s.draining.Store(true)
	s.refusing.Store(true)
	status, _, body := call(h, "POST", "/v1/requests", "veil-secret", previewBody)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(errorKind(t, body), qt.Equals, errkind.Draining)
	c.Assert(counts.n, qt.HasLen, 0)
	status, _, _ = call(h, "GET", "/readyz", "", "")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	status, _, _ = call(h, "GET", "/healthz", "", "")
	c.Assert(status, qt.Equals, http.StatusOK)
}
