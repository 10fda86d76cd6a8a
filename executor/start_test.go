package executor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/endpointapi"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// startCallFunc replies to the n-th start call to an endpoint, counted from 1.
type startCallFunc func(n int, e *scriptedEndpoint, o endpointapi.StartRequest) endpointapi.StartReply

// scriptedEndpoint replies to starts with a function of the test. Like real endpoints, it rejects
// the start of a run that was stopped before.
type scriptedEndpoint struct {
	fakeEndpoint
	reply startCallFunc

	callsMu    sync.Mutex
	startCalls int
	// highestStopped holds the highest number of a stopped run by task, and overlapped the tasks
	// of which two runs executed at the same time.
	highestStopped map[string]uint32
	overlapped     map[string]bool
}

func (e *scriptedEndpoint) Start(_ context.Context, o endpointapi.StartRequest) endpointapi.StartReply {
	e.callsMu.Lock()
	e.startCalls++
	n := e.startCalls
	e.callsMu.Unlock()
	return e.reply(n, e, o)
}

// Observe replies later than Start, so that ends are seen after the reply to the start.
func (e *scriptedEndpoint) Observe(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
	time.Sleep(5 * time.Millisecond)
	return e.fakeEndpoint.Observe(ctx, o)
}

// startRun executes the run of o unless it was stopped before.
func (e *scriptedEndpoint) startRun(o endpointapi.StartRequest) endpointapi.StartReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Run.Number <= e.highestStopped[o.Run.Task] {
		return endpointapi.StartReply{Result: endpointapi.StartOldRun, Clock: time.Hour}
	}
	for r := range e.running {
		if r.Task == o.Run.Task && r != o.Run {
			e.overlapped[r.Task] = true
		}
	}
	e.running[o.Run] = true
	return endpointapi.StartReply{Result: endpointapi.StartAccepted, Clock: time.Hour}
}

func (e *scriptedEndpoint) Stop(ctx context.Context, o endpointapi.StopRequest) error {
	e.mu.Lock()
	e.highestStopped[o.Run.Task] = max(e.highestStopped[o.Run.Task], o.Run.Number)
	e.mu.Unlock()
	return e.fakeEndpoint.Stop(ctx, o)
}

