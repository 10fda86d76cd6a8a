package emulator

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against two concurrent runs of a task: a run counted as lost with its endpoint while its first
// start was in flight and its second one queued, and the next incarnation executed the first.
func TestLateStartInFlightBesideQueuedStart(t *testing.T) {
	withSystem(t, 1, func() []*Endpoint { return Fleet(capacity, taskSize, 1, 1) }, func(c *quicktest.C, s *System) []Answer {
		time.Sleep(4 * time.Second)
		for _, e := range s.Endpoints {
			e.SetFaults(Faults{DelayStarts: 100, Delay: 2 * time.Second})
		}
		answer := submitAsync(s, 0, testJob("00000000000000d1", 24, 5*time.Second))
		time.Sleep(25 * time.Millisecond)
		for _, e := range s.Endpoints {
			e.CrashKeepingID()
			e.SetFaults(Faults{Down: true})
		}
		time.Sleep(300 * time.Millisecond)
		s.Endpoints[1].SetFaults(Faults{}) // the tasks run here
		time.Sleep(1650 * time.Millisecond)
		s.Endpoints[0].SetFaults(Faults{Unresponsive: true})
		time.Sleep(150 * time.Millisecond)
		s.Endpoints[0].SetFaults(Faults{})
		return []Answer{<-answer}
	})
}
