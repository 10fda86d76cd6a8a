package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/internal/bubble"
	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// newFaultlessCluster returns a test cluster without faults, after its agents have
// announced their endpoints.
func newFaultlessCluster(agents int) *testCluster {
	w := newTestCluster(&faults{disabled: true}, agents)
	<-time.After(10 * time.Millisecond)
	return w
}

func (w *testCluster) updateState(change func(*ticket.Config)) {
	s := testState()
	change(s)
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	w.d.cfg.State = func() *ticket.Config { return s }
}

// TestRefusals guards against refusals that are delayed, have the wrong error kind,
// or leave tasks started or capacity reserved.
func TestRefusals(t *testing.T) {
	job := func(n int) Job { return testJob(0, "preview", "s-1", false, n, 5*time.Second) }
	for _, test := range []struct {
		name    string
		agents  int
		prepare func(*testCluster)
		job     func() Job
		kind    errkind.Kind
	}{
		{"no configuration", 1, func(w *testCluster) {
			w.d.mu.Lock()
			defer w.d.mu.Unlock()
			w.d.cfg.State = func() *ticket.Config { return nil }
		},
			func() Job { return job(1) }, errkind.NoConfiguration},
		{"unknown service", 1, nil, func() Job { j := job(1); j.Service = "x"; return j }, errkind.UnknownService},
		{"unknown kind", 1, nil, func() Job { j := job(1); j.Kind = "x"; return j }, errkind.UnknownKind},
		{"no endpoint", 0, nil, func() Job { return job(1) }, errkind.NoEndpoint},
		{"never fits", 1, func(w *testCluster) {
			w.d.mu.Lock()
			defer w.d.mu.Unlock()
			for _, a := range w.d.agents {
				a.announce.Capacity = wire.Resources{MilliCores: 1000}
			}
		}, func() Job { j := job(3); j.Tasks[2].Demand.MilliCores = 1001; return j }, errkind.NeverFits},
		{"queue full", 1, func(w *testCluster) {
			w.updateState(func(s *ticket.Config) { s.Services["veil-desk"].Kinds["preview"] = ticket.Kind{QueueLimit: 5} })
		}, func() Job { return job(8) }, errkind.QueueFull},
		{"bytes", 1, func(w *testCluster) { w.d.cfg.MaxInFlightBytes = 1 }, func() Job { return job(2) }, errkind.QueueFull},
		{"quota", 1, func(w *testCluster) {
			w.d.cfg.EntryCount = func() int { return 2 }
			w.updateState(func(s *ticket.Config) { s.Teams["veil"] = ticket.Team{MaxInFlight: 10} })
		}, func() Job { return job(6) }, errkind.QuotaExceeded},
		{"deadline", 1, func(w *testCluster) {
			for i := range 10 {
				w.d.Do(context.Background(), testJob(0, "preview", fmt.Sprint(i), false, 1, time.Second))
			}
		}, func() Job { return testJob(0, "preview", "s", false, 100, 300*time.Millisecond) }, errkind.DeadlineUnmet},
		{"deadline in the past", 1, nil, func() Job { j := job(1); j.Deadline = time.Now(); return j }, errkind.DeadlineUnmet},
		{"draining", 1, func(w *testCluster) { _ = w.d.Drain(context.Background()) }, func() Job { return job(1) }, errkind.Draining},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newFaultlessCluster(test.agents)
				defer w.close()
				if test.prepare != nil {
					test.prepare(w)
				}
				starts := len(w.rec.starts)
				s := &testSubmission{job: test.job()}
				w.run(s)
				c.Assert(s.answer.Err, qt.Not(qt.IsNil))
				c.Assert(s.answer.Err.Kind, qt.Equals, test.kind)
				c.Assert(s.answer.Err.Answer().Outcome, qt.Equals, errkind.NotRun)
				c.Assert(s.answeredAt, qt.Equals, s.submittedAt)
				<-time.After(5 * time.Second)
				c.Assert(w.rec.starts, qt.HasLen, starts)
				c.Assert(w.d.checkLeaks(), qt.IsNil)
			})
		})
	}
}

