package coordinator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// withFairShares runs f with a coordinator that divides capacity by groups, and an agent.
func withFairShares(t *testing.T, f func(c *quicktest.C, co *Coordinator, a *fakeAgent)) {
	t.Helper()
	p, err := policy.New([]string{string(policy.FairShare)}, nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		co := New(Config{Timing: DefaultTiming(1300*time.Millisecond, 1.5), Policy: p, Metrics: NewMetrics(prometheus.NewRegistry())})
		go co.Run(ctx)
		a := &fakeAgent{c: co, name: "host-1"}
		a.connect()
		synctest.Wait()
		f(quicktest.New(t), co, a)
		stop()
		synctest.Wait()
	})
}

// promoted returns the promoted queues.
func (c *Coordinator) promoted() (names []string) {
	c.loop.Do(func() {
		for _, s := range c.shares.services {
			for name, q := range s.queues {
				if q.Promoted {
					names = append(names, name)
				}
			}
		}
	})
	return names
}

// decisions returns the counts of a queue, those of this process and all.
func (c *Coordinator) decisions(queue string) (own, all policy.ShareCounts) {
	c.loop.Do(func() {
		if s := c.shares.services["s"]; s != nil && s.queues[queue] != nil {
			own, all = s.queues[queue].own, s.queues[queue].Counts
		}
	})
	return own, all
}

// unevenShares are counts of another entry by which the queue "low" gets less than its share.
func unevenShares() []wire.ServiceShares {
	return []wire.ServiceShares{{Service: "s", Queues: []wire.GroupCount{
		{Name: "high", Started: 100000, Squares: 100000}, {Name: "low", Started: 50000, Refused: 50000, Squares: 100000},
	}, DataCentres: []wire.GroupCount{{Name: "north", Started: 150000, Refused: 50000, Squares: 200000}}}}
}

