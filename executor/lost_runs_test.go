package executor

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// hookedEndpoint is a fakeEndpoint whose calls a test can replace.
type hookedEndpoint struct {
	fakeEndpoint
	hooksMu sync.Mutex
	observe func(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error)
	stop    func(ctx context.Context, o endpointapi.StopRequest) error
}

func (e *hookedEndpoint) setObserve(f func(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error)) {
	e.hooksMu.Lock()
	defer e.hooksMu.Unlock()
	e.observe = f
}

func (e *hookedEndpoint) Observe(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
	e.hooksMu.Lock()
	f := e.observe
	e.hooksMu.Unlock()
	if f != nil {
		return f(ctx, o)
	}
	return e.fakeEndpoint.Observe(ctx, o)
}

func (e *hookedEndpoint) setStop(f func(ctx context.Context, o endpointapi.StopRequest) error) {
	e.hooksMu.Lock()
	defer e.hooksMu.Unlock()
	e.stop = f
}

func (e *hookedEndpoint) Stop(ctx context.Context, o endpointapi.StopRequest) error {
	e.hooksMu.Lock()
	f := e.stop
	e.hooksMu.Unlock()
	if f != nil {
		return f(ctx, o)
	}
	return e.fakeEndpoint.Stop(ctx, o)
}

// withHookedEndpoint runs f with an executor whose adopt window has passed.
func withHookedEndpoint(t *testing.T, f func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		e := &hookedEndpoint{fakeEndpoint: fakeEndpoint{running: make(map[wire.Run]bool), maxListed: 500}}
		x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		x.Announce(announcementOfLife(1))
		entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.1", entry.send)
		sendHeartbeats(x, time.Second)
		f(quicktest.New(t), x, e, entry)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// announcementOfLife returns an announcement of the incarnation that started at the given time.
func announcementOfLife(startMillis int64) endpointapi.Announcement {
	return endpointapi.Announcement{
		Profile: wire.Profile{Instance: "i-1", Service: "s", Capacity: wire.Resources{MilliCores: 4000}}, StartMillis: startMillis, Sequence: 1, Clock: time.Hour,
	}
}

// Guards against two concurrent runs of a task: a run that had been reported as lost, but that the
// endpoint still listed, was taken for one that had ended and was not stopped.
func TestListedRunReportedAsLostIsStopped(t *testing.T) {
	withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
		run := wire.Run{Task: "t.0.0.0", Number: 1}
		sendOrder(x, false, run)
		sendHeartbeats(x, 100*time.Millisecond)
		e.setObserve(func(context.Context, endpointapi.ObserveRequest) (endpointapi.Observation, error) {
			return endpointapi.Observation{}, &endpointapi.DownError{Err: errors.New("connection refused")}
		})
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(entry.state(run), quicktest.Equals, wire.RunLost)
		e.setObserve(nil)
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(e.runs(), quicktest.HasLen, 0)
	})
}

// Guards against a late start of a run that has ended, executed by an endpoint that restarted with
// the same ID: it ran until its end, since the agent knew the run as ended.
func TestLateStartOfEndedRunIsStoppedAfterRestart(t *testing.T) {
	for name, announced := range map[string]bool{"announced": true, "seen by an observation": false} {
		t.Run(name, func(t *testing.T) {
			withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
				run, current := wire.Run{Task: "t.0.0.0", Number: 1}, wire.Run{Task: "u.0.0.0", Number: 1}
				sendOrder(x, false, run, current)
				sendHeartbeats(x, 100*time.Millisecond)
				e.end(run, endpointapi.EndDone)
				sendHeartbeats(x, 100*time.Millisecond)
				c.Check(entry.state(run), quicktest.Equals, wire.RunDone)
				e.mu.Lock()
				e.startMillis, e.running, e.ended, e.lastSequence, e.acked = 2, map[wire.Run]bool{run: true}, nil, 0, 0
				e.mu.Unlock()
				if announced {
					x.Announce(announcementOfLife(2))
				}
				sendHeartbeats(x, 300*time.Millisecond)
				c.Check(entry.state(current), quicktest.Equals, wire.RunLost)
				c.Check(e.runs(), quicktest.HasLen, 0)
			})
		})
	}
}