// TestInaccurateDeclaredRunTimes guards against refusals and late answers that are
// caused by declared run times ten times too long or too short.
func TestInaccurateDeclaredRunTimes(t *testing.T) {
	for _, declared := range []time.Duration{2 * time.Millisecond, 200 * time.Millisecond} {
		bubble.Test(t, func(t *testing.T) {
			c := qt.New(t)
			w := newFaultlessCluster(1) // runs 20 ms
			defer w.close()
			for i := range 20 {
				j := testJob(0, "preview", fmt.Sprint(i), false, 1, 50*time.Millisecond)
				j.Tasks[0].DeclaredRunTime = declared
				s := &testSubmission{job: j}
				w.run(s)
				c.Assert(s.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", s.answer.Err))
			}
		})
	}
}

// TestRetryAfter guards against a Retry-After so short that the caller is refused
// again, or as long as the whole queue takes.
func TestRetryAfter(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFaultlessCluster(1) // 2 slots, 20 ms a task and 2 ms between tasks: 100 tasks take 1.1 s
		defer w.close()
		w.run(&testSubmission{job: testJob(0, "preview", "warm", false, 10, time.Second)})
		var wg sync.WaitGroup
		wg.Go(func() { w.run(&testSubmission{job: testJob(0, "preview", "big", false, 100, 1200*time.Millisecond)}) })
		synctest.Wait()
		s := &testSubmission{job: testJob(0, "preview", "next", false, 50, 1200*time.Millisecond)}
		w.run(s)
		c.Assert(s.answer.Err, qt.Not(qt.IsNil))
		wait := s.answer.Err.RetryAfter
		c.Assert(wait > 300*time.Millisecond && wait < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait))
		<-time.After(wait + 20*time.Millisecond)
		s = &testSubmission{job: testJob(0, "preview", "next", false, 50, 1200*time.Millisecond)}
		w.run(s)
		c.Assert(s.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", s.answer.Err))
		wg.Wait()
	})
}

// TestUrgentJobOvertakesQueue guards against the refusal of an urgent job because
// of queued tasks that are scheduled after it.
func TestUrgentJobOvertakesQueue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFaultlessCluster(1)
		defer w.close()
		w.run(&testSubmission{job: testJob(0, "preview", "warm", false, 10, time.Second)})
		var wg sync.WaitGroup
		wg.Go(func() { w.run(&testSubmission{job: testJob(0, "preview", "big", false, 150, 9*time.Second)}) })
		synctest.Wait()
		s := &testSubmission{job: testJob(0, "preview", "urgent", false, 1, 100*time.Millisecond)}
		w.run(s)
		c.Assert(s.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", s.answer.Err))
		wg.Wait()
	})
}

// TestStartsAreBatched guards against one message for each task of a job.
func TestStartsAreBatched(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := New(Config{Self: ids.Incarnation{Name: "entry-1", Number: 1}, State: testState})
		conn := &countingConn{}
		s := d.attach(conn, wire.Hello{Node: ids.Incarnation{Name: "agent-1", Number: 1}})
		defer s.stop()
		s.handleFrame(wire.Frame{Body: &wire.Announce{Service: "veil-desk", Slots: 150, Revision: 1}})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { d.Do(ctx, testJob(0, "preview", "s", false, 150, time.Second)) })
		synctest.Wait()
		c.Assert(conn.sent[wire.TypeStart], qt.Equals, 1)
		c.Assert(conn.tasks, qt.Equals, 150)
		cancel()
		wg.Wait()
		synctest.Wait()
		c.Assert(conn.sent[wire.TypeCancel], qt.Equals, 1)
	})
}

// countingConn counts the messages and tasks that are sent and delivers nothing.
type countingConn struct {
	mu    sync.Mutex
	sent  map[wire.Type]int
	tasks int
}

