package executor

import (
	"context"
	"errors"
	"fmt"
	"math"
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

// incarnationEndpoint rejects calls for another incarnation, as the platform's endpoints do.
type incarnationEndpoint struct {
	fakeEndpoint
	instance string
	silent   bool // calls get no reply
}

var errNoReply = errors.New("no reply")

// set makes the endpoint another incarnation, which has no runs.
func (e *incarnationEndpoint) set(instance string, startMillis int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance, e.startMillis, e.running, e.ended = instance, startMillis, make(map[wire.Run]bool), nil
}

func (e *incarnationEndpoint) setSilent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = true
}

func (e *incarnationEndpoint) check(instance string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.silent:
		return errNoReply
	case instance != e.instance:
		return &endpointapi.OtherInstanceError{Instance: e.instance}
	}
	return nil
}

func (e *incarnationEndpoint) Start(ctx context.Context, o endpointapi.StartRequest) endpointapi.StartReply {
	switch err := e.check(o.Instance); {
	case errors.Is(err, errNoReply):
		return endpointapi.StartReply{Err: err}
	case err != nil:
		return endpointapi.StartReply{Result: endpointapi.StartOtherInstance, Err: err}
	}
	return e.fakeEndpoint.Start(ctx, o)
}

func (e *incarnationEndpoint) Stop(ctx context.Context, o endpointapi.StopRequest) error {
	if err := e.check(o.Instance); err != nil {
		return err
	}
	return e.fakeEndpoint.Stop(ctx, o)
}

func (e *incarnationEndpoint) Observe(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
	if err := e.check(o.Instance); err != nil {
		return endpointapi.Observation{}, err
	}
	return e.fakeEndpoint.Observe(ctx, o)
}

// savedAnnouncements records the announcements that an executor saves.
type savedAnnouncements struct {
	mu   sync.Mutex
	list []endpointapi.Announcement
}

func (s *savedAnnouncements) save(a endpointapi.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, a)
}

// incarnations returns the incarnations that were saved, in order.
func (s *savedAnnouncements) incarnations() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.list {
		out = append(out, fmt.Sprint(a.Profile.Instance, " ", a.StartMillis))
	}
	return out
}

// bornMillis is the start time of the endpoint of these tests.
const bornMillis = 1_767_772_800_000

// trueIncarnation is the endpoint of these tests in the form of savedAnnouncements.incarnations.
var trueIncarnation = fmt.Sprint("i-1 ", bornMillis)

// withIncarnations runs f with an executor that has received no announcement, and whose endpoint
// is instance i-1 started at bornMillis.
func withIncarnations(t *testing.T, f func(c *quicktest.C, x *Executor, e *incarnationEndpoint, entry *fakeEntry, saved *savedAnnouncements)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Second)
			synctest.Wait()
		}()
		e := &incarnationEndpoint{fakeEndpoint: fakeEndpoint{maxListed: 500}}
		e.set("i-1", bornMillis)
		saved := &savedAnnouncements{}
		x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry()), Save: saved.save})
		go x.Run(ctx)
		entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.1", entry.send)
		f(quicktest.New(t), x, e, entry, saved)
	})
}

func announcement(instance string, startMillis int64, sequence uint64) endpointapi.Announcement {
	return endpointapi.Announcement{
		Profile:     wire.Profile{Instance: instance, Service: "s", Capacity: wire.Resources{MilliCores: 4000}},
		StartMillis: startMillis, Sequence: sequence, Clock: time.Hour,
	}
}

// falseAnnouncements returns announcements of incarnations that the endpoint never was.
func falseAnnouncements() map[string]endpointapi.Announcement {
	return map[string]endpointapi.Announcement{
		"other instance, later start":    announcement("i-9", bornMillis+1, 1),
		"other instance, same start":     announcement("i-9", bornMillis, 1),
		"other instance, no start time":  announcement("i-9", 0, 1),
		"other instance, latest start":   announcement("i-9", math.MaxInt64, math.MaxUint64),
		"same instance, later start":     announcement("i-1", bornMillis+1, 1),
		"same instance, latest start":    announcement("i-1", math.MaxInt64, math.MaxUint64),
		"same instance, no start time":   announcement("i-1", 0, math.MaxUint64),
		"same instance, negative start":  announcement("i-1", math.MinInt64, math.MaxUint64),
		"other instance, negative start": announcement("i-9", math.MinInt64, 1),
	}
}

// checkUsable checks that the endpoint is known as i-1 and executes an order.
func checkUsable(c *quicktest.C, x *Executor, e *incarnationEndpoint, sequence uint64) {
	c.Helper()
	c.Check(x.Announce(announcement("i-1", bornMillis, sequence)), quicktest.IsTrue)
	next := wire.Run{Task: "next.0.0.0", Number: 1}
	sendOrder(x, false, next)
	sendHeartbeats(x, 300*time.Millisecond)
	c.Check(e.runs()[next], quicktest.IsTrue)
}

