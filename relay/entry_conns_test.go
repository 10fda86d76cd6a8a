package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/emulator"
	"oriolerelay/executor"
	"oriolerelay/ids"
	"oriolerelay/internal/rendezvous"
	"oriolerelay/platform"
	"oriolerelay/policy"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// testTimeout is far longer than any step of these tests takes.
const testTimeout = 20 * time.Second

// testEntry is an entry that only records the messages of agents.
type testEntry struct {
	listener *transport.Listener
	address  string
	changed  chan<- struct{} // signals each change

	mu       sync.Mutex
	conn     *transport.Conn // nil while no agent is connected
	closed   int             // number of closed connections
	received []wire.Message
}

func newTestEntry(t *testing.T, n int, changed chan<- struct{}) *testEntry {
	opts := transport.Options{Hello: func() wire.Hello {
		return wire.Hello{Node: ids.NewIncarnation(fmt.Sprintf("entry-%d", n)), Role: wire.RoleEntry}
	}}
	l, err := transport.Listen("127.0.0.1:0", opts)
	qt.Assert(t, err, qt.IsNil)
	e := &testEntry{listener: l, address: l.Address(), changed: changed}
	go func() { _ = l.Serve(t.Context(), e.newHandler) }()
	t.Cleanup(func() { _ = l.Close() })
	return e
}

func (e *testEntry) newHandler(c *transport.Conn) transport.Handler {
	defer e.notifyChange()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = c
	return e
}

func (e *testEntry) Handle(_ *transport.Conn, f wire.Frame) {
	defer e.notifyChange()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, f.Body)
}

func (e *testEntry) Closed(c *transport.Conn, _ error) {
	defer e.notifyChange()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed++
	if e.conn == c {
		e.conn = nil
	}
}

// notifyChange wakes up the test. It does not block while an earlier change is pending.
func (e *testEntry) notifyChange() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *testEntry) connection() *transport.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn
}

// hasReceived reports whether f returns true for a received message.
func (e *testEntry) hasReceived(f func(wire.Message) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.received, f)
}

// lastStatusTime returns the time of the last received status.
func (e *testEntry) lastStatusTime() (t uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.received {
		switch m := m.(type) {
		case *wire.Status:
			t = m.ClockMillis
		case *wire.Reports:
			t = m.Status.ClockMillis
		}
	}
	return t
}

// startTestAgent runs the connections of an agent whose endpoint has announced itself.
func startTestAgent(t *testing.T, node string, addresses []string) *entryConns {
	capacity := wire.Resources{MilliCores: 8000, MemoryMiB: 8000}
	endpoint := emulator.NewEndpoint("endpoint", capacity, 1)
	x := executor.New(executor.Config{
		Endpoint: endpoint, Timing: executor.DefaultTiming(time.Second),
		Metrics: executor.NewMetrics(prometheus.NewRegistry()),
	})
	p := &process{settings: Settings{Node: node}, incarnation: ids.NewIncarnation(node)}
	l := newAgentConns(p, x).conns
	l.setSeeds(addresses)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { x.Run(ctx); done <- struct{}{} }()
	go func() { l.run(ctx); done <- struct{}{} }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	x.Announce(endpoint.Announcement(false))
	return l
}

