package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// detectionTimeout is the documented time within which a suspect member is detected.
const detectionTimeout = 5 * time.Second

// TestSuspectMember guards against a failed member that is never reported as
// suspect, and against a live one that is.
func TestSuspectMember(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 3)
	reported := make(chan struct{})
	m := cl.nodes[0].members
	m.mu.Lock()
	c.Assert(m.suspects, qt.HasLen, 0)
	m.reported = reported
	m.mu.Unlock()
	cl.nodes[2].stop()
	select {
	case <-reported:
	case <-time.After(detectionTimeout):
		c.Fatalf("not reported within %s", detectionTimeout)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.Assert(m.suspects, qt.DeepEquals, []ids.Incarnation{cl.nodes[2].server.self})
}

// entryListRecorder is the agent side of a connection. It records the entry lists
// that it receives.
type entryListRecorder struct{ lists chan []wire.EntryAddress }

func (a *entryListRecorder) Handle(_ *transport.Conn, f wire.Frame) {
	if m, ok := f.Body.(*wire.Hello); ok {
		a.lists <- m.Entries
	}
}

func (a *entryListRecorder) Closed(*transport.Conn, error) {}

// TestAgentsLearnView guards against agents that never connect to an entry that
// joined later.
func TestAgentsLearnView(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 1)
	agent := &entryListRecorder{lists: make(chan []wire.EntryAddress, 8)}
	conn, err := transport.Dial(context.Background(), cl.nodes[0].listener.Address(), transport.Options{
		TLS:   cl.tls("worker-1"),
		Hello: func() wire.Hello { return wire.Hello{Node: ids.NewIncarnation("worker-1"), Role: wire.RoleAgent} },
	}, func(*transport.Conn) transport.Handler { return agent })
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.PeerHello.Entries, qt.HasLen, 1)
	cl.nodes = append(cl.nodes, cl.start(ids.Incarnation{Name: "entry-1", Number: 1}))
	cl.publishView()
	timeout := time.After(detectionTimeout)
	for {
		select {
		case list := <-agent.lists:
			if len(list) == 2 {
				c.Assert(list[1], qt.Equals, cl.nodes[1].address())
				return
			}
		case <-timeout:
			c.Fatal("the agent did not learn the second entry")
		}
	}
}
