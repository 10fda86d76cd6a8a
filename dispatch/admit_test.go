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

// calm returns a world without faults, after its agents have announced.
func calm(agents int) *world {
	w := newWorld(&faults{none: true}, agents)
	<-time.After(10 * time.Millisecond)
	return w
}

func (w *world) state(change func(*ticket.Config)) {
	s := testState()
	change(s)
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	w.d.cfg.State = func() *ticket.Config { return s }
}

// TestRefusals guards against refusals that come late, with the wrong kind, or
// after something was started or reserved.
func TestRefusals(t *testing.T) {
	job := func(n int) Job { return testJob(0, "preview", "s-1", false, n, 5*time.Second) }
	for _, test := range []struct {
		name    string
		agents  int
		prepare func(*world)
		job     func() Job
		kind    errkind.Kind
	}{
		{"no configuration", 1, func(w *world) {
			w.d.mu.Lock()
			defer w.d.mu.Unlock()
			w.d.cfg.State = func() *ticket.Config { return nil }
		},
			func() Job { return job(1) }, errkind.NoConfiguration},
		{"unknown service", 1, nil, func() Job { j := job(1); j.Service = "x"; return j }, errkind.UnknownService},
		{"unknown kind", 1, nil, func() Job { j := job(1); j.Kind = "x"; return j }, errkind.UnknownKind},
		{"no endpoint", 0, nil, func() Job { return job(1) }, errkind.NoEndpoint},
		{"never fits", 1, func(w *world) {
			w.d.mu.Lock()
			defer w.d.mu.Unlock()
			for _, a := range w.d.agents {
				a.announce.Capacity = wire.Resources{MilliCores: 1000}
			}
		}, func() Job { j := job(3); j.Tasks[2].Demand.MilliCores = 1001; return j }, errkind.NeverFits},
		{"queue full", 1, func(w *world) {
			w.state(func(s *ticket.Config) { s.Services["veil-desk"].Kinds["preview"] = ticket.Kind{QueueLimit: 5} })
		}, func() Job { return job(8) }, errkind.QueueFull},
		{"bytes", 1, func(w *world) { w.d.cfg.MaxQueuedBytes = 1 }, func() Job { return job(2) }, errkind.QueueFull},
		{"quota", 1, func(w *world) {
			w.d.cfg.Entries = func() int { return 2 }
			w.state(func(s *ticket.Config) { s.Teams["veil"] = ticket.Team{MaxInFlight: 10} })
		}, func() Job { return job(6) }, errkind.QuotaExceeded},
		{"deadline", 1, func(w *world) {
			for i := range 10 {
				w.d.Do(context.Background(), testJob(0, "preview", fmt.Sprint(i), false, 1, time.Second))
			}
		}, func() Job { return testJob(0, "preview", "s", false, 100, 300*time.Millisecond) }, errkind.DeadlineUnmet},
		{"deadline in the past", 1, nil, func() Job { j := job(1); j.Deadline = time.Now(); return j }, errkind.DeadlineUnmet},
		{"draining", 1, func(w *world) { _ = w.d.Drain(context.Background()) }, func() Job { return job(1) }, errkind.Draining},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := calm(test.agents)
				defer w.close()
				if test.prepare != nil {
					test.prepare(w)
				}
				starts := len(w.rec.starts)
				s := &submitted{job: test.job()}
				w.run(s)
				c.Assert(s.answer.Err, qt.Not(qt.IsNil))
				c.Assert(s.answer.Err.Kind, qt.Equals, test.kind)
				c.Assert(s.answer.Err.Answer().Outcome, qt.Equals, errkind.NotRun)
				c.Assert(s.ended, qt.Equals, s.began)
				<-time.After(5 * time.Second)
				c.Assert(w.rec.starts, qt.HasLen, starts)
				c.Assert(w.d.leaks(), qt.IsNil)
			})
		})
	}
}

// TestDeclaredTenTimesOff guards against refusals and late answers because the
// declared run times are ten times too long or too short.
func TestDeclaredTenTimesOff(t *testing.T) {
	for _, declared := range []time.Duration{2 * time.Millisecond, 200 * time.Millisecond} {
		bubble.Test(t, func(t *testing.T) {
			c := qt.New(t)
			w := calm(1) // runs 20 ms
			defer w.close()
			for i := range 20 {
				j := testJob(0, "preview", fmt.Sprint(i), false, 1, 50*time.Millisecond)
				j.Tasks[0].Expected = declared
				s := &submitted{job: j}
				w.run(s)
				c.Assert(s.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", s.answer.Err))
			}
		})
	}
}

// TestRetryAfter guards against a Retry-After that is so short that the caller
// is refused again, or as long as the whole queue.
func TestRetryAfter(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := calm(1) // 2 slots, 20 ms a task and 2 ms between tasks: 100 tasks take 1.1 s
		defer w.close()
		w.run(&submitted{job: testJob(0, "preview", "warm", false, 10, time.Second)})
		var wg sync.WaitGroup
		wg.Go(func() { w.run(&submitted{job: testJob(0, "preview", "big", false, 100, 1200*time.Millisecond)}) })
		synctest.Wait()
		s := &submitted{job: testJob(0, "preview", "next", false, 50, 1200*time.Millisecond)}
		w.run(s)
		c.Assert(s.answer.Err, qt.Not(qt.IsNil))
		wait := s.answer.Err.RetryAfter
		c.Assert(wait > 300*time.Millisecond && wait < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait))
		<-time.After(wait + 20*time.Millisecond)
		s = &submitted{job: testJob(0, "preview", "next", false, 50, 1200*time.Millisecond)}
		w.run(s)
		c.Assert(s.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", s.answer.Err))
		wg.Wait()
	})
}

