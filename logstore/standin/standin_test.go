package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The fake must reject requests that violate the protocol, and it must accept
// changes of faults while the platform is down.
func TestProtocol(t *testing.T) {
	c := qt.New(t)
	h := httptest.NewServer(New())
	defer h.Close()
	for _, step := range []struct {
		method, path, body string
		status             int
		response           string
	}{
		{"POST", "/v1/streams/s/records", `{"a":1}`, 200, `"offset":0`},
		{"POST", "/v1/streams/s/records", `{`, 400, "not JSON"},
		{"POST", "/v1/streams/s/records", strings.Repeat(" ", 1<<20) + "1", 413, "too large"},
		{"GET", "/v1/streams/s/records?from=0&limit=5", "", 200, `"value":{"a":1}`},
		{"GET", "/v1/streams/s/records?from=-1&limit=5", "", 400, "from"},
		{"GET", "/v1/streams/s/records?from=0&limit=0", "", 400, "limit"},
		{"GET", "/v1/streams/s/records?from=9&limit=5", "", 200, `"next":1`},
		{"DELETE", "/v1/streams/s/records", "", 405, ""},
		{"POST", "/v1/leases/w", `{"holder":"a","ttl_ms":0}`, 400, "ttl_ms"},
		{"POST", "/v1/leases/w", `{"holder":"a","ttl":5}`, 400, "unknown field"},
		{"PUT", "/v1/faults", `{"downn":true}`, 400, "unknown field"},
		{"PUT", "/v1/faults", `{"delay_ms":-1}`, 400, "delay_ms"},
		{"PUT", "/v1/faults", `{"down":true}`, 200, `"down":true`},
		{"GET", "/v1/streams/s/records?from=0&limit=5", "", 503, "down"},
		{"PUT", "/v1/faults", `{"expire_before":{"s":1}}`, 200, ""},
		{"GET", "/v1/streams/s/records?from=0&limit=5", "", 200, `"records":[],"earliest":1,"next":1`},
	} {
		req, err := http.NewRequest(step.method, h.URL+step.path, strings.NewReader(step.body))
		c.Assert(err, qt.IsNil)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		c.Assert(resp.StatusCode, qt.Equals, step.status, qt.Commentf("%s %s: %s", step.method, step.path, b))
		c.Assert(string(b), qt.Contains, step.response)
	}
}
