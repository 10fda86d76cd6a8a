package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/job"
	"oriolerelay/wire"
)

// connectLabelled connects an agent whose endpoint has a label.
func (a *fakeAgent) connectLabelled(label string) {
	a.connect()
	a.c.Handle(a.name, a.connection, &wire.Status{Profile: &wire.Profile{
		Instance: "i-" + a.name, Service: "s", Capacity: wire.Resources{MilliCores: 32000, MemoryMiB: 1000}, Labels: []string{label},
	}})
}

// Guards against accepted jobs that never start because the only endpoints that can run a task are
// connected to another placement entry (review case 3).
func TestRequirementWithoutEndpointIsWanted(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(s *job.Submission)
		want   wire.TaskRequirement
	}{
		"label":   {func(s *job.Submission) { s.Steps[0].Label = "b" }, wire.TaskRequirement{Service: "s", Size: wire.Resources{MilliCores: 1000}, Label: "b"}},
		"size":    {func(s *job.Submission) { s.Steps[0].Size.MilliCores = 64000 }, wire.TaskRequirement{Service: "s", Size: wire.Resources{MilliCores: 64000}}},
		"service": {func(s *job.Submission) { s.Queue.Service = "other" }, wire.TaskRequirement{Service: "other", Size: wire.Resources{MilliCores: 1000}}},
	} {
		t.Run(name, func(t *testing.T) {
			withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
				s := submission("j", 1)
				tc.change(&s)
				co.Adopt(s, job.Progress{}, 1)
				settle(time.Second)
				c.Check(co.Wanted(), quicktest.DeepEquals, []wire.TaskRequirement{tc.want})
				select {
				case <-co.WantedChanged():
				default:
					t.Error("the change is not signalled")
				}
			})
		})
	}
}

// Guards against agents that disconnect as soon as they can run a wanted task, and against ones that
// stay connected for good: a requirement is wanted until some time after the last job with it.
func TestRequirementIsWantedWhileJobsHaveIt(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		s := submission("j", 1)
		s.Steps[0].Label = "b"
		co.Adopt(s, job.Progress{}, 1)
		settle(time.Second)
		b := &fakeAgent{c: co, name: "host-2"}
		b.connectLabelled("b")
		heartbeats := func(d time.Duration) {
			for range int(d / (100 * time.Millisecond)) {
				b.c.Handle(b.name, b.connection, &wire.Reports{Status: &wire.Status{OrderedRuns: b.count}})
				settle(100 * time.Millisecond)
			}
		}
		heartbeats(time.Second)
		c.Assert(b.orders, quicktest.HasLen, 1)
		heartbeats(wantedRetention + time.Second)
		c.Check(co.Wanted(), quicktest.HasLen, 1)
		b.report(b.orders[0], wire.RunDone)
		heartbeats(wantedRetention - time.Second)
		c.Check(co.Wanted(), quicktest.HasLen, 1)
		heartbeats(2 * time.Second)
		c.Check(co.Wanted(), quicktest.HasLen, 0)
	})
}

// Guards against jobs that wait at an entry whose endpoints are full while those of another entry are
// idle: after a while without a run a job wants more endpoints.
func TestStarvedJobWantsMoreEndpoints(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		full := submission("full", 32)
		co.Adopt(full, job.Progress{}, 1)
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		busy := func(d time.Duration) {
			for range int(d / (100 * time.Millisecond)) {
				a.c.Handle(a.name, a.connection, &wire.Reports{Status: &wire.Status{OrderedRuns: a.count, Used: wire.Resources{MilliCores: 32000}}})
				settle(100 * time.Millisecond)
			}
		}
		busy(starvedDelay - 200*time.Millisecond)
		c.Check(co.Wanted(), quicktest.HasLen, 0)
		busy(time.Second)
		c.Check(co.Wanted(), quicktest.DeepEquals, []wire.TaskRequirement{{Service: "s", Size: wire.Resources{MilliCores: 1000}}})
	})
}

// Guards against entries that publish a change for each short loss of a connection to an agent.
func TestShortDisconnectIsNotWanted(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		co.Disconnected(a.name, a.connection)
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		settle(wantedDelay / 2)
		a.connect()
		synctest.Wait()
		settle(wantedDelay)
		c.Check(a.orders, quicktest.HasLen, 1)
		c.Check(co.Wanted(), quicktest.HasLen, 0)
	})
}
