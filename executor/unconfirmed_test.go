package executor

import (
	"context"
	"fmt"
	"io"
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

// Guards against tasks that run twice because their ends were dropped while no entry could
// record them: stored runs must be rejected before that. With half of the store's replies lost
// for 5 s, 41 tasks were done twice.
func TestUnconfirmedBacklogRejectsStoredRuns(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	x := New(Config{Log: event.NewLogger(io.Discard, "agent-1")})
	x.profile = &wire.Profile{Instance: "i", Capacity: wire.Resources{MilliCores: 1000}}
	x.clock.set(time.Second, now)
	first := wire.Run{Task: "j.0.0.0", Number: 1}
	end := func(run wire.Run, sequence uint64) {
		x.lastEndSequence = sequence
		x.retainEnd(endpointapi.EndedRun{Run: run, Sequence: sequence, End: endpointapi.EndDone}, now)
	}
	end(first, 1)
	x.lastEndSequence = backlogRejectThreshold
	x.checkBacklog(now)
	stored, other := &wire.OrderGroup{Stored: true}, &wire.OrderGroup{}
	next := wire.Run{Task: "k.0.0.0", Number: 1}
	c.Check(x.orderRejection(next, stored), quicktest.Equals, wire.RejectReason(0))
	x.lastEndSequence++
	x.checkBacklog(now)
	c.Check(x.orderRejection(next, stored), quicktest.Equals, wire.RejectBacklogFull)
	c.Check(x.status(&entry{}).RejectsStoredRuns, quicktest.IsTrue)
	c.Check(x.orderRejection(next, other), quicktest.Equals, wire.RejectReason(0)) // needs no confirmation

	// Runs accepted until then still end, and the unconfirmed end is kept.
	x.lastEndSequence = maxListedEnds
	x.releaseUnconfirmed(now.Add(time.Hour))
	c.Check(x.unconfirmed, quicktest.HasLen, 1)
	c.Check(x.ackableSequence(), quicktest.Equals, uint64(0))

	x.statusDirty = false
	x.confirmEnds("entry-1", []wire.Run{first})
	c.Check(x.orderRejection(next, stored), quicktest.Equals, wire.RejectReason(0))
	c.Check(x.statusDirty, quicktest.IsTrue)
	c.Check(x.ackableSequence(), quicktest.Equals, uint64(maxListedEnds))
}

// leaseRecorder is a fakeEndpoint that records whether it had to forget its first end before a
// lease had lapsed since that end was listed.
type leaseRecorder struct {
	fakeEndpoint
	leaseMu           sync.Mutex
	leaseEnd          time.Time
	listed, lapsed    bool // the first end was listed; a lease has lapsed since
	forgottenTooEarly bool
}

func (e *leaseRecorder) Start(ctx context.Context, o endpointapi.StartRequest) endpointapi.StartReply {
	e.extend(o.LeaseEnd)
	return e.fakeEndpoint.Start(ctx, o)
}

func (e *leaseRecorder) Observe(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
	e.extend(o.LeaseEnd)
	e.leaseMu.Lock()
	e.forgottenTooEarly = e.forgottenTooEarly || o.AckedSequence > 0 && !e.lapsed
	e.leaseMu.Unlock()
	obs, err := e.fakeEndpoint.Observe(ctx, o)
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	e.listed = e.listed || len(obs.Ended) > 0
	return obs, err
}

// extend extends the lease to a time on the endpoint's clock, which always reads an hour.
func (e *leaseRecorder) extend(end time.Duration) {
	if end == 0 {
		return
	}
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	e.lapsed = e.lapsed || e.listed && time.Now().After(e.leaseEnd)
	e.leaseEnd = time.Now().Add(end - time.Hour)
}

func (e *leaseRecorder) hasForgottenTooEarly() bool {
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	return e.forgottenTooEarly
}

// withUnrecordedEnd runs f with an executor at which a stored run has ended that nobody confirms.
func withUnrecordedEnd(t *testing.T, f func(c *quicktest.C, x *Executor, e *leaseRecorder, entry *fakeEntry, unrecorded wire.Run)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		e := &leaseRecorder{fakeEndpoint: fakeEndpoint{running: make(map[wire.Run]bool), maxListed: maxListedEnds}}
		x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		x.Announce(announcementOfLife(1))
		entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.1", entry.send)
		sendHeartbeats(x, time.Second)
		unrecorded := wire.Run{Task: "stored.0.0.0", Number: 1}
		sendOrder(x, true, unrecorded)
		sendHeartbeats(x, 100*time.Millisecond)
		e.end(unrecorded, endpointapi.EndDone)
		f(quicktest.New(t), x, e, entry, unrecorded)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// runUntilTaken orders an ephemeral run until the executor takes it, and ends it. It returns how
// often the run was rejected.
func runUntilTaken(x *Executor, e *leaseRecorder, entry *fakeEntry, task string) (last wire.Run, rejections int) {
	for n := uint32(1); ; n++ {
		last = wire.Run{Task: task, Number: n}
		sendOrder(x, false, last)
		time.Sleep(12 * time.Millisecond)
		x.Handle("entry.1", 1, &wire.Heartbeat{})
		if entry.state(last) != wire.RunRejected {
			e.end(last, endpointapi.EndDone)
			time.Sleep(12 * time.Millisecond)
			return last, rejections
		}
		rejections++
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against an end of a stored run that the endpoint is told to forget although no entry has
// recorded it and the lease goes on (review case 1), and against later ends that are hidden by the
// kept one: the endpoint lists only its oldest 500, so the runs of others counted as lost.
func TestUnrecordedEndIsForgottenOnlyAfterLeaseLapse(t *testing.T) {
	withUnrecordedEnd(t, func(c *quicktest.C, x *Executor, e *leaseRecorder, entry *fakeEntry, unrecorded wire.Run) {
		rejections := 0
		for i := range maxListedEnds + 50 {
			run, n := runUntilTaken(x, e, entry, fmt.Sprintf("k.0.0.%d", i))
			sendHeartbeats(x, 50*time.Millisecond)
			c.Assert(entry.state(run), quicktest.Equals, wire.RunDone, quicktest.Commentf("run %d", i))
			rejections += n
		}
		c.Check(rejections > 0, quicktest.IsTrue)
		c.Check(e.ackedSequence() >= maxListedEnds, quicktest.IsTrue)
		c.Check(e.hasForgottenTooEarly(), quicktest.IsFalse)
		second := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.2", second.send)
		sendHeartbeats(x, time.Second)
		c.Check(second.state(unrecorded), quicktest.Equals, wire.RunDone) // the agent still knows it
	})
}

// Guards against an end of a stored run that is dropped because of its age (review case 1): an
// outage of the store can last longer than any fixed time.
func TestUnrecordedEndIsKeptHoweverOld(t *testing.T) {
	withUnrecordedEnd(t, func(c *quicktest.C, x *Executor, e *leaseRecorder, entry *fakeEntry, unrecorded wire.Run) {
		sendHeartbeats(x, 10*time.Minute)
		c.Check(e.ackedSequence(), quicktest.Equals, uint64(0))
		x.Handle("entry.1", 1, &wire.Confirm{Runs: []wire.Run{unrecorded}})
		sendHeartbeats(x, time.Second)
		c.Check(e.ackedSequence(), quicktest.Equals, uint64(1))
	})
}

// Guards against an end of a stored run that its agent forgets when the endpoint restarts before
// the end is recorded: the next owner of the job would run the task again.
func TestUnrecordedEndOutlivesEndpointRestart(t *testing.T) {
	withUnrecordedEnd(t, func(c *quicktest.C, x *Executor, e *leaseRecorder, entry *fakeEntry, unrecorded wire.Run) {
		sendHeartbeats(x, 200*time.Millisecond)
		e.mu.Lock()
		e.ended, e.lastSequence, e.acked, e.startMillis = nil, 0, 0, 2 // the next incarnation knows no ends
		e.mu.Unlock()
		x.Announce(announcementOfLife(2))
		sendHeartbeats(x, time.Second)
		second := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.2", second.send)
		sendHeartbeats(x, time.Second)
		c.Check(second.state(unrecorded), quicktest.Equals, wire.RunDone)
	})
}
