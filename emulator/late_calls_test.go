package emulator

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/job"
)

func twoEndpoints() []*Endpoint { return Fleet(capacity, taskSize, 1, 1) }

// startedAt returns the index of the endpoint that first started a run.
func startedAt(s *System) int {
	for i, e := range s.Endpoints {
		if len(e.History()) > 0 {
			return i
		}
	}
	return -1
}

// Guards against two concurrent runs of a task: observations without a reply extended the lease
// seconds later, when the agent had died or had reported the run as lost after the lease end.
func TestLateGrantsDoNotOutliveAgent(t *testing.T) {
	for name, fail := range map[string]func(s *System, i int){
		"agent dead":              func(s *System, i int) { s.agents[i].stop() },
		"endpoint does not reply": func(s *System, i int) { s.Endpoints[i].SetFaults(Faults{Unresponsive: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, 1, twoEndpoints, func(c *quicktest.C, s *System) []Answer {
				for _, e := range s.Endpoints {
					e.SetFaults(Faults{LossRate: 0.5, Delay: 2 * time.Second, LateGrants: true})
				}
				answer := submitAsync(s, 0, testJob("00000000000000ba", 1, 8*time.Second))
				time.Sleep(2500 * time.Millisecond)
				i := startedAt(s)
				c.Assert(i, quicktest.Not(quicktest.Equals), -1)
				for _, e := range s.Endpoints {
					e.SetFaults(Faults{})
				}
				fail(s, i)
				time.Sleep(6 * time.Second)
				c.Check(s.Endpoints[1-i].History(), quicktest.HasLen, 1)
				return []Answer{<-answer}
			})
		})
	}
}

// Guards against two concurrent runs of a task: a start without a reply was executed by the next
// incarnation of the endpoint, which had the same id, after the run had been reported as lost. The
// clock of the new incarnation had not reached the lease end of that start.
func TestLateStartAfterRestartWithSameID(t *testing.T) {
	withSystem(t, 1, twoEndpoints, func(_ *quicktest.C, s *System) []Answer {
		time.Sleep(4 * time.Second)
		for _, e := range s.Endpoints {
			e.SetFaults(Faults{DelayStarts: 1, Delay: 2 * time.Second})
		}
		answer := submitAsync(s, 0, testJob("00000000000000bb", 1, 5*time.Second))
		time.Sleep(10 * time.Millisecond)
		for _, e := range s.Endpoints {
			e.mu.Lock()
			called := e.faults.DelayStarts == 0
			e.mu.Unlock()
			if called {
				e.CrashKeepingID()
			}
		}
		return []Answer{<-answer}
	})
}

// Guards against an agent that the endpoint ignores for good because an earlier process of the agent
// used a higher fencing token, as after a jump of the time of day.
func TestAgentWithLowFencingTokenRecovers(t *testing.T) {
	withSystem(t, 1, twoEndpoints, func(c *quicktest.C, s *System) []Answer {
		for _, e := range s.Endpoints {
			e.mu.Lock()
			e.fencingToken += 5_000_000
			e.mu.Unlock()
		}
		answers := []Answer{submit(s, 0, testJob("00000000000000bc", 4, 100*time.Millisecond))}
		time.Sleep(time.Second)
		answers = append(answers, submit(s, 0, testJob("00000000000000bd", 4, 100*time.Millisecond)))
		last := answers[1]
		c.Check(last.Err == nil, quicktest.IsTrue)
		c.Check(last.ReceivedAt.Sub(last.SentAt) < 160*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", last.ReceivedAt.Sub(last.SentAt)))
		for i := range s.Endpoints {
			s.KillAgent(i)
		}
		time.Sleep(time.Second)
		return append(answers, submit(s, 0, testJob("00000000000000be", 4, 100*time.Millisecond)))
	})
}

// Guards against two concurrent runs of a task: a start without a reply that an earlier process of
// the agent had sent was executed when no entry knew of the run any more, and the new process did
// not observe its idle endpoint.
func TestLateStartOfEarlierAgentProcess(t *testing.T) {
	withSystem(t, 2, twoEndpoints, func(c *quicktest.C, s *System) []Answer {
		for _, e := range s.Endpoints {
			e.SetFaults(Faults{DelayStarts: 1, Delay: 2 * time.Second, LateGrants: true})
		}
		j := testJob("00000000000000bf", 1, 5*time.Second)
		submitAsync(s, 0, j)
		time.Sleep(10 * time.Millisecond)
		s.KillEntry(0)
		for i, e := range s.Endpoints {
			e.mu.Lock()
			called := e.faults.DelayStarts == 0
			e.mu.Unlock()
			e.SetFaults(Faults{})
			if called {
				s.KillAgent(i)
				e.SetSlowness(10) // the other endpoint gets the next run
			}
		}
		time.Sleep(1300 * time.Millisecond)
		a := submit(s, 1, j)
		c.Check(a.Err == nil, quicktest.IsTrue)
		return []Answer{a}
	})
}

// Guards against two concurrent runs of a task: an idle endpoint starts again under the same id, and
// the agent, which has not noticed, reports a run as lost that the new incarnation has started.
func TestRunStartedByUnnoticedIncarnation(t *testing.T) {
	withSystem(t, 1, twoEndpoints, func(c *quicktest.C, s *System) []Answer {
		time.Sleep(200 * time.Millisecond) // no announcement for a while
		s.Endpoints[0].CrashKeepingID()
		a := submit(s, 0, testJob("00000000000000bf", 8, 300*time.Millisecond))
		c.Check(a.State, quicktest.Equals, job.Completed)
		return []Answer{a}
	})
}
