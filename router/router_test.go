package router

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// fakeJobs runs jobs for the time of their first step.
type fakeJobs struct {
	mu        sync.Mutex
	capacity  uint64
	labels    []string
	full      bool // refuses all jobs
	got       []job.Submission
	cancelled int
	emptied   wire.Evacuated
}

func (f *fakeJobs) Rooms() []wire.ServiceLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.capacity == 0 {
		return nil
	}
	return []wire.ServiceLoad{{Service: "s", Capacity: f.capacity}}
}

func (f *fakeJobs) Labels() []wire.ServiceLabels {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.labels) == 0 {
		return nil
	}
	return []wire.ServiceLabels{{Service: "s", Labels: f.labels}}
}

func (f *fakeJobs) SetEmptied(m wire.Evacuated) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emptied = m
}

func (f *fakeJobs) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	f.mu.Lock()
	f.got = append(f.got, s)
	full := f.full
	f.mu.Unlock()
	if full {
		err := errkind.New(errkind.QueueFull, "full")
		err.RetryAfter = 3 * time.Second
		return "", err
	}
	select {
	case <-time.After(s.Steps[0].Estimate):
		return job.Completed, nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelled++
		return "", errkind.New(errkind.CancelledRunning, "the caller has gone")
	}
}

func (f *fakeJobs) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.got)
}

// node is an entry of a test.
type node struct {
	*Router
	jobs *fakeJobs
}

func newNode(ctx context.Context, capacity uint64) *node {
	n := &node{jobs: &fakeJobs{capacity: capacity}}
	n.Router = New(Config{Local: n.jobs, Region: "r", Metrics: NewMetrics(prometheus.NewRegistry())})
	n.Enable(true)
	go n.Run(ctx)
	return n
}

var errCut = errors.New("cut")

// wireUp connects from, which passes jobs on, with to. The returned function makes the
// connection silent.
func wireUp(ctx context.Context, from, to *node, name string) (silence func()) {
	var mu sync.Mutex
	silent := false
	toward, back := make(chan wire.Message, 100), make(chan wire.Message, 100)
	send := func(c chan wire.Message) Sender {
		return func(m wire.Message) error {
			select {
			case c <- m:
				return nil
			default:
				return errCut
			}
		}
	}
	deliver := func(c chan wire.Message, handle func(wire.Message)) {
		for {
			select {
			case m := <-c:
				mu.Lock()
				s := silent
				mu.Unlock()
				if !s {
					handle(m)
				}
			case <-ctx.Done():
				return
			}
		}
	}
	placer := from.Connected(name, "r", send(toward))
	client := to.ClientConnected("from", send(back))
	go deliver(toward, func(m wire.Message) { to.HandleClient(client, m) })
	go deliver(back, func(m wire.Message) { from.Handle(placer, m) })
	return func() {
		mu.Lock()
		defer mu.Unlock()
		silent = true
	}
}

func submission(id string, runs time.Duration) job.Submission {
	return job.Submission{
		ID: id, Queue: job.Queue{Name: "q", Service: "s", Stretch: 1.6, TargetLatency: 60 * time.Millisecond}, Ephemeral: true,
		Steps: []job.Step{{Count: 2, Size: wire.Resources{MilliCores: 1000}, Estimate: runs}},
	}
}

// inBubble runs f with an entry that has no endpoints of its own.
func inBubble(t *testing.T, f func(ctx context.Context, c *qt.C, front *node)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f(ctx, qt.New(t), newNode(ctx, 0))
		stop()
		synctest.Wait()
	})
}