// Guards against two concurrent runs of a task: the runs of an endpoint that deregistered were
// reported as lost at once, but it keeps them until it ends, which takes seconds if it gets no
// response to the deregistration.
func TestRunsOfDeregisteredEndpointAreLostWhenItEnds(t *testing.T) {
	withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
		lost, done := wire.Run{Task: "t.0.0.0", Number: 1}, wire.Run{Task: "u.0.0.0", Number: 1}
		sendOrder(x, false, lost, done)
		sendHeartbeats(x, 100*time.Millisecond)
		x.Deregister("i-1")
		refused := wire.Run{Task: "v.0.0.0", Number: 1}
		sendOrder(x, false, refused)
		sendHeartbeats(x, 2*time.Second)
		c.Check(entry.state(refused), quicktest.Equals, wire.RunRejected)
		c.Check(e.runs(), quicktest.DeepEquals, map[wire.Run]bool{lost: true, done: true})
		c.Check(entry.state(lost), quicktest.Equals, wire.RunSlow) // it makes no progress here
		e.end(done, endpointapi.EndDone)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(entry.state(done), quicktest.Equals, wire.RunDone)
		e.setObserve(func(context.Context, endpointapi.ObserveRequest) (endpointapi.Observation, error) {
			return endpointapi.Observation{}, &endpointapi.DownError{Err: errors.New("connection refused")}
		})
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(entry.state(lost), quicktest.Equals, wire.RunLost)
	})
}