func (l *countingConn) Send(_ context.Context, m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent == nil {
		l.sent = map[wire.Type]int{}
	}
	l.sent[m.MessageType()]++
	if s, ok := m.(*wire.Start); ok {
		l.tasks += len(s.Tasks)
	}
	return nil
}

func (l *countingConn) Call(ctx context.Context, _ wire.Message) (wire.Message, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (l *countingConn) Reply(context.Context, uint64, wire.Message) error { return nil }
func (l *countingConn) Close() error                                      { return nil }

// TestDrainingAgentGetsNoWork guards against a Start to an agent after its Drain,
// and against tasks that remain in the outbox of its session.
func TestDrainingAgentGetsNoWork(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFaultlessCluster(2)
		defer w.close()
		w.agents[0].conn.session.handleFrame(wire.Frame{Body: &wire.Drain{}})
		for i := range 5 {
			s := &testSubmission{job: testJob(0, "preview", fmt.Sprint(i), false, 4, time.Second)}
			w.run(s)
			c.Assert(s.answer.Err == nil, qt.IsTrue)
			c.Assert(s.verify(w.rec), qt.IsNil)
		}
		c.Assert(w.agents[0].tasks, qt.HasLen, 0)
		c.Assert(w.d.Endpoints()[0].Draining, qt.IsTrue)
	})
}

// TestDrainWaits guards against a Drain that returns while jobs are running.
func TestDrainWaits(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFaultlessCluster(1)
		defer w.close()
		s := &testSubmission{job: testJob(0, "preview", "s", false, 10, 2*time.Second)}
		var wg sync.WaitGroup
		wg.Go(func() { w.run(s) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		c.Assert(w.d.Drain(ctx), qt.Equals, context.DeadlineExceeded)
		c.Assert(w.d.Drain(context.Background()), qt.IsNil)
		wg.Wait()
		c.Assert(s.answer.Err == nil, qt.IsTrue)
	})
}

// TestCancelIsPerTeam guards against a Cancel that aborts the submission of another
// team with the same ID.
func TestCancelIsPerTeam(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFaultlessCluster(1)
		defer w.close()
		s := &testSubmission{job: testJob(0, "preview", "s", false, 10, 2*time.Second)}
		var wg sync.WaitGroup
		wg.Go(func() { w.run(s) })
		synctest.Wait()
		c.Assert(w.d.Cancel("lace", "s"), qt.IsFalse)
		c.Assert(w.d.Cancel("veil", "s"), qt.IsTrue)
		wg.Wait()
		c.Assert(s.answer.Err.Kind, qt.Equals, errkind.CancelledRunning)
		c.Assert(s.answeredAt, qt.Equals, s.submittedAt)
		<-time.After(time.Second)
		c.Assert(s.verify(w.rec), qt.IsNil)
		c.Assert(w.d.checkLeaks(), qt.IsNil)
	})
}

// TestFailingEndpointIsEjected guards against an endpoint that fails every task
// immediately and attracts tasks because it always has a free slot.
func TestFailingEndpointIsEjected(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestCluster(&faults{disabled: true}, 4)
		defer w.close()
		w.agents[0].failAll = true
		<-time.After(10 * time.Millisecond)
		var failed atomic.Int64
		for i := range 60 {
			// Eight concurrent requests need more than the six slots of the healthy
			// endpoints.
			var wg sync.WaitGroup
			for k := range 8 {
				wg.Go(func() {
					s := &testSubmission{job: testJob(0, "stock-check", fmt.Sprint(i, "-", k), true, 1, time.Second)}
					w.run(s)
					if s.answer.Err != nil {
						failed.Add(1)
					}
				})
			}
			wg.Wait()
		}
		// Five failures eject the endpoint; after that each trial fails once, at
		// increasing intervals.
		n := failed.Load()
		c.Assert(n >= 1 && n <= 5+8, qt.IsTrue, qt.Commentf("%d failed", n))
	})
}

