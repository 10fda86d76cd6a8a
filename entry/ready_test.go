package entry

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/dispatch"
)

// agentlessDispatcher has no endpoints until connected is set.
type agentlessDispatcher struct {
	fakeDispatcher
	connected bool
}

func (d *agentlessDispatcher) Endpoints() []dispatch.EndpointStatus {
	if !d.connected {
		return nil
	}
	return []dispatch.EndpointStatus{{Service: "veil-desk"}}
}

// TestReadyWaitsForAgents guards against a restarted entry that receives
// submissions before its agents have connected and has to refuse them, and against
// an entry that never becomes ready because a service has no endpoint.
func TestReadyWaitsForAgents(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	start := func() (*agentlessDispatcher, func() int) {
		d := &agentlessDispatcher{}
		o := testOptions(d)
		o.Now = func() time.Time { return now }
		h := New(o).Handler()
		return d, func() int { status, _, _ := call(h, "GET", "/readyz", "", ""); return status }
	}
	d, ready := start()
	c.Assert(ready(), qt.Equals, http.StatusServiceUnavailable)
	now = now.Add(agentWaitTimeout - time.Millisecond)
	c.Assert(ready(), qt.Equals, http.StatusServiceUnavailable)
	d.connected = true
	c.Assert(ready(), qt.Equals, http.StatusOK)
	d.connected = false
	c.Assert(ready(), qt.Equals, http.StatusOK)

	_, ready = start()
	c.Assert(ready(), qt.Equals, http.StatusServiceUnavailable)
	now = now.Add(agentWaitTimeout)
	c.Assert(ready(), qt.Equals, http.StatusOK)
}
