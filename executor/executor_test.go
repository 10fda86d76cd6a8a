package executor

import (
	"context"
	"maps"
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

// fakeEndpoint accepts every start and ends runs on demand. Like the platform's endpoints, it
// lists only its oldest ends, at most maxListed.
type fakeEndpoint struct {
	mu           sync.Mutex
	running      map[wire.Run]bool
	ended        []endpointapi.EndedRun
	acked        uint64
	lastSequence uint64
	maxListed    int
	startMillis  int64
	silent       bool // observations are not answered
}

func (f *fakeEndpoint) Start(_ context.Context, o endpointapi.StartRequest) endpointapi.StartReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[o.Run] = true
	return endpointapi.StartReply{Result: endpointapi.StartAccepted, Clock: time.Hour}
}

func (f *fakeEndpoint) Stop(_ context.Context, o endpointapi.StopRequest) error {
	f.end(o.Run, endpointapi.EndStopped)
	return nil
}

func (f *fakeEndpoint) end(run wire.Run, end endpointapi.End) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[run] {
		delete(f.running, run)
		f.lastSequence++
		f.ended = append(f.ended, endpointapi.EndedRun{Sequence: f.lastSequence, Run: run, End: end})
	}
}

func (f *fakeEndpoint) Observe(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
	if f.isSilent() {
		<-ctx.Done()
		return endpointapi.Observation{}, ctx.Err()
	}
	time.Sleep(o.MaxWait / 10)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acked = max(f.acked, o.AckedSequence)
	seen := endpointapi.Observation{Clock: time.Hour, StartMillis: f.startMillis}
	for run := range f.running {
		seen.Running = append(seen.Running, endpointapi.RunningRun{Run: run, Percent: 50})
	}
	for _, e := range f.ended {
		if e.Sequence > f.acked && len(seen.Ended) < f.maxListed {
			seen.Ended = append(seen.Ended, e)
		}
	}
	return seen, nil
}

func (f *fakeEndpoint) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

func (f *fakeEndpoint) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// ackedSequence returns the sequence number up to which ends may be forgotten.
func (f *fakeEndpoint) ackedSequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acked
}

// runs returns the executing runs.
func (f *fakeEndpoint) runs() map[wire.Run]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.running)
}

// fakeEntry records the reports that an agent sends.
type fakeEntry struct {
	mu      sync.Mutex
	reports map[wire.Run]wire.RunState
}

func (e *fakeEntry) send(m wire.Message) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := m.(*wire.Reports); ok {
		for _, rep := range r.Reports {
			e.reports[rep.Run] = rep.State
		}
	}
	return nil
}

func (e *fakeEntry) state(run wire.Run) wire.RunState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports[run]
}

func withExecutor(t *testing.T, f func(c *quicktest.C, x *Executor, e *fakeEndpoint, entry *fakeEntry)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		e := &fakeEndpoint{running: make(map[wire.Run]bool), maxListed: 500}
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

func sendOrder(x *Executor, stored bool, runs ...wire.Run) {
	x.Handle("entry.1", 1, &wire.Orders{StatusClockMillis: x.clockMillis(), Groups: []wire.OrderGroup{{
		Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 100, Runs: runs, Stored: stored,
	}}})
}

// sendHeartbeats keeps the entry's runs from being stopped for d.
func sendHeartbeats(x *Executor, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		x.Handle("entry.1", 1, &wire.Heartbeat{})
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against an end of a stored run that the endpoint forgets before it is recorded: a
// new owner of the job would run the task again.
func TestStoredRunEndIsKeptUntilConfirmed(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, e *fakeEndpoint, entry *fakeEntry) {
		stored, other := wire.Run{Task: "j.0.0.0", Number: 1}, wire.Run{Task: "k.0.0.0", Number: 1}
		sendOrder(x, true, stored)
		sendOrder(x, false, other)
		sendHeartbeats(x, 100*time.Millisecond)
		e.end(stored, endpointapi.EndDone)
		e.end(other, endpointapi.EndDone)
		sendHeartbeats(x, time.Second)
		c.Check(entry.state(stored), quicktest.Equals, wire.RunDone)
		c.Check(entry.state(other), quicktest.Equals, wire.RunDone)
		c.Check(e.ackedSequence(), quicktest.Equals, uint64(0))
		second := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.2", second.send)
		sendHeartbeats(x, time.Second)
		c.Check(second.state(stored), quicktest.Equals, wire.RunDone)
		x.Handle("entry.1", 1, &wire.Confirm{Runs: []wire.Run{stored}})
		sendHeartbeats(x, time.Second)
		c.Check(e.ackedSequence(), quicktest.Equals, uint64(2))
	})
}