// Guards against two concurrent runs of a task: a run counted as stopped although it was only being
// stopped. The endpoint had answered the observation before it executed the start and the stop, and
// the reply to the stop overtook that of the observation.
func TestRunIsStoppedWhenObservedAfterStop(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		e := &hookedEndpoint{fakeEndpoint: fakeEndpoint{running: make(map[wire.Run]bool), maxListed: 500}}
		e.setObserve(func(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
			o.MaxWait = 0
			observation, err := e.fakeEndpoint.Observe(ctx, o)
			time.Sleep(12 * time.Millisecond) // the reply is late
			return observation, err
		})
		e.stop = func(ctx context.Context, o endpointapi.StopRequest) error {
			time.Sleep(9 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, func() { _ = e.fakeEndpoint.Stop(ctx, o) })
			return nil
		}
		slow := &slowStartEndpoint{hookedEndpoint: e}
		x := New(Config{Endpoint: slow, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		x.Announce(announcementOfLife(1))
		overlapped := false
		x.Connected("entry.1", func(m wire.Message) error {
			if reports, ok := m.(*wire.Reports); ok {
				for _, rep := range reports.Reports {
					over := rep.State == wire.RunStopped || rep.State == wire.RunLost
					overlapped = overlapped || over && e.runs()[rep.Run]
				}
			}
			return nil
		})
		sendHeartbeats(x, time.Second)
		other := wire.Run{Task: "u.0.0.0", Number: 1}
		sendOrder(x, false, other) // keeps the agent observing
		for phase := range 20 {
			time.Sleep(time.Duration(phase) * time.Millisecond)
			run := wire.Run{Task: taskName(phase), Number: 1}
			sendOrder(x, false, run)
			time.Sleep(time.Millisecond)
			x.Handle("entry.1", 1, &wire.Stop{Runs: []wire.Run{run}})
			sendHeartbeats(x, 300*time.Millisecond)
			c.Check(e.runs(), quicktest.DeepEquals, map[wire.Run]bool{other: true})
		}
		c.Check(overlapped, quicktest.IsFalse)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// slowStartEndpoint executes a start after 8 ms and replies 10 ms later.
type slowStartEndpoint struct{ *hookedEndpoint }

func (e *slowStartEndpoint) Start(ctx context.Context, o endpointapi.StartRequest) endpointapi.StartReply {
	time.Sleep(8 * time.Millisecond)
	reply := e.hookedEndpoint.Start(ctx, o)
	time.Sleep(10 * time.Millisecond)
	return reply
}

// Guards against a queued start that a worker sends with a token of the next incarnation after its
// run was lost: the fencing token must rise only once all queued starts are cancelled.
func TestQueuedStartsAreCancelledBeforeFenceRises(t *testing.T) {
	for name, lose := range map[string]func(x *Executor){
		"endpoint down":   func(x *Executor) { x.handleEndpointDown(errors.New("connection refused")) },
		"new incarnation": func(x *Executor) { confirmIncarnation(x, announcementOfLife(2)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			out := &logHook{}
			x := New(Config{Log: event.NewLogger(out, "agent-1"), Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
			confirmIncarnation(x, announcementOfLife(1))
			var calls []*startCall
			for i := range 3 {
				r := &run{id: wire.Run{Task: taskName(i), Number: 1}}
				x.runs[r.id.Task] = r
				x.start(r, time.Now())
				calls = append(calls, r.starts.last)
			}
			token, violations := x.fence.token(), 0
			out.check = func() {
				for _, call := range calls {
					if x.fence.token() > token && !call.cancelled.Load() {
						violations++
					}
				}
			}
			lose(x)
			c.Check(x.fence.token() > token, quicktest.IsTrue)
			c.Check(violations, quicktest.Equals, 0)
		})
	}
}

// confirmIncarnation makes x process a as confirmed by the endpoint.
func confirmIncarnation(x *Executor, a endpointapi.Announcement) {
	x.handleIncarnationReply(a, endpointapi.Observation{Clock: a.Clock, StartMillis: a.StartMillis}, nil, time.Now())
}

// logHook calls check at each log line.
type logHook struct{ check func() }

func (h *logHook) Write(b []byte) (int, error) {
	if h.check != nil {
		h.check()
	}
	return len(b), nil
}

// Guards against two concurrent runs of a task: a starting agent reported a run as lost that its
// entry stopped, before it knew the endpoint on which an earlier process had started the run.
func TestStopBeforeEndpointIsKnown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		run := wire.Run{Task: "t.0.0.0", Number: 1}
		e := &hookedEndpoint{fakeEndpoint: fakeEndpoint{running: map[wire.Run]bool{run: true}, maxListed: 500}}
		x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.1", entry.send)
		x.Handle("entry.1", 1, &wire.Claim{Groups: []wire.OrderGroup{{Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 100, Runs: []wire.Run{run}}}})
		x.Handle("entry.1", 1, &wire.Stop{Runs: []wire.Run{run}})
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(entry.state(run), quicktest.Equals, wire.RunState(0))
		x.Announce(announcementOfLife(1))
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(entry.state(run), quicktest.Equals, wire.RunStopped)
		c.Check(e.runs(), quicktest.HasLen, 0)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against runs that count as running for good, and an endpoint that gets no runs, after it
// restarted while its time of day had jumped back: its start time is then before the known one.
func TestEndpointRestartWithEarlierStartTime(t *testing.T) {
	withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
		c.Check(x.Announce(announcementOfLife(5000)), quicktest.IsTrue)
		e.mu.Lock()
		e.startMillis = 5000
		e.mu.Unlock()
		sendHeartbeats(x, 100*time.Millisecond)
		lost, next := wire.Run{Task: "t.0.0.0", Number: 1}, wire.Run{Task: "u.0.0.0", Number: 1}
		sendOrder(x, false, lost)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(x.Announce(announcementOfLife(3000)), quicktest.IsFalse) // may be a delayed one
		e.mu.Lock()
		e.startMillis, e.running = 3000, make(map[wire.Run]bool)
		e.mu.Unlock()
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(entry.state(lost), quicktest.Equals, wire.RunLost)
		c.Check(x.Announce(announcementOfLife(3000)), quicktest.IsTrue)
		sendHeartbeats(x, 100*time.Millisecond)
		sendOrder(x, false, next)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(e.runs(), quicktest.DeepEquals, map[wire.Run]bool{next: true})
		c.Check(x.Announce(announcementOfLife(2000)), quicktest.IsFalse)
	})
}

// Guards against two concurrent runs of a task: an announcement of an incarnation that had ended, but
// that seemed to be newer since the time of day had jumped back, made the agent report the runs of
// the current one as lost.
func TestDelayedAnnouncementDoesNotLoseRuns(t *testing.T) {
	for name, instance := range map[string]string{"same id": "i-1", "other id": "i-0"} {
		t.Run(name, func(t *testing.T) {
			withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
				e.mu.Lock()
				e.startMillis = 1
				e.mu.Unlock()
				run, next := wire.Run{Task: "t.0.0.0", Number: 1}, wire.Run{Task: "u.0.0.0", Number: 1}
				sendOrder(x, false, run)
				sendHeartbeats(x, 100*time.Millisecond)
				delayed := announcementOfLife(2)
				delayed.Profile.Instance = instance
				x.Announce(delayed)
				sendHeartbeats(x, 100*time.Millisecond)
				c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
				sendOrder(x, false, next)
				sendHeartbeats(x, 100*time.Millisecond)
				c.Check(e.runs(), quicktest.DeepEquals, map[wire.Run]bool{run: true, next: true})
			})
		})
	}
}

// Guards against an agent that waits for another announcement when an observation shows that the
// announced incarnation has replaced the known one.
func TestNewIncarnationIsTakenOnceTheKnownOneHasEnded(t *testing.T) {
	for name, err := range map[string]error{
		"refused": &endpointapi.DownError{Err: errors.New("connection refused")}, "other instance": &endpointapi.OtherInstanceError{Instance: "i-2"},
	} {
		t.Run(name, func(t *testing.T) {
			withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
				run, next := wire.Run{Task: "t.0.0.0", Number: 1}, wire.Run{Task: "u.0.0.0", Number: 1}
				sendOrder(x, false, run)
				sendHeartbeats(x, 100*time.Millisecond)
				e.mu.Lock()
				e.running, e.startMillis = make(map[wire.Run]bool), 2
				e.mu.Unlock()
				e.setObserve(func(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
					if o.Instance != "i-2" {
						return endpointapi.Observation{}, err
					}
					return e.fakeEndpoint.Observe(ctx, o)
				})
				a := announcementOfLife(2)
				a.Profile.Instance = "i-2"
				x.Announce(a)
				sendHeartbeats(x, 50*time.Millisecond)
				c.Check(entry.state(run), quicktest.Equals, wire.RunLost)
				sendOrder(x, false, next)
				sendHeartbeats(x, 50*time.Millisecond)
				c.Check(e.runs(), quicktest.DeepEquals, map[wire.Run]bool{next: true})
			})
		})
	}
}

