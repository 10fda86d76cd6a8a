package entry

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/dispatch"
)

// unserved is a dispatcher without agents until one is connected.
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

// TestReadyWaitsForAgents guards against a restarted entry that attracts
// submissions before its agents have connected, which it must refuse, and
// against an entry that stays out of service because a service has no endpoint.
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
