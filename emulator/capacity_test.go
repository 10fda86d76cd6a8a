package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// Guards against a check that ignores a start over a capacity that has shrunk, a run that is being
// stopped, or memory, and against one that forbids what the platform allows.
func TestCheckFindsStartOverCapacity(t *testing.T) {
	run := func(from, to int, milliCores, memory uint32) Run {
		r := Run{Start: time.Unix(1000, 0).Add(time.Duration(from) * time.Millisecond), Size: wire.Resources{MilliCores: milliCores, MemoryMiB: memory}}
		if to > 0 {
			r.End = time.Unix(1000, 0).Add(time.Duration(to) * time.Millisecond)
		}
		return r
	}
	for _, tc := range []struct {
		name string
		runs []Run
		want bool
	}{
		{"within the capacity", []Run{run(0, 0, 2000, 1), run(0, 0, 2000, 1)}, false},
		{"over it", []Run{run(0, 0, 2000, 1), run(0, 0, 2001, 1)}, true},
		{"memory over it", []Run{run(0, 0, 1, 900), run(0, 0, 1, 200)}, true},
		{"one after the other", []Run{run(0, 500, 4000, 1), run(500, 0, 4000, 1)}, false},
		{"before the other has ended", []Run{run(0, 500, 4000, 1), run(499, 0, 1, 1)}, true},
		{"ends as it begins", []Run{run(0, 0, 4000, 1), run(900, 900, 1, 1)}, false},
		{"running when the capacity shrinks", []Run{run(0, 0, 4000, 1)}, false},
		{"begins when the former capacity still counts", []Run{run(5499, 0, 4000, 1)}, false},
		{"begins when it counts no more", []Run{run(5501, 0, 3001, 1)}, true},
		{"ends after the shrink", []Run{run(0, 6000, 4000, 1), run(5900, 0, 1, 1)}, true},
		{"after the growth", []Run{run(20000, 0, 4000, 1)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := NewEndpoint("e", wire.Resources{MilliCores: 4000, MemoryMiB: 1000}, 1)
			e.pastCapacities = []capacityPeriod{
				{wire.Resources{MilliCores: 4000, MemoryMiB: 1000}, time.Unix(1001, 0)},
				{wire.Resources{MilliCores: 3000, MemoryMiB: 1000}, time.Unix(1019, 0)},
			}
			violations := checkCapacity(e, tc.runs)
			quicktest.Check(t, len(violations) > 0, quicktest.Equals, tc.want, quicktest.Commentf("%v", violations))
		})
	}
}

// Guards against an emulated endpoint that states an old capacity, or that enforces its capacity
// although it should not.
func TestUnenforcedCapacity(t *testing.T) {
	for _, unenforced := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			e := Fleet(capacity, capacity, 1)[0]
			e.Unenforced = unenforced
			time.Sleep(time.Second)
			e.SetCapacity(taskSize)
			c.Check(e.Announcement(false).Profile.Capacity, quicktest.Equals, taskSize)
			time.Sleep(stabilityWindow + heartbeatInterval)
			start(t, e, "t.0.0.0")
			c.Check(e.History(), quicktest.HasLen, map[bool]int{true: 1, false: 0}[unenforced])
			c.Check(Check([]*Endpoint{e}, nil), quicktest.HasLen, map[bool]int{true: 1, false: 0}[unenforced])
		})
	}
}

func start(t *testing.T, e *Endpoint, task string) {
	e.Start(t.Context(), endpointapi.StartRequest{Run: wire.Run{Task: task, Number: 1}, Payload: "100ms", LeaseEnd: e.clockForTest() + time.Second})
}

// saturate submits jobs that fill the endpoints of s, which do not enforce their capacity, until the
// returned function is called.
func saturate(ctx context.Context, s *System) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	callers.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			j := testJob(fmt.Sprintf("%016x", n), 4, 200*time.Millisecond)
			j.Queue.CapacityUnenforced = true
			callers.Go(func() { s.Submit(context.Background(), n%len(s.entries), j) })
			time.Sleep(25 * time.Millisecond)
		}
	})
	return func() { cancel(); callers.Wait() }
}

// lastStart returns the begin of the last run at e.
func lastStart(e *Endpoint) (last time.Time) {
	for _, r := range e.History() {
		if r.Start.After(last) {
			last = r.Start
		}
	}
	return last
}