// Guards against an endpoint that gets no runs after another instance with an earlier start time has
// taken its place.
func TestOtherInstanceWithEarlierStartTime(t *testing.T) {
	withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
		x.Announce(announcementOfLife(5000))
		e.setObserve(func(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
			if o.Instance != "i-2" {
				return endpointapi.Observation{}, &endpointapi.OtherInstanceError{Instance: "i-2"}
			}
			return e.fakeEndpoint.Observe(ctx, o)
		})
		other := announcementOfLife(3000)
		other.Profile.Instance = "i-2"
		run := wire.Run{Task: "t.0.0.0", Number: 1}
		sendOrder(x, false, run)
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(entry.state(run), quicktest.Equals, wire.RunLost)
		c.Check(x.Announce(other), quicktest.IsTrue)
	})
}

// Guards against two concurrent runs of a task: a starting agent restored the announcement of an
// incarnation that had ended, since that of the next one was never saved, and reported the claimed
// runs of the next one as lost.
func TestStaleRestoredAnnouncementKeepsRuns(t *testing.T) {
	for name, tc := range map[string]struct {
		instance string        // of the endpoint; the restored one is i-1
		announce time.Duration // time until the endpoint announces itself
	}{
		"restarted with the same id, observed first":  {"i-1", 100 * time.Millisecond},
		"restarted with the same id, announced first": {"i-1", 0},
		"other instance, observed first":              {"i-2", 100 * time.Millisecond},
		"other instance, announced first":             {"i-2", 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				run := wire.Run{Task: "t.0.0.0", Number: 1}
				e := &hookedEndpoint{fakeEndpoint: fakeEndpoint{running: map[wire.Run]bool{run: true}, maxListed: 500, startMillis: 9}}
				e.setObserve(func(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
					if tc.announce == 0 {
						time.Sleep(5 * time.Millisecond)
					}
					if o.Instance != tc.instance {
						return endpointapi.Observation{}, &endpointapi.OtherInstanceError{Instance: tc.instance}
					}
					return e.fakeEndpoint.Observe(ctx, o)
				})
				x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
				go x.Run(ctx)
				x.Restore(announcementOfLife(1))
				entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
				x.Connected("entry.1", entry.send)
				x.Handle("entry.1", 1, &wire.Claim{Groups: []wire.OrderGroup{{Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 10000, Runs: []wire.Run{run}}}})
				sendHeartbeats(x, tc.announce)
				c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
				a := announcementOfLife(9)
				a.Profile.Instance = tc.instance
				x.Announce(a)
				sendHeartbeats(x, 600*time.Millisecond)
				c.Check(entry.state(run), quicktest.Equals, wire.RunStarted)
				c.Check(e.runs(), quicktest.HasLen, 1)
				e.end(run, endpointapi.EndDone)
				sendHeartbeats(x, 100*time.Millisecond)
				c.Check(entry.state(run), quicktest.Equals, wire.RunDone)
				cancel()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}

// Guards against a claimed run that is reported as slow, and moved, at once: its estimate was lost.
func TestClaimedRunKeepsEstimate(t *testing.T) {
	withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
		run := wire.Run{Task: "t.0.0.0", Number: 1}
		x.loop.Do(func() {
			x.adoptDeadline = time.Now().Add(time.Second)
			x.claimRun(x.entries["entry.1"], run, &wire.OrderGroup{Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 10000}, time.Now())
		})
		e.mu.Lock()
		e.running[run] = true
		e.mu.Unlock()
		sendHeartbeats(x, 600*time.Millisecond)
		c.Check(entry.state(run), quicktest.Equals, wire.RunStarted)
	})
}