// TestQueueIsAbortedWithoutEndpoint guards against queued jobs that wait for their
// deadline after the last endpoint of their service was removed.
func TestQueueIsAbortedWithoutEndpoint(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFaultlessCluster(1)
		defer w.close()
		s := &testSubmission{job: testJob(0, "preview", "s", false, 100, 9*time.Second)}
		var wg sync.WaitGroup
		wg.Go(func() { w.run(s) })
		synctest.Wait()
		w.agents[0].conn.session.handleFrame(wire.Frame{Body: &wire.Announce{Service: "veil-desk", Revision: 2}})
		wg.Wait()
		c.Assert(s.answeredAt.Sub(s.submittedAt) < 2*time.Second, qt.IsTrue)
		c.Assert(s.answer.Err.Answer().Outcome, qt.Equals, errkind.MayHaveRun)
		c.Assert(s.verify(w.rec), qt.IsNil)
	})
}

// failingConn fails every Send, like a closed transport connection.
type failingConn struct{ countingConn }

func (l *failingConn) Send(context.Context, wire.Message) error { return errDisconnected }

// TestUnsentTaskIsReassigned guards against a job that waits or fails because the
// transport did not accept a Start, although nothing was sent.
func TestUnsentTaskIsReassigned(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFaultlessCluster(1) // runs 20 ms
		defer w.close()
		s := w.d.attach(&failingConn{}, wire.Hello{Node: ids.Incarnation{Name: "agent-x", Number: 1}})
		defer s.stop()
		s.handleFrame(wire.Frame{Body: &wire.Announce{Service: "veil-desk", Slots: 100, Revision: 1}})
		job := &testSubmission{job: testJob(0, "stock-check", "s", false, 6, 400*time.Millisecond)}
		w.run(job)
		c.Assert(job.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", job.answer.Err))
		c.Assert(job.verify(w.rec), qt.IsNil)
	})
}

// TestMassCancellation guards against cancelled jobs that still occupy the queue,
// quotas or payload bytes, and against a queue that stalls afterwards.
func TestMassCancellation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFaultlessCluster(2)
		defer w.close()
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				w.run(&testSubmission{job: testJob(i, "preview", fmt.Sprint(i), false, 5, 9*time.Second), cancelAfter: time.Second})
			})
		}
		wg.Wait()
		s := &testSubmission{job: testJob(0, "preview", "after", false, 4, time.Second)}
		w.run(s)
		c.Assert(s.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", s.answer.Err))
		<-time.After(5 * time.Second)
		c.Assert(w.d.checkLeaks(), qt.IsNil)
	})
}

// TestLostAgentFailsAllJobs guards against tasks of a lost agent that remain
// unsettled because another job is aborted during the iteration over the agent's
// tasks. The tasks of the jobs are interleaved in the list, so that aborting one
// job removes tasks throughout it.
func TestLostAgentFailsAllJobs(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestCluster(&faults{disabled: true}, 0)
		defer w.close()
		a := &fakeAgent{d: w.d, rec: w.rec, faults: &faults{disabled: true}, id: ids.Incarnation{Name: "agent-0", Number: 1},
			slots: 40, runTime: 9 * time.Second, tasks: map[uint64]*fakeTask{}}
		a.connect()
		<-time.After(10 * time.Millisecond)
		var wg sync.WaitGroup
		all := make([]*testSubmission, 8)
		for i := range all {
			all[i] = &testSubmission{job: testJob(0, "stock-check", fmt.Sprint(i), false, 4, 15*time.Second)}
			wg.Go(func() { w.run(all[i]) })
		}
		<-time.After(100 * time.Millisecond)
		a.kill(false)
		wg.Wait()
		for _, s := range all {
			c.Assert(s.answeredAt.Sub(s.submittedAt) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", s.answeredAt.Sub(s.submittedAt)))
			c.Assert(s.answer.Err.Kind, qt.Equals, errkind.AgentLost)
		}
	})
}