// Guards against jobs that are refused although another entry than the first has room.
func TestRefusedJobIsTriedOnceMore(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a, b := newNode(ctx, 1000), newNode(ctx, 1000)
		a.jobs.full = true
		wireUp(ctx, front, a, "a")
		wireUp(ctx, front, b, "b")
		synctest.Wait()
		for range 20 {
			state, err := front.Submit(ctx, submission("j", 100*time.Millisecond))
			c.Assert(err == nil, qt.IsTrue)
			c.Check(state, qt.Equals, job.Completed)
		}
		c.Check(a.jobs.count() > 0, qt.IsTrue)
		c.Check(b.jobs.count(), qt.Equals, 20)
		b.jobs.full = true
		before := a.jobs.count() + b.jobs.count()
		_, err := front.Submit(ctx, submission("j", 100*time.Millisecond))
		c.Assert(err != nil, qt.IsTrue)
		c.Check(err.Kind, qt.Equals, errkind.QueueFull)
		c.Check(err.RetryAfter, qt.Equals, 3*time.Second)
		c.Check(a.jobs.count()+b.jobs.count()-before, qt.Equals, 2) // not more often
	})
}

// Guards against work for callers that have gone.
func TestWithdrawnJobIsStopped(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a := newNode(ctx, 1000)
		wireUp(ctx, front, a, "a")
		synctest.Wait()
		caller, gone := context.WithTimeout(ctx, 50*time.Millisecond)
		defer gone()
		_, err := front.Submit(caller, submission("j", time.Second))
		c.Check(err.Kind, qt.Equals, errkind.CancelledRunning)
		synctest.Wait()
		c.Check(a.jobs.cancelled, qt.Equals, 1)
	})
}

// Guards against callers that wait for an entry that is gone, and against a second run
// beside the first when they send the job again: both sides of a silent connection give
// its jobs up before a caller sends it again.
func TestSilentConnection(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a := newNode(ctx, 1000)
		silence := wireUp(ctx, front, a, "a")
		synctest.Wait()
		time.AfterFunc(200*time.Millisecond, silence)
		begun := time.Now()
		_, err := front.Submit(ctx, submission("j", 5*time.Second))
		took := time.Since(begun) - 200*time.Millisecond
		c.Check(err.Kind, qt.Equals, errkind.HomeLost)
		c.Check(err.Answer().Status, qt.Equals, 502)
		c.Check(took >= peerSilence-roomIdle-2*checkInterval && took <= peerSilence+2*checkInterval, qt.IsTrue, qt.Commentf("given up after %v", took))
		time.Sleep(time.Until(begun.Add(200*time.Millisecond + peerSilence + 2*checkInterval)))
		synctest.Wait()
		c.Check(a.jobs.cancelled, qt.Equals, 1)
	})
}

// Guards against jobs that are sent to an entry that has lost its power, for as long as it
// takes to be sure of it.
func TestSilentEntryGetsNoMoreJobs(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a, b := newNode(ctx, 1000), newNode(ctx, 1000)
		silence := wireUp(ctx, front, a, "a")
		wireUp(ctx, front, b, "b")
		time.Sleep(time.Second)
		silence()
		time.Sleep(peerDoubt + time.Millisecond)
		for range 20 {
			_, err := front.Submit(ctx, submission("j", time.Millisecond))
			c.Assert(err == nil, qt.IsTrue)
		}
		c.Check(b.jobs.count(), qt.Equals, 20)
	})
}

// Guards against jobs that are given up although their entry lives and has nothing to say.
func TestLongJobOutlastsTheSilence(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a := newNode(ctx, 1000)
		wireUp(ctx, front, a, "a")
		synctest.Wait()
		state, err := front.Submit(ctx, submission("j", 5*time.Second))
		c.Check(err == nil, qt.IsTrue)
		c.Check(state, qt.Equals, job.Completed)
	})
}