// Guards against two concurrent runs of a task, and against an endpoint that stays closed: an
// announcement of an incarnation that does not exist ended the runs of the true one for the
// entries, which started the tasks elsewhere, and made all later true announcements stale.
func TestFalseAnnouncementDoesNotEndRuns(t *testing.T) {
	for name, odd := range falseAnnouncements() {
		t.Run(name, func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, entry *fakeEntry, saved *savedAnnouncements) {
				run := wire.Run{Task: "t.0.0.0", Number: 1}
				c.Assert(x.Announce(announcement("i-1", bornMillis, 1)), quicktest.IsTrue)
				sendOrder(x, false, run)
				sendHeartbeats(x, 100*time.Millisecond)
				c.Check(x.Announce(odd), quicktest.IsFalse)
				sendHeartbeats(x, 300*time.Millisecond)
				c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
				c.Check(e.runs()[run], quicktest.IsTrue)
				checkUsable(c, x, e, 2)
				c.Check(saved.incarnations(), quicktest.DeepEquals, []string{trueIncarnation})
			})
		})
	}
}

// Guards against an endpoint that is closed for good because the first announcement that an
// agent received named another incarnation.
func TestFalseFirstAnnouncement(t *testing.T) {
	for name, odd := range falseAnnouncements() {
		t.Run(name, func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, _ *fakeEntry, saved *savedAnnouncements) {
				x.Announce(odd)
				sendHeartbeats(x, 200*time.Millisecond)
				checkUsable(c, x, e, 2)
				c.Check(saved.incarnations(), quicktest.DeepEquals, []string{trueIncarnation})
			})
		})
	}
}

// Guards against an endpoint that is closed for good because the announcement that an earlier
// process of the agent stored names another incarnation.
func TestFalseStoredAnnouncement(t *testing.T) {
	for name, odd := range falseAnnouncements() {
		t.Run(name, func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, _ *fakeEntry, saved *savedAnnouncements) {
				x.Restore(odd)
				sendHeartbeats(x, 500*time.Millisecond)
				checkUsable(c, x, e, 2)
				c.Check(saved.incarnations(), quicktest.DeepEquals, []string{trueIncarnation})
			})
		})
	}
}

// Guards against an endpoint that stays closed after a restart because the clock of its host was
// set back.
func TestEndpointRestartAfterClockWasSetBack(t *testing.T) {
	withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, _ *fakeEntry, _ *savedAnnouncements) {
		e.set("i-0", bornMillis+2000)
		c.Assert(x.Announce(announcement("i-0", bornMillis+2000, 1)), quicktest.IsTrue)
		sendHeartbeats(x, time.Second)
		e.set("i-1", bornMillis)
		x.Announce(announcement("i-1", bornMillis, 1))
		sendHeartbeats(x, time.Second)
		checkUsable(c, x, e, 2)
	})
}

// Guards against runs that never count as lost: the lease end was computed from a clock reading
// in an announcement that cannot be true.
func TestFalseClockDoesNotExtendLease(t *testing.T) {
	for name, clock := range map[string]time.Duration{"too large": 1 << 62, "negative": -1 << 62} {
		t.Run(name, func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, entry *fakeEntry, _ *savedAnnouncements) {
				run := wire.Run{Task: "t.0.0.0", Number: 1}
				a := announcement("i-1", bornMillis, 1)
				a.Clock = clock
				x.Announce(a)
				sendHeartbeats(x, 100*time.Millisecond)
				sendOrder(x, false, run)
				sendHeartbeats(x, 100*time.Millisecond)
				c.Assert(e.runs()[run], quicktest.IsTrue)
				e.setSilent()
				sendHeartbeats(x, 1500*time.Millisecond)
				c.Check(entry.state(run), quicktest.Equals, wire.RunLost)
			})
		})
	}
}

// Guards against two concurrent runs of a task: a deregistration that was delayed until the
// endpoint had started again under its id, or that came from other software, ended all its runs
// for the entries.
func TestDeregistrationEndsRunsOnlyWithEndpoint(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprint("ended=", ended), func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, entry *fakeEntry, _ *savedAnnouncements) {
				run := wire.Run{Task: "t.0.0.0", Number: 1}
				c.Assert(x.Announce(announcement("i-1", bornMillis, 1)), quicktest.IsTrue)
				sendOrder(x, false, run)
				sendHeartbeats(x, 100*time.Millisecond)
				if ended {
					e.set("i-2", bornMillis+1)
				}
				x.Deregister("i-1")
				sendHeartbeats(x, 100*time.Millisecond)
				c.Check(entry.state(run) == wire.RunLost, quicktest.Equals, ended)
				if !ended {
					checkUsable(c, x, e, 2)
				}
			})
		})
	}
}

