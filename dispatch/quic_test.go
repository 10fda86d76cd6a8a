package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// quicAgent is an agent over a real QUIC connection that completes every task
// immediately. While withholdResults is set, it closes the connection instead of
// sending results, so that they have to be settled.
type quicAgent struct {
	mu              sync.Mutex
	withholdResults bool
	starts          map[string]int
	results         map[uint64]*wire.TaskResult
	parents         map[string]bool
	states          chan uint64
}

func (a *quicAgent) Handle(c *transport.Conn, f wire.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx := context.Background()
	switch m := f.Body.(type) {
	case *wire.Start:
		r := &wire.Result{}
		for _, t := range m.Tasks {
			a.starts[taskName(t.Submission, int(t.Index))]++
			a.parents[t.TraceParent] = true
			res := wire.TaskResult{Ref: t.Ref, Outcome: errkind.Done, Body: t.Payload, RunMicros: 1}
			a.results[t.Ref] = &res
			r.Tasks = append(r.Tasks, res)
		}
		if a.withholdResults {
			go func() { _ = c.Close() }()
			return
		}
		go func() { _ = c.Send(ctx, r) }()
	case *wire.Settle:
		r := &wire.Settled{}
		for _, ref := range m.Refs {
			r.Tasks = append(r.Tasks, wire.SettledTask{Ref: ref, State: wire.TaskFinished, Result: a.results[ref]})
		}
		go func() { _ = c.Reply(ctx, f.CallID, r) }()
	case *wire.Config:
		a.states <- m.Ticket
	}
}

func (a *quicAgent) Closed(*transport.Conn, error) {}

// TestOverQUIC runs jobs over QUIC connections on loopback, loses a connection
// after the tasks started, and settles them on the next one. It guards against
// integration faults that the fake connections hide.
func TestOverQUIC(t *testing.T) {
	c := qt.New(t)
	authority, err := transport.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	options := func(name string, role wire.Role) transport.Options {
		cert, key, err := authority.Issue(name, time.Hour)
		c.Assert(err, qt.IsNil)
		tls, err := transport.NodeTLS(authority.CertificatePEM(), cert, key)
		c.Assert(err, qt.IsNil)
		node := ids.Incarnation{Name: name, Number: 1}
		return transport.Options{TLS: tls, Hello: func() wire.Hello { return wire.Hello{Node: node, Role: role} }}
	}
	spans := tracetest.NewSpanRecorder()
	tracer := trace.NewTracerProvider(trace.WithSpanProcessor(spans)).Tracer("test")
	d := New(Config{Self: ids.Incarnation{Name: "entry-1", Number: 1}, CurrentConfig: testConfig, Tracer: tracer})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = d.Run(ctx) }()
	l, err := transport.Listen("127.0.0.1:0", options("entry-1", wire.RoleEntry))
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() { _ = l.Serve(ctx, d.AgentHandler) }()

	agent := &quicAgent{starts: map[string]int{}, results: map[uint64]*wire.TaskResult{}, parents: map[string]bool{},
		states: make(chan uint64, 10)}
	agentOptions := options("agent-1", wire.RoleAgent)
	dial := func() *transport.Conn {
		conn, err := transport.Dial(ctx, l.Address(), agentOptions, func(*transport.Conn) transport.Handler { return agent })
		c.Assert(err, qt.IsNil)
		c.Assert(conn.Send(ctx, &wire.Announce{Service: "veil-desk", Slots: 200, Revision: 1}), qt.IsNil)
		return conn
	}
	waitAvailable := func() {
		for len(d.Endpoints()) == 0 || !d.anyAgentAvailable() {
			<-time.After(time.Millisecond)
		}
	}
	d.PushConfig(wire.Config{Ticket: 7})
	first := dial()
	waitAvailable()
	c.Assert(<-agent.states, qt.Equals, uint64(7))
	d.PushConfig(wire.Config{Ticket: 6})
	d.PushConfig(wire.Config{Ticket: 8})
	c.Assert(<-agent.states, qt.Equals, uint64(8))

	s := &testSubmission{job: testJob(0, "preview", "plain", false, 150, 5*time.Second)}
	answer := d.Do(ctx, s.job)
	c.Assert(answer.Err == nil, qt.IsTrue, qt.Commentf("%v", answer.Err))
	for i, task := range answer.Tasks {
		c.Assert(task.Body, qt.DeepEquals, []byte{byte(i)})
	}
	c.Assert(len(agent.parents) == 150, qt.IsTrue) // each attempt has its own span
	names := map[string]int{}
	for _, span := range spans.Ended() {
		names[span.Name()]++
	}
	c.Assert(names, qt.DeepEquals, map[string]int{"dispatch": 1, "queue wait": 150, "task": 150})

	agent.mu.Lock()
	agent.withholdResults = true
	agent.mu.Unlock()
	go func() {
		<-first.Done()
		dial()
	}()
	answer = d.Do(ctx, testJob(0, "stock-check", "settled", false, 20, 5*time.Second))
	c.Assert(answer.Err == nil, qt.IsTrue, qt.Commentf("%v", answer.Err))
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for i := range 20 {
		c.Assert(agent.starts[taskName("settled", i)], qt.Equals, 1, qt.Commentf(fmt.Sprint(i)))
	}
}

// anyAgentAvailable reports whether any agent can be given tasks.
func (d *Dispatcher) anyAgentAvailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		if a.available() {
			return true
		}
	}
	return false
}
