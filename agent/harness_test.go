package agent

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/endpoint"
	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// testTimeout bounds each wait of a test for an event.
const testTimeout = 10 * time.Second

func testAuthority(t testing.TB) *transport.Authority {
	a, err := transport.NewAuthority(time.Hour)
	qt.Assert(t, err, qt.IsNil)
	return a
}

func nodeTLS(t testing.TB, a *transport.Authority, node string) *tls.Config {
	cert, key, err := a.Issue(node, time.Hour)
	qt.Assert(t, err, qt.IsNil)
	c, err := transport.NodeTLS(a.CertificatePEM(), cert, key)
	qt.Assert(t, err, qt.IsNil)
	return c
}

// received is a message that a fake entry received, with its connection.
type received struct {
	conn *transport.Conn
	body wire.Message
}

// fakeEntry accepts connections of agents and passes their messages to the test.
type fakeEntry struct {
	node        ids.Incarnation
	listedEntry atomic.Pointer[wire.EntryAddress] // another entry to list in Hello; may be nil
	lateStart   atomic.Pointer[wire.Start]        // sent when a Drain arrives, before its Ack; may be nil
	listener    *transport.Listener
	conns       chan *transport.Conn
	messages    chan received
	closed      chan *transport.Conn
}

func startEntry(t testing.TB, a *transport.Authority, name string) *fakeEntry {
	e := &fakeEntry{
		node:     ids.NewIncarnation(name),
		conns:    make(chan *transport.Conn, 64),
		messages: make(chan received, 4096),
		closed:   make(chan *transport.Conn, 64),
	}
	l, err := transport.Listen("127.0.0.1:0", transport.Options{
		TLS:   nodeTLS(t, a, name),
		Hello: e.hello,
	})
	qt.Assert(t, err, qt.IsNil)
	e.listener = l
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Serve(ctx, func(c *transport.Conn) transport.Handler {
			e.conns <- c
			return e
		})
	}()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		<-done
	})
	return e
}

func (e *fakeEntry) hello() wire.Hello {
	h := wire.Hello{Node: e.node, Role: wire.RoleEntry}
	if m := e.listedEntry.Load(); m != nil {
		h.Entries = append(h.Entries, *m)
	}
	return h
}

// Handle implements transport.Handler.
func (e *fakeEntry) Handle(c *transport.Conn, f wire.Frame) {
	if _, ok := f.Body.(*wire.Drain); ok {
		if late := e.lateStart.Load(); late != nil {
			_ = c.Send(context.Background(), late)
		}
	}
	if f.CallID != 0 {
		_ = c.Reply(context.Background(), f.CallID, &wire.Ack{})
	}
	e.messages <- received{c, f.Body}
}

// Closed implements transport.Handler.
func (e *fakeEntry) Closed(c *transport.Conn, _ error) { e.closed <- c }

// next returns the next value of ch and fails the test after testTimeout.
func next[T any](t testing.TB, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatal("no value was received before the timeout")
	}
	panic("unreachable")
}

// eventually waits until cond is true and fails the test after testTimeout.
func eventually(t testing.TB, cond func() bool) {
	t.Helper()
	limit := time.After(testTimeout)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatal("condition did not become true before the timeout")
		}
	}
}

// nextMessage returns the next message of type M and discards others.
func nextMessage[M wire.Message](t testing.TB, e *fakeEntry) M {
	t.Helper()
	for {
		if m, ok := next(t, e.messages).body.(M); ok {
			return m
		}
	}
}

// waitForSlots waits until an announcement with the given number of slots is received.
func (e *fakeEntry) waitForSlots(t testing.TB, slots int) {
	t.Helper()
	for nextMessage[*wire.Announce](t, e).Slots != uint32(slots) {
	}
}

// runAgent starts an agent and returns it with a function that stops it.
func runAgent(t testing.TB, a *transport.Authority, change func(*Config), seeds ...*fakeEntry) (*Agent, func() error) {
	cfg := Config{
		Node: ids.NewIncarnation("agent-1"), Worker: "worker-1", Listen: "127.0.0.1:0",
		TLS: nodeTLS(t, a, "agent-1"), Buffer: 2,
	}
	for _, s := range seeds {
		cfg.Seeds = append(cfg.Seeds, s.listener.Address())
	}
	if change != nil {
		change(&cfg)
	}
	ag, err := New(cfg)
	qt.Assert(t, err, qt.IsNil)
	return ag, runUntilStopped(t, ag.Run)
}

// runUntilStopped calls run in a goroutine and cancels its context when stop is called
// or the test ends.
func runUntilStopped(t testing.TB, run func(context.Context) error) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	stopped := false
	stop = func() error {
		stopped = true
		cancel()
		return next(t, ended)
	}
	t.Cleanup(func() {
		if !stopped {
			_ = stop()
		}
	})
	return stop
}

// runEndpoint starts a sample endpoint that announces itself to ag.
func runEndpoint(t testing.TB, ag *Agent, slots int) (*endpoint.Sample, *endpoint.Endpoint, func() error) {
	s := &endpoint.Sample{}
	e, err := endpoint.New(endpoint.Config{
		Agent: ag.Address(), Listen: "127.0.0.1:0", Service: "veil-desk", Slots: slots, Connections: 64,
	}, s)
	qt.Assert(t, err, qt.IsNil)
	s.Register(e)
	return s, e, runUntilStopped(t, e.Run)
}

// announce posts an announcement and returns the HTTP status.
func announce(t testing.TB, ag *Agent, m Announcement) int {
	t.Helper()
	b, err := json.Marshal(m)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.Post("http://"+ag.Address()+"/v1/endpoint", "application/json", bytes.NewReader(b))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	return resp.StatusCode
}

// newStartTask returns a task of the service veil-desk.
func newStartTask(ref uint64, budget time.Duration, payload string) wire.StartTask {
	return wire.StartTask{
		Ref: ref, Submission: "order-17", Index: uint32(ref), Team: "boutiques", Service: "veil-desk",
		Kind: "preview", BudgetMicros: budget.Microseconds(), Payload: []byte(payload),
	}
}

func send(t testing.TB, c *transport.Conn, m wire.Message) {
	t.Helper()
	qt.Assert(t, c.Send(context.Background(), m), qt.IsNil)
}
