package router

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// fakeRunner runs each job for the estimate of its first step.
type fakeRunner struct {
	mu        sync.Mutex
	capacity  uint64
	labels    []string
	full      bool   // refuse all jobs
	returnTo  string // entry for which the refused jobs are returned; empty if they are not
	submitted []job.Submission
	cancelled int
	evacuated wire.Evacuated
}

func (f *fakeRunner) ServiceLoads() []wire.ServiceLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.capacity == 0 {
		return nil
	}
	return []wire.ServiceLoad{{Service: "s", Capacity: f.capacity}}
}

func (f *fakeRunner) setCapacity(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = n
}

func (f *fakeRunner) Labels() []wire.ServiceLabels {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.labels) == 0 {
		return nil
	}
	return []wire.ServiceLabels{{Service: "s", Labels: f.labels}}
}

func (f *fakeRunner) SetPeers(*policy.Peers) {}

func (f *fakeRunner) SetEvacuated(m wire.Evacuated) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = m
}

func (f *fakeRunner) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	f.mu.Lock()
	f.submitted = append(f.submitted, s)
	full := f.full
	f.mu.Unlock()
	if full {
		err := errkind.New(errkind.QueueFull, "full")
		err.RetryAfter = 3 * time.Second
		if f.returnTo != "" {
			err.Err = &job.Returned{To: f.returnTo}
		}
		return "", err
	}
	select {
	case <-time.After(s.Steps[0].Estimate):
		return job.Completed, nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelled++
		return "", errkind.New(errkind.CancelledRunning, "the caller disconnected")
	}
}

func (f *fakeRunner) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.submitted)
}

// testEntry is an entry with a fake runner.
type testEntry struct {
	*Router
	runner *fakeRunner
	// stripEcho makes it forward as a version does that returns no clock.
	stripEcho bool
}

func newTestEntry(ctx context.Context, capacity uint64) *testEntry {
	n := &testEntry{runner: &fakeRunner{capacity: capacity}}
	n.Router = New(Config{Local: n.runner, Region: "r", Metrics: NewMetrics(prometheus.NewRegistry())})
	n.SetEnabled(true)
	go n.Run(ctx)
	return n
}

var errDisconnected = errors.New("cut")

// testLink is the connection between two entries.
type testLink struct {
	mu       sync.Mutex
	dropping bool
	held     chan struct{} // closed when delivery continues; nil while it is not held up
}

// drop makes the connection drop all further messages.
func (l *testLink) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropping = true
}

// hold holds up the messages until release, as they are while the receiver is frozen.
func (l *testLink) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = make(chan struct{})
}

func (l *testLink) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.held)
	l.held = nil
}

// accept waits while messages are held up, and reports whether the next one is delivered.
func (l *testLink) accept(ctx context.Context) bool {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.dropping
}

// connect connects from, which forwards jobs, to the entry to.
func connect(ctx context.Context, from, to *testEntry, name string) *testLink {
	l := new(testLink)
	forward, back := make(chan wire.Message, 100), make(chan wire.Message, 100)
	send := func(c chan wire.Message) Sender {
		return func(m wire.Message) error {
			select {
			case c <- m:
				return nil
			default:
				return errDisconnected
			}
		}
	}
	deliver := func(c chan wire.Message, handle func(wire.Message)) {
		for {
			select {
			case m := <-c:
				if l.accept(ctx) {
					handle(m)
				}
			case <-ctx.Done():
				return
			}
		}
	}
	toConnection := from.Connected(name, "r", send(forward))
	fromConnection := to.ForwarderConnected("from", send(back))
	go deliver(forward, func(m wire.Message) {
		if from.stripEcho {
			m = withoutEcho(m)
		}
		to.HandleForwarder(fromConnection, m)
	})
	go deliver(back, func(m wire.Message) { from.Handle(toConnection, m) })
	return l
}

func withoutEcho(m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Place:
		return &wire.Place{Number: m.Number, Job: m.Job}
	case *wire.Heartbeat:
		return &wire.Heartbeat{}
	}
	return m
}

func submission(id string, estimate time.Duration) job.Submission {
	return job.Submission{
		ID: id, Queue: job.Queue{Name: "q", Service: "s", Stretch: 1.6, TargetLatency: 60 * time.Millisecond}, Ephemeral: true,
		Steps: []job.Step{{Count: 2, Size: wire.Resources{MilliCores: 1000}, Estimate: estimate}},
	}
}

// inBubble runs f in a bubble with a fake clock and an entry that has no endpoints of its own.
func inBubble(t *testing.T, f func(ctx context.Context, c *qt.C, front *testEntry)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f(ctx, qt.New(t), newTestEntry(ctx, 0))
		stop()
		synctest.Wait()
	})
}