// withScriptedEndpoint runs f with an executor whose endpoint replies to starts with reply.
func withScriptedEndpoint(t *testing.T, reply startCallFunc, f func(c *quicktest.C, x *Executor, e *scriptedEndpoint, entry *fakeEntry)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		e := &scriptedEndpoint{
			fakeEndpoint: fakeEndpoint{running: make(map[wire.Run]bool), maxListed: 500},
			reply:        reply, highestStopped: make(map[string]uint32), overlapped: make(map[string]bool),
		}
		x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		x.Announce(endpointapi.Announcement{
			Profile: wire.Profile{Instance: "i-1", Service: "s", Capacity: wire.Resources{MilliCores: 4000}}, StartMillis: 1, Sequence: 1, Clock: time.Hour,
		})
		entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.1", entry.send)
		f(quicktest.New(t), x, e, entry)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// orderUntilStarted orders runs of a task, each after the previous one was rejected, as an
// entry does, and returns the number of the run that is not rejected.
func orderUntilStarted(x *Executor, entry *fakeEntry, task string) uint32 {
	for n := uint32(1); ; n++ {
		run := wire.Run{Task: task, Number: n}
		sendOrder(x, false, run)
		for range 60 {
			sendHeartbeats(x, 5*time.Millisecond)
			if entry.state(run) == wire.RunRejected {
				break
			}
		}
		if entry.state(run) != wire.RunRejected {
			return n
		}
	}
}

// Guards against two runs of a task at one endpoint. A start without a reply was repeated, the
// first call was then rejected for lack of capacity and so was the run, and the second call was
// executed beside the next run.
func TestRejectedStartWithPendingCallIsStopped(t *testing.T) {
	reply := func(n int, e *scriptedEndpoint, o endpointapi.StartRequest) endpointapi.StartReply {
		switch n {
		case 1:
			time.Sleep(30 * time.Millisecond)
			return endpointapi.StartReply{Result: endpointapi.StartNoCapacity, Clock: time.Hour}
		case 2:
			time.Sleep(70 * time.Millisecond)
		}
		return e.startRun(o)
	}
	withScriptedEndpoint(t, reply, func(c *quicktest.C, x *Executor, e *scriptedEndpoint, entry *fakeEntry) {
		n := orderUntilStarted(x, entry, "t.0.0.0")
		sendHeartbeats(x, 300*time.Millisecond)
		c.Check(e.overlapped, quicktest.HasLen, 0)
		c.Check(e.runs(), quicktest.DeepEquals, map[wire.Run]bool{{Task: "t.0.0.0", Number: n}: true})
	})
}

// Guards against repeating a start whose first call is still queued for a connection, which
// multiplied the calls of a busy agent.
func TestQueuedStartIsNotRetried(t *testing.T) {
	reply := func(_ int, e *scriptedEndpoint, o endpointapi.StartRequest) endpointapi.StartReply {
		time.Sleep(12 * time.Millisecond)
		return e.startRun(o)
	}
	withScriptedEndpoint(t, reply, func(c *quicktest.C, x *Executor, e *scriptedEndpoint, _ *fakeEntry) {
		const runs = 4 * startWorkers
		group := wire.OrderGroup{Size: wire.Resources{MilliCores: 100}, EstimateMillis: 100}
		for i := range runs {
			group.Runs = append(group.Runs, wire.Run{Task: taskName(i), Number: 1})
		}
		x.Handle("entry.1", &wire.Orders{StatusClockMillis: x.clockMillis(), Groups: []wire.OrderGroup{group}})
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(e.runs(), quicktest.HasLen, runs)
		e.callsMu.Lock()
		defer e.callsMu.Unlock()
		c.Check(e.startCalls, quicktest.Equals, runs)
	})
}

// Guards against a short task that ends between two of its start calls: the reply to the second
// call is StartOldRun, and the task must count as done and not run again.
func TestRunEndedBeforeRetriedStart(t *testing.T) {
	run := wire.Run{Task: "t.0.0.0", Number: 1}
	reply := func(n int, e *scriptedEndpoint, o endpointapi.StartRequest) endpointapi.StartReply {
		if n == 1 {
			time.Sleep(200 * time.Millisecond) // the reply is lost
			return endpointapi.StartReply{Result: endpointapi.StartUnknown}
		}
		e.startRun(o)
		e.end(run, endpointapi.EndDone)
		return endpointapi.StartReply{Result: endpointapi.StartOldRun, Clock: time.Hour}
	}
	withScriptedEndpoint(t, reply, func(c *quicktest.C, x *Executor, _ *scriptedEndpoint, entry *fakeEntry) {
		sendOrder(x, false, run)
		for entry.state(run) == wire.RunStarted || entry.state(run) == 0 {
			sendHeartbeats(x, time.Millisecond)
		}
		c.Check(entry.state(run), quicktest.Equals, wire.RunDone)
	})
}

// Guards against sending queued starts of runs that were given up. The endpoint went down and
// restarted with the same ID while they waited for a connection.
func TestCancelledStartIsNotSent(t *testing.T) {
	reply := func(n int, e *scriptedEndpoint, o endpointapi.StartRequest) endpointapi.StartReply {
		time.Sleep(10 * time.Millisecond)
		if n <= startWorkers {
			return endpointapi.StartReply{Result: endpointapi.StartEndpointDown}
		}
		return e.startRun(o)
	}
	withScriptedEndpoint(t, reply, func(c *quicktest.C, x *Executor, e *scriptedEndpoint, entry *fakeEntry) {
		group := wire.OrderGroup{Size: wire.Resources{MilliCores: 100}, EstimateMillis: 100}
		for i := range 3 * startWorkers {
			group.Runs = append(group.Runs, wire.Run{Task: taskName(i), Number: 1})
		}
		x.Handle("entry.1", &wire.Orders{StatusClockMillis: x.clockMillis(), Groups: []wire.OrderGroup{group}})
		sendHeartbeats(x, 300*time.Millisecond)
		for _, run := range group.Runs {
			c.Check(entry.state(run), quicktest.Equals, wire.RunLost)
		}
		c.Check(e.runs(), quicktest.HasLen, 0)
	})
}

func taskName(i int) string { return "t.0.0." + string(rune('a'+i)) }
