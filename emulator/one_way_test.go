package emulator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/internal/bubble"
	"oriolerelay/job"
)

// Guards against overlapping runs of a task whose agent is no longer heard while it runs.
func TestTasksOfUnheardAgentAreStoppedBeforeTheyRunAgain(t *testing.T) {
	withSystem(t, 1, fiveEndpoints, func(c *quicktest.C, s *System) []Answer {
		done := submitAsync(s, 0, testJob("00000000000000b0", 6, 3*time.Second))
		time.Sleep(300 * time.Millisecond)
		s.CutFromAgent(0, 0, true)
		a := <-done
		c.Check(a.State, quicktest.Equals, job.Completed)
		return []Answer{a}
	})
}

// Guards against overlapping runs of a task whose entry no longer hears the agent, while the agent still hears the entry.
func TestAgentCutOffOneWayStopsRunsBeforeTheyAreRepeated(t *testing.T) {
	for _, idle := range []time.Duration{0, 250 * time.Millisecond} {
		t.Run(fmt.Sprintf("idle for %v", idle), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				s := NewSystem(ctx, Fleet(capacity, taskSize, 1, 1, 1), 1, nil)
				time.Sleep(time.Second)
				for i := range 2 {
					s.CutFromAgent(0, i, true)
				}
				time.Sleep(idle)
				answers := []<-chan Answer{}
				for n := range 3 {
					answers = append(answers, submitAsync(s, 0, testJob(fmt.Sprintf("%016x", n), 4, 3*time.Second)))
				}
				time.Sleep(4 * time.Second)
				for i := range 2 {
					s.CutFromAgent(0, i, false)
				}
				var got []Answer
				for _, a := range answers {
					got = append(got, <-a)
				}
				c.Check(s.Check(got), quicktest.HasLen, 0)
				for _, a := range got {
					c.Check(a.State, quicktest.Equals, job.Completed)
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