// Guards against refusals while the connections of a restarted entry are being made, and
// against callers that wait for them in vain.
func TestJobWaitsForAPlacingEntry(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a := newNode(ctx, 1000)
		time.AfterFunc(40*time.Millisecond, func() { wireUp(ctx, front, a, "a") })
		begun := time.Now()
		state, err := front.Submit(ctx, submission("j", 200*time.Millisecond))
		c.Assert(err == nil, qt.IsTrue)
		c.Check(state, qt.Equals, job.Completed)
		c.Check(time.Since(begun) < 250*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		c.Check(a.jobs.got[0].Elapsed >= 40*time.Millisecond, qt.IsTrue) // counts towards its objective

		alone := newNode(ctx, 0)
		begun = time.Now()
		_, err = alone.Submit(ctx, submission("j", 200*time.Millisecond))
		c.Check(err.Kind, qt.Equals, errkind.NoEndpoint)
		c.Check(time.Since(begun), qt.Equals, 95*time.Millisecond) // a quarter of the objective
	})
}

// Guards against jobs for an entry that stops, and against jobs of its own callers that
// it refuses meanwhile.
func TestLeavingEntryGetsNoJob(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a, b := newNode(ctx, 1000), newNode(ctx, 1000)
		wireUp(ctx, front, a, "a")
		wireUp(ctx, front, b, "b")
		wireUp(ctx, a, b, "b")
		synctest.Wait()
		a.Leave()
		synctest.Wait()
		for range 10 {
			_, err := front.Submit(ctx, submission("j", 10*time.Millisecond))
			c.Assert(err == nil, qt.IsTrue)
			_, err = a.Submit(ctx, submission("j", 10*time.Millisecond))
			c.Assert(err == nil, qt.IsTrue)
		}
		c.Check(a.jobs.count(), qt.Equals, 0)
		c.Check(b.jobs.count(), qt.Equals, 20)
	})
}

// Guards against refusals of jobs that need a label which only the endpoints of another
// placing entry have, and against tasks far from their data.
func TestJobGoesWhereItsLabelIs(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a, b := newNode(ctx, 9000), newNode(ctx, 1000)
		a.jobs.labels, b.jobs.labels = []string{"kind-a", "r1"}, []string{"kind-a", "kind-b", "r2"}
		wireUp(ctx, front, a, "a")
		wireUp(ctx, front, b, "b")
		synctest.Wait()
		for range 20 {
			s := submission("j", 10*time.Millisecond)
			s.Steps[0].Label = "kind-b"
			_, err := front.Submit(ctx, s)
			c.Assert(err == nil, qt.IsTrue)
			s.Steps[0].Label, s.Steps[0].DataRack = "kind-a", "r2"
			_, err = front.Submit(ctx, s)
			c.Assert(err == nil, qt.IsTrue)
		}
		c.Check(a.jobs.count(), qt.Equals, 0)
		c.Check(b.jobs.count(), qt.Equals, 40)
		s := submission("j", 10*time.Millisecond)
		s.Steps[0].Label = "kind-c"
		begun := time.Now()
		_, err := front.Submit(ctx, s)
		c.Check(err.Kind, qt.Equals, errkind.NoEndpoint)
		c.Check(time.Since(begun), qt.Equals, time.Duration(0)) // it would wait in vain
	})
}

// Guards against entries of a small deployment that pass jobs on.
func TestFewEntriesPlaceTheirOwnJobs(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a := newNode(ctx, 1000)
		wireUp(ctx, front, a, "a")
		front.Enable(false)
		_, err := front.Submit(ctx, submission("j", 10*time.Millisecond))
		c.Check(err == nil, qt.IsTrue)
		c.Check(front.jobs.count(), qt.Equals, 1)
	})
}

// Guards against an entry that places jobs in a data centre that is emptied, since the store
// does not serve it: those that pass jobs on tell it, also when they connect later.
func TestPlacersAreToldOfEmptiedDataCentres(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *node) {
		a, b := newNode(ctx, 1000), newNode(ctx, 1000)
		wireUp(ctx, front, a, "a")
		front.SetEmptied(wire.Evacuated{Version: 4, DataCentres: []string{"north"}})
		wireUp(ctx, front, b, "b")
		synctest.Wait()
		for _, n := range []*node{front, a, b} {
			c.Check(n.jobs.emptied.DataCentres, qt.DeepEquals, []string{"north"})
		}
	})
}