// changeCapacity lets the capacity of an endpoint shrink and grow at random times until the system
// stops, often while its agent fails.
func (s *playSystem) changeCapacity(random *rand.Rand, endpoint int) {
	e := s.Endpoints[endpoint]
	for {
		for _, n := range []int{1 + random.IntN(4), 10} {
			select {
			case <-time.After(time.Second + time.Duration(random.Int64N(int64(5*time.Second)))):
			case <-s.ctx.Done():
				return
			}
			s.timeline.addFault("capacity of %s: %d tasks", e.Name, n)
			e.SetCapacity(taskSize.Times(n))
			d := time.Second + time.Duration(random.Int64N(int64(6*time.Second)))
			entry := s.listed[random.IntN(len(s.listed))].Address
			s.mu.Lock()
			agent := s.agents[endpoint]
			s.mu.Unlock()
			kind := random.IntN(6)
			if !agent.gate.runs() {
				continue // it fails already
			}
			switch kind {
			case 0:
				s.killAgent(endpoint, d)
			case 1:
				s.freezeAgent(endpoint, d)
			case 2:
				s.killAgent(endpoint, 100*time.Millisecond)
				s.cutLinks(d/4, [2]string{entry, agent.host}, [2]string{agent.host, entry})
			case 3:
				e.SetFaults(Faults{LoseAnnouncements: 1 + random.IntN(4)})
			}
		}
	}
}

// Guards against starts over the capacity of an endpoint that does not enforce it, and against one
// that gets no runs any more.
func TestUnenforcedCapacityIsNotExceeded(t *testing.T) {
	small := taskSize.Times(3)
	for name, change := range map[string]func(s *System, e *Endpoint){
		"constant": func(*System, *Endpoint) {},
		"shrinks":  func(_ *System, e *Endpoint) { e.SetCapacity(small) },
		"shrinks and grows": func(_ *System, e *Endpoint) {
			e.SetCapacity(small)
			time.Sleep(6 * time.Second)
			e.SetCapacity(capacity)
		},
		"shrinks with each announcement": func(_ *System, e *Endpoint) {
			for n := range 7 {
				e.SetCapacity(taskSize.Times(9 - n))
				time.Sleep(heartbeatInterval)
			}
		},
		"shrinks while an announcement is lost": func(_ *System, e *Endpoint) {
			e.SetFaults(Faults{LoseAnnouncements: 1})
			e.SetCapacity(small)
		},
		"shrinks while many announcements are lost": func(_ *System, e *Endpoint) {
			e.SetFaults(Faults{LoseAnnouncements: 4})
			e.SetCapacity(small)
			time.Sleep(7 * time.Second)
		},
		"shrinks while an announcement is delayed": func(s *System, e *Endpoint) {
			delayed := e.Announcement(false)
			e.SetFaults(Faults{LoseAnnouncements: 4})
			e.SetCapacity(small)
			time.Sleep(5 * time.Second)
			s.agents[0].Executor.Announce(delayed)
		},
		"shrinks while the agent is down": func(s *System, e *Endpoint) {
			stored := e.Announcement(false)
			s.agents[0].stop()
			e.SetCapacity(small)
			time.Sleep(5 * time.Second)
			e.SetFaults(Faults{LoseAnnouncements: 1})
			s.KillAgent(0)
			s.agents[0].Executor.Restore(stored)
		},
		"agent restarted while an entry is cut off": func(s *System, _ *Endpoint) {
			s.Cut(0, 0, true)
			s.KillAgent(0)
			time.Sleep(time.Second)
			s.Cut(0, 0, false)
		},
		"calls are lost or late": func(_ *System, e *Endpoint) {
			e.SetFaults(Faults{LossRate: 0.3, Delay: 60 * time.Millisecond})
			time.Sleep(5 * time.Second)
			e.SetFaults(Faults{})
		},
		"crashes": func(_ *System, e *Endpoint) {
			e.Crash()
			time.Sleep(3 * time.Second)
			e.CrashKeepingID()
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				endpoints := Fleet(capacity, taskSize, 1, 1)
				for _, e := range endpoints {
					e.Unenforced = true
				}
				s := NewSystem(ctx, endpoints, 2, nil)
				time.Sleep(2 * time.Second)
				stopLoad := saturate(ctx, s)
				time.Sleep(2 * time.Second)
				change(s, endpoints[0])
				time.Sleep(6 * time.Second)
				c.Check(time.Since(lastStart(endpoints[0])) < 500*time.Millisecond, quicktest.IsTrue)
				stopLoad()
				c.Check(s.Check(nil), quicktest.HasLen, 0)
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