// Guards against runs beyond the capacity, and against a run that waits at a full endpoint while
// another one has free capacity.
func TestRunBeyondCapacityIsRejected(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, e *fakeEndpoint, entry *fakeEntry) {
		run := func(name string) wire.Run { return wire.Run{Task: name + ".0.0.0", Number: 1} }
		sendOrder(x, false, run("a"), run("b"), run("c"), run("d"))
		sendOrder(x, false, run("refused"))
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(e.runs(), quicktest.HasLen, 4)
		c.Check(entry.state(run("refused")), quicktest.Equals, wire.RunRejected)
		e.end(run("a"), endpointapi.EndDone)
		sendHeartbeats(x, 200*time.Millisecond)
		sendOrder(x, false, run("next"))
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(e.runs()[run("next")], quicktest.IsTrue)
	})
}

// Guards against keeping the runs of an endpoint that restarted with the same ID: it has none
// of its earlier runs, and numbers its ends from 1 again.
func TestEndpointRestartWithSameID(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, e *fakeEndpoint, entry *fakeEntry) {
		run := wire.Run{Task: "j.0.0.0", Number: 1}
		sendOrder(x, false, run)
		sendHeartbeats(x, 100*time.Millisecond)
		e.mu.Lock()
		e.startMillis, e.running = 2, make(map[wire.Run]bool)
		e.mu.Unlock()
		sendHeartbeats(x, 300*time.Millisecond)
		c.Check(entry.state(run), quicktest.Equals, wire.RunLost)
	})
}

// Guards against late announcements that restore an older incarnation of the endpoint.
func TestOutdatedAnnouncementsAreIgnored(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, _ *fakeEndpoint, _ *fakeEntry) {
		a := endpointapi.Announcement{Profile: wire.Profile{Instance: "i-2", Capacity: wire.Resources{MilliCores: 1}}, StartMillis: 5, Sequence: 3}
		c.Check(x.Announce(a), quicktest.IsTrue)
		old := endpointapi.Announcement{Profile: wire.Profile{Instance: "i-1"}, StartMillis: 1, Sequence: 9}
		c.Check(x.Announce(old), quicktest.IsFalse)
		a.Sequence = 2
		c.Check(x.Announce(a), quicktest.IsFalse) // older than an accepted one
		a.StartMillis, a.Sequence = 6, 1
		c.Check(x.Announce(a), quicktest.IsTrue) // restarted with the same ID
	})
}

// Guards against two concurrent runs of a task: an order that was buffered while the agent was
// suspended was executed after the entry had given up the run and started the task elsewhere
// (soak seed 34).
func TestStaleOrderIsRejected(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, e *fakeEndpoint, entry *fakeEntry) {
		sendHeartbeats(x, 200*time.Millisecond)
		echo := x.clockMillis()
		fresh, stale := wire.Run{Task: "t.0.0.0", Number: 1}, wire.Run{Task: "t.0.0.1", Number: 1}
		send := func(run wire.Run) {
			x.Handle("entry.1", 1, &wire.Orders{StatusClockMillis: echo, Groups: []wire.OrderGroup{{
				Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 100, Runs: []wire.Run{run},
			}}})
		}
		sendHeartbeats(x, 500*time.Millisecond)
		send(fresh)
		sendHeartbeats(x, 200*time.Millisecond)
		send(stale)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(e.runs(), quicktest.DeepEquals, map[wire.Run]bool{fresh: true})
		c.Check(entry.state(stale), quicktest.Equals, wire.RunRejected)
	})
}