// Guards against jobs that are refused although an entry other than the first one tried has
// free capacity.
func TestRefusedJobIsRetriedOnce(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a, b := newTestEntry(ctx, 1000), newTestEntry(ctx, 1000)
		a.runner.full = true
		connect(ctx, front, a, "a")
		connect(ctx, front, b, "b")
		synctest.Wait()
		for i := range 20 {
			state, err := front.Submit(ctx, submission(fmt.Sprintf("j%d", i), 100*time.Millisecond))
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			c.Check(state, qt.Equals, job.Completed)
		}
		c.Check(a.runner.count() > 0, qt.IsTrue)
		c.Check(b.runner.count(), qt.Equals, 20)
		b.runner.full = true
		before := a.runner.count() + b.runner.count()
		_, err := front.Submit(ctx, submission("j", 100*time.Millisecond))
		c.Assert(err != nil, qt.IsTrue)
		c.Check(err.Kind, qt.Equals, errkind.QueueFull)
		c.Check(err.RetryAfter, qt.Equals, 3*time.Second)
		c.Check(a.runner.count()+b.runner.count()-before, qt.Equals, 2) // one attempt at each entry
	})
}

// Guards against jobs that run on after their caller has disconnected.
func TestJobOfDisconnectedCallerIsCancelled(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a := newTestEntry(ctx, 1000)
		connect(ctx, front, a, "a")
		synctest.Wait()
		caller, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := front.Submit(caller, submission("j", time.Second))
		c.Check(err.Kind, qt.Equals, errkind.CancelledRunning)
		synctest.Wait()
		c.Check(a.runner.cancelled, qt.Equals, 1)
	})
}

// Guards against callers that wait for an entry that has failed, and against concurrent runs of
// a job after its caller has resubmitted it. Both sides of a connection without messages must give
// up its jobs before a caller resubmits them.
func TestJobsOfUnresponsivePeerAreGivenUp(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a := newTestEntry(ctx, 1000)
		link := connect(ctx, front, a, "a")
		synctest.Wait()
		time.AfterFunc(200*time.Millisecond, link.drop)
		begun := time.Now()
		_, err := front.Submit(ctx, submission("j", 5*time.Second))
		took := time.Since(begun) - 200*time.Millisecond
		c.Check(err.Kind, qt.Equals, errkind.HomeLost)
		c.Check(err.Answer().Status, qt.Equals, 502)
		c.Check(took >= PeerTimeout-maxLoadInterval-2*checkInterval && took <= PeerTimeout+2*checkInterval, qt.IsTrue, qt.Commentf("given up after %v", took))
		time.Sleep(time.Until(begun.Add(200*time.Millisecond + PeerTimeout + 2*checkInterval)))
		synctest.Wait()
		c.Check(a.runner.cancelled, qt.Equals, 1)
	})
}

// Guards against jobs that are forwarded to a failed entry between its last message and
// PeerTimeout.
func TestSuspectEntryGetsNoJobs(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a, b := newTestEntry(ctx, 1000), newTestEntry(ctx, 1000)
		link := connect(ctx, front, a, "a")
		connect(ctx, front, b, "b")
		time.Sleep(time.Second)
		link.drop()
		time.Sleep(SuspectTimeout + time.Millisecond)
		for range 20 {
			_, err := front.Submit(ctx, submission("j", time.Millisecond))
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		}
		c.Check(b.runner.count(), qt.Equals, 20)
	})
}

// Guards against jobs that are given up because their entry, which is running, has nothing to send.
func TestHeartbeatsKeepLongJobRunning(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a := newTestEntry(ctx, 1000)
		connect(ctx, front, a, "a")
		synctest.Wait()
		state, err := front.Submit(ctx, submission("j", 5*time.Second))
		c.Check(err == nil, qt.IsTrue)
		c.Check(state, qt.Equals, job.Completed)
	})
}

// Guards against refusals while a restarted entry is connecting, and against callers that wait
// too long when no placement entry connects.
func TestJobWaitsForPlacementEntry(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a := newTestEntry(ctx, 1000)
		time.AfterFunc(40*time.Millisecond, func() { connect(ctx, front, a, "a") })
		begun := time.Now()
		state, err := front.Submit(ctx, submission("j", 200*time.Millisecond))
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		c.Check(state, qt.Equals, job.Completed)
		c.Check(time.Since(begun) < 250*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		c.Check(a.runner.submitted[0].Elapsed >= 40*time.Millisecond, qt.IsTrue) // the wait counts towards the latency objective

		unconnected := newTestEntry(ctx, 0)
		begun = time.Now()
		_, err = unconnected.Submit(ctx, submission("j", 200*time.Millisecond))
		c.Check(err.Kind, qt.Equals, errkind.NoEndpoint)
		c.Check(time.Since(begun), qt.Equals, 95*time.Millisecond) // a quarter of the objective
	})
}