// Guards against claimed runs that are never reported: the endpoint does not announce itself, and the
// restored announcement is stale or the endpoint does not answer.
func TestClaimedRunsOfUnknownEndpointAreLost(t *testing.T) {
	for name, answers := range map[string]bool{"stale announcement": true, "no answer": false} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				run := wire.Run{Task: "t.0.0.0", Number: 1}
				e := &hookedEndpoint{fakeEndpoint: fakeEndpoint{running: make(map[wire.Run]bool), maxListed: 500, startMillis: 9}}
				if !answers {
					e.setObserve(func(ctx context.Context, _ endpointapi.ObserveRequest) (endpointapi.Observation, error) {
						<-ctx.Done()
						return endpointapi.Observation{}, ctx.Err()
					})
				}
				x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
				go x.Run(ctx)
				x.Restore(announcementOfLife(1))
				entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
				x.Connected("entry.1", entry.send)
				x.Handle("entry.1", 1, &wire.Claim{Groups: []wire.OrderGroup{{Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 100, Runs: []wire.Run{run}}}})
				sendHeartbeats(x, 700*time.Millisecond) // the lease of the earlier process
				c.Check(entry.state(run), quicktest.Equals, wire.RunState(0))
				sendHeartbeats(x, 300*time.Millisecond)
				c.Check(entry.state(run), quicktest.Equals, wire.RunLost)
				cancel()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