// TestUrgentOvertakes guards against the refusal of an urgent job because of
// waiting tasks that it would overtake.
func TestUrgentOvertakes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := calm(1)
		defer w.close()
		w.run(&submitted{job: testJob(0, "preview", "warm", false, 10, time.Second)})
		var wg sync.WaitGroup
		wg.Go(func() { w.run(&submitted{job: testJob(0, "preview", "big", false, 150, 9*time.Second)}) })
		synctest.Wait()
		s := &submitted{job: testJob(0, "preview", "urgent", false, 1, 100*time.Millisecond)}
		w.run(s)
		c.Assert(s.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", s.answer.Err))
		wg.Wait()
	})
}

// TestBatching guards against one message for each task of a job.
func TestBatching(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := New(Config{Self: ids.Incarnation{Name: "entry-1", Number: 1}, State: testState})
		l := &countingLink{}
		s := d.attach(l, wire.Hello{Node: ids.Incarnation{Name: "agent-1", Number: 1}})
		defer s.stop()
		s.handle(wire.Frame{Body: &wire.Announce{Service: "veil-desk", Slots: 150, Revision: 1}})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { d.Do(ctx, testJob(0, "preview", "s", false, 150, time.Second)) })
		synctest.Wait()
		c.Assert(l.sent[wire.TypeStart], qt.Equals, 1)
		c.Assert(l.tasks, qt.Equals, 150)
		cancel()
		wg.Wait()
		synctest.Wait()
		c.Assert(l.sent[wire.TypeCancel], qt.Equals, 1)
	})
}

// countingLink counts what is sent and delivers nothing.
type countingLink struct {
	mu    sync.Mutex
	sent  map[wire.Type]int
	tasks int
}

func (l *countingLink) Send(_ context.Context, m wire.Message) error {
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

func (l *countingLink) Call(ctx context.Context, _ wire.Message) (wire.Message, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (l *countingLink) Reply(context.Context, uint64, wire.Message) error { return nil }
func (l *countingLink) Close() error                                      { return nil }

// TestDrainingAgentGetsNoWork guards against a Start to an agent after its
// Drain, and against tasks that stay in its outbox.
func TestDrainingAgentGetsNoWork(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := calm(2)
		defer w.close()
		w.agents[0].link.session.handle(wire.Frame{Body: &wire.Drain{}})
		for i := range 5 {
			s := &submitted{job: testJob(0, "preview", fmt.Sprint(i), false, 4, time.Second)}
			w.run(s)
			c.Assert(s.answer.Err == nil, qt.IsTrue)
			c.Assert(s.verify(w.rec), qt.IsNil)
		}
		c.Assert(w.agents[0].tasks, qt.HasLen, 0)
		c.Assert(w.d.Endpoints()[0].Draining, qt.IsTrue)
	})
}

// TestDrainWaits guards against a home that stops while jobs run.
func TestDrainWaits(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := calm(1)
		defer w.close()
		s := &submitted{job: testJob(0, "preview", "s", false, 10, 2*time.Second)}
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

// TestCancelIsPerTeam guards against a cancel that reaches the submission of
// another team with the same id.
func TestCancelIsPerTeam(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := calm(1)
		defer w.close()
		s := &submitted{job: testJob(0, "preview", "s", false, 10, 2*time.Second)}
		var wg sync.WaitGroup
		wg.Go(func() { w.run(s) })
		synctest.Wait()
		c.Assert(w.d.Cancel("lace", "s"), qt.IsFalse)
		c.Assert(w.d.Cancel("veil", "s"), qt.IsTrue)
		wg.Wait()
		c.Assert(s.answer.Err.Kind, qt.Equals, errkind.CancelledRunning)
		c.Assert(s.ended, qt.Equals, s.began)
		<-time.After(time.Second)
		c.Assert(s.verify(w.rec), qt.IsNil)
		c.Assert(w.d.leaks(), qt.IsNil)
	})
}