// Guards against an announcement with a false sequence number that makes all true ones after it
// stale: the endpoint stayed closed, or got runs while it was draining.
func TestFalseSequenceDoesNotHideLaterAnnouncements(t *testing.T) {
	for _, oddDraining := range []bool{false, true} {
		t.Run(fmt.Sprint("draining=", oddDraining), func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, _ *fakeEntry, _ *savedAnnouncements) {
				closed := func() (reason wire.RejectReason) {
					x.loop.Do(func() { reason = x.closedReason() })
					return reason
				}
				a := announcement("i-1", bornMillis, 1)
				c.Assert(x.Announce(a), quicktest.IsTrue)
				odd := announcement("i-1", bornMillis, math.MaxUint64)
				odd.Draining = oddDraining
				x.Announce(odd)
				if !oddDraining {
					draining := a
					draining.Sequence, draining.Draining = 2, true
					c.Check(x.Announce(draining), quicktest.IsTrue)
					c.Check(closed(), quicktest.Equals, wire.RejectDraining)
					return
				}
				c.Check(closed(), quicktest.Equals, wire.RejectDraining)
				for range 4 {
					time.Sleep(time.Second)
					a.Sequence++
					x.Announce(a)
				}
				c.Check(closed(), quicktest.Equals, wire.RejectReason(0))
			})
		})
	}
}

// Guards against announcements that were delayed together and that open a draining endpoint again.
func TestDelayedAnnouncementsDoNotReopenEndpoint(t *testing.T) {
	withIncarnations(t, func(c *quicktest.C, x *Executor, _ *incarnationEndpoint, _ *fakeEntry, _ *savedAnnouncements) {
		draining := announcement("i-1", bornMillis, 9)
		draining.Draining = true
		c.Assert(x.Announce(draining), quicktest.IsTrue)
		for sequence := range uint64(9) {
			c.Check(x.Announce(announcement("i-1", bornMillis, sequence)), quicktest.IsFalse)
		}
		time.Sleep(3 * time.Second)
		draining.Sequence++
		c.Check(x.Announce(draining), quicktest.IsTrue)
		c.Check(x.Announce(announcement("i-1", bornMillis, 8)), quicktest.IsFalse)
	})
}

// Guards against an endpoint whose service or capacity stays false until its end because one
// announcement stated another one, and against a single one that replaces the true profile.
func TestFalseProfileDoesNotStay(t *testing.T) {
	for _, oddFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("first=", oddFirst), func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, _ *incarnationEndpoint, _ *fakeEntry, saved *savedAnnouncements) {
				var mu sync.Mutex
				var sent []wire.Profile
				x.Connected("entry.2", func(m wire.Message) error {
					mu.Lock()
					defer mu.Unlock()
					if s, ok := m.(*wire.Status); ok && s.Profile != nil {
						sent = append(sent, *s.Profile)
					}
					return nil
				})
				valid, odd := announcement("i-1", bornMillis, 1), announcement("i-1", bornMillis, 1)
				odd.Profile.Service, odd.Profile.Capacity.MilliCores = "other", 64000
				odd.Profile.Labels = []string{"x"}
				announce := func(a endpointapi.Announcement, sequence uint64) {
					a.Sequence = sequence
					c.Check(x.Announce(a), quicktest.IsTrue)
					time.Sleep(time.Second)
				}
				want := []wire.Profile{valid.Profile}
				if oddFirst {
					announce(odd, 1)
					want = []wire.Profile{odd.Profile, valid.Profile}
				} else {
					announce(valid, 1)
				}
				announce(valid, 2)
				announce(odd, 3)
				announce(valid, 4)
				odd.Draining = true
				announce(odd, 5)
				savedProfile := func() wire.Profile {
					saved.mu.Lock()
					defer saved.mu.Unlock()
					return saved.list[len(saved.list)-1].Profile
				}
				c.Check(savedProfile(), quicktest.DeepEquals, want[0]) // the known profile
				announce(valid, 6)
				announce(valid, 7)
				mu.Lock()
				defer mu.Unlock()
				c.Check(sent, quicktest.DeepEquals, want)
				c.Check(savedProfile(), quicktest.DeepEquals, valid.Profile)
			})
		})
	}
}

// Guards against two concurrent runs of a task: claimed runs that execute were reported as lost
// because a delayed first announcement, accepted while the endpoint did not answer, named an
// earlier incarnation.
func TestUnconfirmedFirstAnnouncementKeepsClaimedRuns(t *testing.T) {
	withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, entry *fakeEntry, _ *savedAnnouncements) {
		run := wire.Run{Task: "t.0.0.0", Number: 1}
		e.mu.Lock()
		e.running[run], e.silent = true, true
		e.mu.Unlock()
		x.Handle("entry.1", 1, &wire.Claim{Groups: []wire.OrderGroup{{Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 100, Runs: []wire.Run{run}}}})
		x.Announce(announcement("i-0", bornMillis-1, 9))
		sendHeartbeats(x, 100*time.Millisecond)
		e.mu.Lock()
		e.silent = false
		e.mu.Unlock()
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
		c.Check(x.Announce(announcement("i-1", bornMillis, 1)), quicktest.IsTrue)
		sendHeartbeats(x, 200*time.Millisecond)
		c.Check(e.runs()[run], quicktest.IsTrue)
		c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
	})
}