// Guards against jobs that are forwarded to a draining entry, and against refusals of the jobs of
// its own callers.
func TestDrainingEntryGetsNoJobs(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a, b := newTestEntry(ctx, 1000), newTestEntry(ctx, 1000)
		connect(ctx, front, a, "a")
		connect(ctx, front, b, "b")
		connect(ctx, a, b, "b")
		synctest.Wait()
		a.StartDraining()
		synctest.Wait()
		for range 10 {
			_, err := front.Submit(ctx, submission("j", 10*time.Millisecond))
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			_, err = a.Submit(ctx, submission("j", 10*time.Millisecond))
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		}
		c.Check(a.runner.count(), qt.Equals, 0)
		c.Check(b.runner.count(), qt.Equals, 20)
	})
}

// Guards against refusals of jobs with a label that only endpoints of another placement entry
// have, and against tasks that run in another rack than their data.
func TestJobIsForwardedToEntryWithItsLabel(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a, b := newTestEntry(ctx, 9000), newTestEntry(ctx, 1000)
		a.runner.labels, b.runner.labels = []string{"kind-a", "r1"}, []string{"kind-a", "kind-b", "r2"}
		connect(ctx, front, a, "a")
		connect(ctx, front, b, "b")
		synctest.Wait()
		for range 20 {
			s := submission("j", 10*time.Millisecond)
			s.Steps[0].Label = "kind-b"
			_, err := front.Submit(ctx, s)
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			s.Steps[0].Label, s.Steps[0].DataRack = "kind-a", "r2"
			_, err = front.Submit(ctx, s)
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		}
		c.Check(a.runner.count(), qt.Equals, 0)
		c.Check(b.runner.count(), qt.Equals, 40)
		s := submission("j", 10*time.Millisecond)
		s.Steps[0].Label = "kind-c"
		begun := time.Now()
		_, err := front.Submit(ctx, s)
		c.Check(err.Kind, qt.Equals, errkind.NoEndpoint)
		c.Check(time.Since(begun), qt.Equals, time.Duration(0)) // refused without a wait
	})
}

// Guards against entries of a small deployment that forward jobs.
func TestDisabledRouterPlacesJobsLocally(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a := newTestEntry(ctx, 1000)
		connect(ctx, front, a, "a")
		front.SetEnabled(false)
		_, err := front.Submit(ctx, submission("j", 10*time.Millisecond))
		c.Check(err == nil, qt.IsTrue)
		c.Check(front.runner.count(), qt.Equals, 1)
	})
}

// Guards against a placement entry that starts tasks in an evacuated data centre because it
// cannot read the store. Entries that forward jobs send it the list, also when they connect
// later.
func TestPlacementEntriesLearnEvacuatedDataCentres(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a, b := newTestEntry(ctx, 1000), newTestEntry(ctx, 1000)
		connect(ctx, front, a, "a")
		front.SetEvacuated(wire.Evacuated{Version: 4, DataCentres: []string{"north"}})
		connect(ctx, front, b, "b")
		synctest.Wait()
		for _, n := range []*testEntry{front, a, b} {
			c.Check(n.runner.evacuated.DataCentres, qt.DeepEquals, []string{"north"})
		}
	})
}

// Guards against a placement entry that ends because of a forwarded job that no entry has
// validated.
func TestMalformedForwardedJobIsRefused(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, _ *testEntry) {
		place := newTestEntry(ctx, 8000)
		results := make(chan *wire.PlaceResult, 10)
		connection := place.ForwarderConnected("from", func(m wire.Message) error {
			if r, ok := m.(*wire.PlaceResult); ok {
				results <- r
			}
			return nil
		})
		valid, err := cbor.Marshal(submission("valid", time.Millisecond))
		c.Assert(err, qt.IsNil)
		bodies := [][]byte{nil, {0xff}, {0xf6}, []byte(strings.Repeat("\x81", 100_000) + "\x01")}
		for _, change := range []func(s *job.Submission){
			func(s *job.Submission) { s.Steps = nil },
			func(s *job.Submission) { s.Steps[0].Count = -1 },
			func(s *job.Submission) { s.Steps[0].Count = math.MaxInt },
			func(s *job.Submission) { s.Steps[0].After = []int{7} },
			func(s *job.Submission) { s.Steps[0].Estimate = math.MaxInt64 },
		} {
			s := submission("malformed", time.Millisecond)
			change(&s)
			b, err := cbor.Marshal(s)
			c.Assert(err, qt.IsNil)
			bodies = append(bodies, b)
		}
		for i, b := range bodies {
			c.Check(place.HandleForwarder(connection, &wire.Place{Number: uint64(i + 1), Job: b}), qt.IsTrue)
			c.Check((<-results).Kind, qt.Equals, string(errkind.InvalidRequest), qt.Commentf("job %d", i))
		}
		c.Check(place.HandleForwarder(connection, &wire.Place{Number: 100, Job: valid}), qt.IsTrue)
		c.Check((<-results).Kind, qt.Equals, "")
	})
}