// waitFor waits until f returns true and calls it after each change of the entries.
func waitFor(t *testing.T, changed <-chan struct{}, what string, f func() bool) {
	t.Helper()
	end := time.After(testTimeout)
	for !f() {
		select {
		case <-changed:
		case <-end:
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func countConnected(entries []*testEntry) (n int) {
	for _, e := range entries {
		if e.connection() != nil {
			n++
		}
	}
	return n
}

func addressesOf(entries []*testEntry) (out []string) {
	for _, e := range entries {
		out = append(out, e.address)
	}
	return out
}

func startTestEntries(t *testing.T, n int) (entries []*testEntry, changed <-chan struct{}) {
	changes := make(chan struct{}, 1)
	for i := range n {
		entries = append(entries, newTestEntry(t, i, changes))
	}
	return entries, changes
}

// Guards against a small deployment in which an entry has no connection to an agent.
func TestAgentConnectsToAllOfFewEntries(t *testing.T) {
	entries, changed := startTestEntries(t, policy.SmallDeploymentEntries)
	startTestAgent(t, "side-1", addressesOf(entries))
	waitFor(t, changed, "connections to all entries", func() bool { return countConnected(entries) == policy.SmallDeploymentEntries })
}

// Guards against agents that connect to every entry when there are many, and against an agent
// that does not replace an entry that is gone.
func TestAgentConnectsToSomeOfManyEntries(t *testing.T) {
	entries, changed := startTestEntries(t, policy.SmallDeploymentEntries+2)
	startTestAgent(t, "side-1", addressesOf(entries))
	waitFor(t, changed, "connections to the chosen entries", func() bool { return countConnected(entries) == placementEntriesPerAgent })
	i := slices.IndexFunc(entries, func(e *testEntry) bool { return e.connection() != nil })
	qt.Assert(t, entries[i].listener.Close(), qt.IsNil)
	entries = slices.Delete(entries, i, i+1)
	waitFor(t, changed, "a connection to another entry", func() bool { return countConnected(entries) == placementEntriesPerAgent })
}

// Guards against an agent that does not connect to an entry whose stored jobs need its endpoint (review
// case 3), and against one that connects to entries that need other endpoints.
func TestAgentConnectsToEntriesThatWantItsEndpoint(t *testing.T) {
	entries, changed := startTestEntries(t, policy.SmallDeploymentEntries+3)
	l := startTestAgent(t, "side-1", addressesOf(entries))
	waitFor(t, changed, "connections to the chosen entries", func() bool { return countConnected(entries) == placementEntriesPerAgent })
	var others []*testEntry
	for _, e := range entries {
		if e.connection() == nil {
			others = append(others, e)
		}
	}
	list := func(wanted, other []wire.TaskRequirement) {
		var changes []platform.EntryChange
		for i, e := range entries {
			record := wire.EntryRecord{EntryAddress: wire.EntryAddress{Node: ids.NewIncarnation(fmt.Sprintf("entry-%d", i)), Address: e.address}}
			switch e {
			case others[0]:
				record.Wanted = wanted
			case others[1]:
				record.Wanted = other
			}
			changes = append(changes, platform.EntryChange{Entry: record, Present: true})
		}
		l.applyListChanges(changes)
	}
	service := emulator.NewEndpoint("endpoint", wire.Resources{}, 1).Announcement(false).Profile.Service
	list([]wire.TaskRequirement{{Service: service, Size: wire.Resources{MilliCores: 8000}}},
		[]wire.TaskRequirement{{Service: service, Size: wire.Resources{MilliCores: 8001}}, {Service: service, Label: "b"}, {Service: "other"}})
	waitFor(t, changed, "a connection to the entry that wants the endpoint", func() bool { return others[0].connection() != nil })
	time.Sleep(5 * reconcileInterval)
	qt.Check(t, others[1].connection(), qt.IsNil)
	list(nil, nil)
	waitFor(t, changed, "the end of that connection", func() bool { return others[0].connection() == nil })
}

// Guards against runs that are lost because the agent replaces their entry by another one, and
// against orders to an agent that is about to close the connection.
func TestRunsOfRetiredEntryComplete(t *testing.T) {
	c := qt.New(t)
	entries, changed := startTestEntries(t, policy.SmallDeploymentEntries+2)
	var listed []policy.Entry
	for _, a := range addressesOf(entries) {
		listed = append(listed, policy.Entry{Address: a})
	}
	ranked := policy.PlacementEntries(listed, "", nil)
	i := slices.IndexFunc(entries, func(e *testEntry) bool { return e.address == ranked[0] })
	added := entries[i]
	known := addressesOf(slices.Delete(slices.Clone(entries), i, i+1))
	// Find the name of a node that ranks the added entry first.
	node := ""
	for n := 0; node == ""; n++ {
		name := fmt.Sprintf("side-%d", n)
		if rendezvous.Choose(name, ranked, nil, placementEntriesPerAgent, len(ranked))[0] == added.address {
			node = name
		}
	}
	l := startTestAgent(t, node, known)
	waitFor(t, changed, "connections to the chosen entries", func() bool { return countConnected(entries) == placementEntriesPerAgent })
	replaced := entries[slices.IndexFunc(entries, func(e *testEntry) bool {
		return e.connection() != nil && e != added
	})]
	id := wire.Run{Task: "0123456789abcdef.0.0.0", Number: 1}
	waitFor(t, changed, "an available endpoint", func() bool {
		return replaced.hasReceived(func(m wire.Message) bool { s, ok := m.(*wire.Status); return ok && s.Profile != nil })
	})
	const runTime = 1500 * time.Millisecond
	order := &wire.Orders{OrderedRuns: 1, StatusClockMillis: replaced.lastStatusTime(), Groups: []wire.OrderGroup{{
		Size: wire.Resources{MilliCores: 1000, MemoryMiB: 100}, EstimateMillis: uint32(runTime.Milliseconds()), Runs: []wire.Run{id},
	}}}
	c.Assert(replaced.connection().Send(t.Context(), order), qt.IsNil)
	go func() { // an entry with runs sends messages all the time
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for c := replaced.connection(); c != nil; c = replaced.connection() {
			_ = c.Send(t.Context(), &wire.Heartbeat{})
			<-tick.C
		}
	}()
	isReport := func(state wire.RunState) func(m wire.Message) bool {
		return func(m wire.Message) bool {
			r, ok := m.(*wire.Reports)
			return ok && slices.ContainsFunc(r.Reports, func(r wire.Report) bool { return r.Run == id && r.State == state })
		}
	}
	waitFor(t, changed, "the start of the run", func() bool { return replaced.hasReceived(isReport(wire.RunStarted)) })
	l.setSeeds([]string{added.address})
	waitFor(t, changed, "a connection to the added entry", func() bool { return added.connection() != nil })
	waitFor(t, changed, "the notice to the replaced entry", func() bool {
		return replaced.hasReceived(func(m wire.Message) bool {
			s, ok := m.(*wire.Status)
			return ok && s.ClosedReason == wire.RejectRetired
		})
	})
	c.Check(replaced.connection(), qt.IsNotNil)
	waitFor(t, changed, "the end of the connection", func() bool { return replaced.connection() == nil })
	c.Check(replaced.hasReceived(isReport(wire.RunDone)), qt.IsTrue)
}

// nonConnectingOwner is a connOwner that connects to no entry. It calls the function with the
// entries that it may choose from.
type nonConnectingOwner func(entries []policy.Entry)

func (f nonConnectingOwner) chooseEntries(entries []policy.Entry, _ map[string]bool) []string {
	f(entries)
	return nil
}

func (nonConnectingOwner) newHandler(*transport.Conn) transport.Handler               { return discardHandler{} }
func (nonConnectingOwner) isSuspect(ids.Incarnation) bool                             { return false }
func (nonConnectingOwner) retire(context.Context, *transport.Conn, transport.Handler) {}

func sorted(s []string) []string {
	slices.Sort(s)
	return s
}