// Guards against an inherited run that is reported as lost while the lease that the earlier
// process extended is still valid: the entry started the task elsewhere (soak seed 34).
func TestInheritedRunSurvivesFirstTick(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		run := wire.Run{Task: "t.0.0.0", Number: 1}
		e := &fakeEndpoint{running: map[wire.Run]bool{run: true}, maxListed: 500}
		x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		x.Restore(endpointapi.Announcement{
			Profile: wire.Profile{Instance: "i-1", Service: "s", Capacity: wire.Resources{MilliCores: 4000}}, StartMillis: 1,
		})
		entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.1", entry.send)
		survived := false
		x.loop.Do(func() {
			// The entry claims the run before the first reply of the endpoint.
			x.clock, x.leaseEnd, x.adoptDeadline = endpointClock{}, 0, time.Now().Add(time.Second)
			delete(x.runs, run.Task)
			x.claimRun(x.entries["entry.1"], run, &wire.OrderGroup{Size: wire.Resources{MilliCores: 1000}}, time.Now())
			x.handleObservation(endpointapi.ObserveRequest{Instance: "i-1"}, time.Now(), endpointapi.Observation{
				Clock: time.Hour, Running: []endpointapi.RunningRun{{Run: run, Percent: 50}},
			}, nil)
			x.Tick(time.Now().Add(10 * time.Millisecond))
			survived = x.runs[run.Task] != nil
		})
		c.Check(survived, quicktest.IsTrue)
		c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against claimed runs that a restarted agent reports as lost because its endpoint announces itself before it answers.
func TestAnnouncementDoesNotExpireInheritedLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		run := wire.Run{Task: "t.0.0.0", Number: 1}
		e := &fakeEndpoint{running: map[wire.Run]bool{run: true}, maxListed: 500, silent: true}
		x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		a := endpointapi.Announcement{
			Profile: wire.Profile{Instance: "i-1", Service: "s", Capacity: wire.Resources{MilliCores: 4000}}, StartMillis: 1,
		}
		x.Restore(a)
		entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.1", entry.send)
		x.Handle("entry.1", 1, &wire.Claim{Groups: []wire.OrderGroup{{Size: wire.Resources{MilliCores: 1000}, Runs: []wire.Run{run}}}})
		time.Sleep(10 * time.Millisecond) // an observation without a lease is under way
		a.Sequence, a.Clock = 7, time.Hour
		x.Announce(a)
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
		e.setSilent(false)
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
		c.Check(e.runs()[run], quicktest.IsTrue)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against an agent whose endpoint stays idle until its connection to a powered-off
// entry fails, and against one that returns to that entry once its runs are stopped.
func TestSuspectEntryIsDetected(t *testing.T) {
	const timeout = 300 * time.Millisecond
	withExecutor(t, func(c *quicktest.C, x *Executor, e *fakeEndpoint, entry *fakeEntry) {
		time.Sleep(timeout + time.Millisecond)
		c.Check(x.IsSuspect("entry.1", timeout), quicktest.IsFalse) // it has no runs here
		sendOrder(x, false, wire.Run{Task: "t.0.0.0", Number: 1})
		sendHeartbeats(x, time.Second)
		c.Check(x.IsSuspect("entry.1", timeout), quicktest.IsFalse)
		time.Sleep(timeout + time.Millisecond)
		c.Check(x.IsSuspect("entry.1", timeout), quicktest.IsTrue)
		time.Sleep(time.Second)
		c.Check(e.runs(), quicktest.HasLen, 0) // stopped after EntryTimeout
		c.Check(x.IsSuspect("entry.1", timeout), quicktest.IsTrue)
		x.Handle("entry.1", 1, &wire.Heartbeat{})
		c.Check(x.IsSuspect("entry.1", timeout), quicktest.IsFalse)
	})
}

// Guards against runs that start in an evacuated data centre on the order of an entry that
// does not know of the evacuation, and against an older message that reverts it.
func TestEvacuatedDataCentreRejectsRuns(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, e *fakeEndpoint, entry *fakeEntry) {
		x.Announce(endpointapi.Announcement{
			Profile: wire.Profile{Instance: "i-1", Service: "s", DataCentre: "north", Capacity: wire.Resources{MilliCores: 4000}}, StartMillis: 2, Sequence: 1, Clock: time.Hour,
		})
		other := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.2", other.send)
		run := func(n uint32) wire.Run { return wire.Run{Task: "t.0.0.0", Number: n} }
		x.Handle("entry.2", 2, &wire.Evacuated{Version: 7, DataCentres: []string{"south"}})
		sendOrder(x, false, run(1))
		sendHeartbeats(x, 50*time.Millisecond)
		c.Check(e.runs()[run(1)], quicktest.IsTrue)
		x.Handle("entry.2", 2, &wire.Evacuated{Version: 9, DataCentres: []string{"north", "south"}})
		x.Handle("entry.2", 2, &wire.Evacuated{Version: 8})
		sendOrder(x, false, wire.Run{Task: "t.0.0.1", Number: 1})
		sendHeartbeats(x, 50*time.Millisecond)
		c.Check(e.runs(), quicktest.DeepEquals, map[wire.Run]bool{run(1): true}) // the current run continues
		c.Check(entry.state(wire.Run{Task: "t.0.0.1", Number: 1}), quicktest.Equals, wire.RunRejected)
		x.Handle("entry.2", 2, &wire.Evacuated{Version: 10})
		sendOrder(x, false, wire.Run{Task: "t.0.0.1", Number: 2})
		sendHeartbeats(x, 50*time.Millisecond)
		c.Check(e.runs()[wire.Run{Task: "t.0.0.1", Number: 2}], quicktest.IsTrue)
	})
}
