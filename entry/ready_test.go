package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/dispatch"
	"oriolerelay/errkind"
	"oriolerelay/ticket"
)

// TestReadyWaitsForAgents guards against an entry that attracts submissions
// before its agents are connected, and against one that waits for ever for a
// service without endpoints.
func TestReadyWaitsForAgents(t *testing.T) {
	none := []dispatch.EndpointStatus{}
	leaving := []dispatch.EndpointStatus{{Service: "veil-desk", Slots: 8, Draining: true}}
	one := []dispatch.EndpointStatus{{Service: "veil-desk", Slots: 8}}
	two := append(one, one...)
	tests := []struct {
		name  string
		state *ticket.State
		steps [][]dispatch.EndpointStatus // the endpoints in each 400 ms
		want  time.Duration
	}{
		{"all at once", testState(), [][]dispatch.EndpointStatus{one}, readySettle},
		{"one after the other", testState(), [][]dispatch.EndpointStatus{none, one, two}, 800*time.Millisecond + readySettle},
		{"leaving only", testState(), [][]dispatch.EndpointStatus{leaving}, readyLimit},
		{"never", testState(), [][]dispatch.EndpointStatus{none}, readyLimit},
		{"no services", &ticket.State{Number: 1}, [][]dispatch.EndpointStatus{none}, readySettle},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				disp := &fakeDispatcher{starts: &starts{}, endpoints: func() []dispatch.EndpointStatus {
					return test.steps[min(int(time.Since(start)/(400*time.Millisecond)), len(test.steps)-1)]
				}}
				opts := testOptions(disp)
				opts.Tickets = newFakeTickets(test.state)
				s := New(opts)
				h := s.Handler()
				_, _, body := call(h, "GET", "/readyz", "", "")
				c.Assert(errorKind(t, body), qt.Equals, errkind.NoEndpoint)
				c.Assert(s.watchReadiness(t.Context()), qt.IsNil)
				// A poll may fall right before the end of the wait.
				c.Assert(time.Since(start) <= test.want+2*readyPoll, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
				c.Assert(time.Since(start) >= test.want, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
				status, _, _ := call(h, "GET", "/readyz", "", "")
				c.Assert(status, qt.Equals, 200)
			})
		})
	}
}
