package emulator

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/job"
)

// crashBeforeLateStart submits a job of one task, whose start gets no reply and is executed after 2 s,
// and crashes the endpoint that was called, so that connections to it are refused. The clock of its
// next incarnation has not reached the lease end of the start.
func crashBeforeLateStart(s *System) (crashed *Endpoint, answer <-chan Answer) {
	time.Sleep(4 * time.Second)
	for _, e := range s.Endpoints {
		e.SetFaults(Faults{DelayStarts: 1, Delay: 2 * time.Second})
	}
	answer = submitAsync(s, 0, testJob("00000000000000c1", 1, 5*time.Second))
	time.Sleep(10 * time.Millisecond)
	for _, e := range s.Endpoints {
		called := e.Faults().DelayStarts == 0
		e.SetFaults(Faults{Down: called})
		if called {
			crashed = e
		}
	}
	crashed.CrashKeepingID()
	return crashed, answer
}

// Guards against two concurrent runs of a task: a start without a reply was executed by the next
// incarnation of an endpoint with the same id, after a refused connection had ended the run.
func TestLateStartAfterRefusedConnection(t *testing.T) {
	withSystem(t, 1, twoEndpoints, func(_ *quicktest.C, s *System) []Answer {
		crashed, answer := crashBeforeLateStart(s)
		time.Sleep(1900 * time.Millisecond)
		crashed.SetFaults(Faults{Unresponsive: true})
		time.Sleep(200 * time.Millisecond)
		crashed.SetFaults(Faults{})
		return []Answer{<-answer}
	})
}

// Guards against a task that is held back for longer than its late start needs: until the endpoint
// has another id, or for good if it does not return.
func TestTaskWithLateStartRunsElsewhere(t *testing.T) {
	for name, latest := range map[string]time.Duration{"endpoint has another id": 800 * time.Millisecond, "endpoint stays down": 14 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, 1, twoEndpoints, func(c *quicktest.C, s *System) []Answer {
				began := time.Now().Add(4 * time.Second)
				crashed, answer := crashBeforeLateStart(s)
				if name == "endpoint has another id" {
					time.Sleep(500 * time.Millisecond)
					crashed.Crash()
					crashed.SetFaults(Faults{})
				}
				a := <-answer
				c.Check(a.State, quicktest.Equals, job.Completed)
				c.Check(a.ReceivedAt.Sub(began) < latest+5*time.Second, quicktest.IsTrue, quicktest.Commentf("took %v", a.ReceivedAt.Sub(began)))
				return []Answer{a}
			})
		})
	}
}

// Guards against two concurrent runs of a task: a start without a reply was executed by an endpoint
// that did not respond, after the lease had ended. The lease counted from the execution.
func TestLateStartAfterLeaseEnd(t *testing.T) {
	withSystem(t, 1, twoEndpoints, func(_ *quicktest.C, s *System) []Answer {
		for _, e := range s.Endpoints {
			e.SetFaults(Faults{DelayStarts: 1, Delay: 2 * time.Second, LateGrants: true})
		}
		answer := submitAsync(s, 0, testJob("00000000000000c2", 1, 5*time.Second))
		time.Sleep(10 * time.Millisecond)
		for _, e := range s.Endpoints {
			e.SetFaults(Faults{Unresponsive: e.Faults().DelayStarts == 0})
		}
		time.Sleep(3 * time.Second)
		for _, e := range s.Endpoints {
			e.SetFaults(Faults{})
		}
		return []Answer{<-answer}
	})
}