// Guards against counts of a lost or frozen entry that go on to affect the order of jobs, and against
// counts that were old when they arrived at the event loop.
func TestCountsOfLostEntryExpire(t *testing.T) {
	withFairShares(t, func(c *quicktest.C, co *Coordinator, _ *fakeAgent) {
		co.SetShareCounts("b.1", unevenShares(), time.Now().Add(-1100*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		c.Check(co.promoted(), quicktest.HasLen, 0)
		co.SetShareCounts("b.1", unevenShares(), time.Now())
		time.Sleep(200 * time.Millisecond)
		c.Check(co.promoted(), quicktest.DeepEquals, []string{"low"})
		time.Sleep(950 * time.Millisecond) // one idle tick beyond the greatest age
		c.Check(co.promoted(), quicktest.HasLen, 0)
		_, all := co.decisions("low")
		c.Check(all, quicktest.Equals, policy.ShareCounts{})
	})
}

// Guards against counts that are added twice: a message replaces the earlier ones of its sender, and an
// entry does not send what it has received.
func TestCountsAreAddedOnce(t *testing.T) {
	withFairShares(t, func(c *quicktest.C, co *Coordinator, _ *fakeAgent) {
		for range 5 {
			co.SetShareCounts("b.1", unevenShares(), time.Now())
			co.SetShareCounts("c.1", unevenShares(), time.Now())
			time.Sleep(200 * time.Millisecond)
		}
		own, all := co.decisions("low")
		c.Check(own, quicktest.Equals, policy.ShareCounts{})
		c.Check(all.Decided() > 150 && all.Decided() <= 200, quicktest.IsTrue, quicktest.Commentf("%v", all))
		c.Check(co.ShareCounts(), quicktest.HasLen, 0)
	})
}

// Guards against promotions by a restarted entry, which knows no decisions, and against a group that
// stays in its metrics and its memory after it has no jobs any more.
func TestEntryWithoutCountsPromotesNothing(t *testing.T) {
	withFairShares(t, func(c *quicktest.C, co *Coordinator, _ *fakeAgent) {
		for i := range 4 {
			s := submission(fmt.Sprint("j", i), 1)
			s.Queue.Name, s.Origin = fmt.Sprint("q", i%2), "north"
			co.loop.Post(func() { co.submit(s, newWaiter(), time.Now()) })
		}
		time.Sleep(time.Second)
		c.Check(co.promoted(), quicktest.HasLen, 0)
		c.Check(co.ShareCounts(), quicktest.HasLen, 0) // nothing was refused
		time.Sleep(groupIdleTime + time.Second)
		co.loop.Do(func() {
			c.Check(co.shares.services, quicktest.HasLen, 0)
			c.Check(co.shares.groups, quicktest.Equals, 0)
		})
	})
}

// Guards against jobs that count for their groups although their caller left or another entry has
// counted their refusal, and against refused or started jobs that do not count.
func TestCountedJobs(t *testing.T) {
	for _, tc := range []struct {
		name             string
		edit             func(s *job.Submission)
		leaves           bool
		started, refused float64
	}{
		{"started", func(s *job.Submission) { s.Steps[0].Size.MilliCores = 1000 }, false, 0.2, 0},
		{"refused", func(*job.Submission) {}, false, 0, 6.4},
		{"deadline passes", func(s *job.Submission) { s.CallerTimeout = 10 * time.Millisecond }, false, 0, 6.4},
		{"refused before by another entry", func(s *job.Submission) { s.RefusedBefore = true }, false, 0, 0},
		{"caller leaves", func(*job.Submission) {}, true, 0, 0},
		{"too large for each endpoint", func(s *job.Submission) { s.Steps[0].Size.MilliCores = 64000 }, false, 0, 0},
	} {
		withFairShares(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent) {
			for range 25 { // until a job that is too large is refused
				a.c.Handle(a.name, a.connection, &wire.Status{Used: wire.Resources{MilliCores: 16000}})
				time.Sleep(100 * time.Millisecond)
			}
			s := submission("j", 2)
			s.Steps[0].Size.MilliCores = 32000
			s.Ephemeral = true
			tc.edit(&s)
			ctx, cancel := context.WithCancel(context.Background())
			answered := make(chan *errkind.Error, 1)
			go func() {
				_, err := co.Submit(ctx, s)
				answered <- err
			}()
			time.Sleep(5 * time.Millisecond)
			if tc.leaves {
				cancel()
			}
			synctest.Wait()
			started := policy.ShareCounts{}
			co.loop.Do(func() { started = co.shares.services["s"].queues["q"].own })
			for range 3 {
				a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count, Used: wire.Resources{MilliCores: 16000}})
				time.Sleep(100 * time.Millisecond)
			}
			own, _ := co.decisions("q")
			c.Check(started.Started >= 0.9*tc.started && started.Started <= tc.started, quicktest.IsTrue, quicktest.Commentf("%s: %v", tc.name, started))
			c.Check(own.Refused >= 0.8*tc.refused && own.Refused <= tc.refused, quicktest.IsTrue, quicktest.Commentf("%s: %v", tc.name, own))
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against work, memory or wire fields of fair shares where they are not enabled.
func TestWithoutFairShares(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, _ *fakeAgent, _ *fakeRecorder) {
		co.SetShareCounts("b.1", unevenShares(), time.Now())
		co.loop.Post(func() { co.submit(submission("j", 1), newWaiter(), time.Now()) })
		time.Sleep(200 * time.Millisecond)
		co.loop.Do(func() { c.Check(co.jobs["j"].shares, quicktest.IsNil) })
		c.Check(co.ShareCounts(), quicktest.IsNil)
	})
}

// Guards against stored jobs, which belong to no group, that come before all others while a group is promoted.
func TestStoredJobsKeepTheirPriorityDuringPromotion(t *testing.T) {
	withFairShares(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent) {
		a.c.Handle(a.name, a.connection, &wire.Status{Used: wire.Resources{MilliCores: 32000}})
		urgent, stored := submission("urgent", 1), submission("stored", 1)
		urgent.Ephemeral, urgent.Queue.Name, urgent.Queue.TargetLatency, stored.Queue.Priority = true, "high", time.Minute, 5
		co.loop.Do(func() {
			co.submit(urgent, newWaiter(), time.Now())
			j := newActiveJob(stored, time.Now())
			j.stored = &storedState{}
			co.queued, j.objective = append(co.queued, j), time.Now().Add(time.Minute)
			co.shares.services["s"].promoting, co.shares.services["s"].queues["high"].Best = true, true
			co.sortQueue(time.Now())
			c.Check(co.queued[0].sortKey.Shares, quicktest.Equals, co.queued[1].sortKey.Shares)
			co.queued = co.queued[:0]
		})
	})
}
