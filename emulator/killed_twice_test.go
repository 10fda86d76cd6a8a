package emulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/internal/bubble"
	"oriolerelay/job"
)

// restartUnconnected starts another process of an agent that does not reach the entries.
func (s *System) restartUnconnected(agent int) {
	s.timeline.addFault("agent %d starts again, but not connected", agent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[agent] = s.newAgent(agent)
}

// stopAgent kills the process of an agent.
func (s *System) stopAgent(agent int) {
	s.timeline.addFault("agent %d is killed", agent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[agent].stop()
}

// Guards against overlapping runs of a task: the second process of an agent extended the lease of an inherited run and was
// killed before it had connected, so that the run outlived the time after which its entry started the task elsewhere.
func TestRunOfAgentKilledTwiceEndsBeforeItsTaskIsRepeated(t *testing.T) {
	for _, restart := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 690 * time.Millisecond} {
		for _, second := range []time.Duration{30 * time.Millisecond, 200 * time.Millisecond, 390 * time.Millisecond} {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				s := NewSystem(ctx, Fleet(capacity, taskSize, 1, 1), 1, nil)
				time.Sleep(time.Second)
				j := testJob("00000000000000cc", 1, 4*time.Second)
				j.CallerTimeout = 12 * time.Second
				answer := submitAsync(s, 0, j)
				time.Sleep(100 * time.Millisecond)
				agent := 0
				if len(s.Endpoints[1].History()) > 0 {
					agent = 1
				}
				s.stopAgent(agent)
				time.Sleep(restart)
				s.restartUnconnected(agent)
				time.Sleep(second)
				s.stopAgent(agent)
				a := <-answer
				c.Check(a.State, quicktest.Equals, job.Completed)
				c.Check(s.Check([]Answer{a}), quicktest.HasLen, 0, quicktest.Commentf("restart after %v, second kill %v later", restart, second))
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		}
	}
}