// TestFailingEndpointLosesWork guards against an endpoint that fails everything
// at once and therefore always has a free slot.
func TestFailingEndpointLosesWork(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(&faults{none: true}, 4)
		defer w.close()
		w.agents[0].fail = true
		<-time.After(10 * time.Millisecond)
		var failed atomic.Int64
		for i := range 60 {
			// Eight at once need more than the good endpoints' six slots.
			var wg sync.WaitGroup
			for k := range 8 {
				wg.Go(func() {
					s := &submitted{job: testJob(0, "stock-check", fmt.Sprint(i, "-", k), true, 1, time.Second)}
					w.run(s)
					if s.answer.Err != nil {
						failed.Add(1)
					}
				})
			}
			wg.Wait()
		}
		// Five failures eject it; each trial after an increasing pause costs one more.
		n := failed.Load()
		c.Assert(n >= 1 && n <= 5+8, qt.IsTrue, qt.Commentf("%d failed", n))
	})
}

// TestUnservedQueueIsGivenUp guards against queued jobs that wait for their
// deadline after the last endpoint has gone.
func TestUnservedQueueIsGivenUp(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := calm(1)
		defer w.close()
		s := &submitted{job: testJob(0, "preview", "s", false, 100, 9*time.Second)}
		var wg sync.WaitGroup
		wg.Go(func() { w.run(s) })
		synctest.Wait()
		w.agents[0].link.session.handle(wire.Frame{Body: &wire.Announce{Service: "veil-desk", Revision: 2}})
		wg.Wait()
		c.Assert(s.ended.Sub(s.began) < 2*time.Second, qt.IsTrue)
		c.Assert(s.answer.Err.Answer().Outcome, qt.Equals, errkind.MayHaveRun)
		c.Assert(s.verify(w.rec), qt.IsNil)
	})
}

// refusingLink accepts no message, like a transport connection that has ended.
type refusingLink struct{ countingLink }

func (l *refusingLink) Send(context.Context, wire.Message) error { return errCut }

// TestUnsentTaskGoesElsewhere guards against a job that waits or fails because
// the transport did not accept a Start, although nothing was sent.
func TestUnsentTaskGoesElsewhere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := calm(1) // runs 20 ms
		defer w.close()
		s := w.d.attach(&refusingLink{}, wire.Hello{Node: ids.Incarnation{Name: "agent-x", Number: 1}})
		defer s.stop()
		s.handle(wire.Frame{Body: &wire.Announce{Service: "veil-desk", Slots: 100, Revision: 1}})
		job := &submitted{job: testJob(0, "stock-check", "s", false, 6, 400*time.Millisecond)}
		w.run(job)
		c.Assert(job.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", job.answer.Err))
		c.Assert(job.verify(w.rec), qt.IsNil)
	})
}

// TestMassCancellation guards against cancelled jobs that keep places in the
// queue, quotas or bytes, and against a queue that stands still afterwards.
func TestMassCancellation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := calm(2)
		defer w.close()
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				w.run(&submitted{job: testJob(i, "preview", fmt.Sprint(i), false, 5, 9*time.Second), cancelAfter: time.Second})
			})
		}
		wg.Wait()
		s := &submitted{job: testJob(0, "preview", "after", false, 4, time.Second)}
		w.run(s)
		c.Assert(s.answer.Err == nil, qt.IsTrue, qt.Commentf("%v", s.answer.Err))
		<-time.After(5 * time.Second)
		c.Assert(w.d.leaks(), qt.IsNil)
	})
}

// TestLostAgentSettlesAllJobs guards against tasks of a lost agent that are left
// unsettled because another job was given up meanwhile. The jobs are interleaved
// at the agent, so that giving up one releases tasks all over its list.
func TestLostAgentSettlesAllJobs(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(&faults{none: true}, 0)
		defer w.close()
		a := &fakeAgent{d: w.d, rec: w.rec, faults: &faults{none: true}, id: ids.Incarnation{Name: "agent-0", Number: 1},
			slots: 40, run: 9 * time.Second, tasks: map[uint64]*fakeTask{}}
		a.connect()
		<-time.After(10 * time.Millisecond)
		var wg sync.WaitGroup
		all := make([]*submitted, 8)
		for i := range all {
			all[i] = &submitted{job: testJob(0, "stock-check", fmt.Sprint(i), false, 4, 15*time.Second)}
			wg.Go(func() { w.run(all[i]) })
		}
		<-time.After(100 * time.Millisecond)
		a.die(false)
		wg.Wait()
		for _, s := range all {
			c.Assert(s.ended.Sub(s.began) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", s.ended.Sub(s.began)))
			c.Assert(s.answer.Err.Kind, qt.Equals, errkind.AgentLost)
		}
	})
}
