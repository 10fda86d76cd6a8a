package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/policy"
)

// Guards against early refusals of an entry that has just started and has no outcomes, or that counts
// on the runs of a lost agent; against one of a job that has started; and against a policy without the
// mechanism that refuses early.
func TestEarlyRefusalNeedsOutcomesAndEnds(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		on, err := policy.New([]string{string(policy.EarlyRefusal)}, nil)
		c.Assert(err, quicktest.IsNil)
		refusedOf20 := func(p policy.Policy) (refused int) {
			co.loop.Do(func() {
				co.cfg.Policy = p
				refused = 20 + len(co.jobs)
				for i := range 20 {
					co.submit(submission(fmt.Sprintf("%d-%d", time.Now().UnixNano(), i), 8), newWaiter(), time.Now())
				}
			})
			synctest.Wait()
			return refused - co.ActiveJobs()
		}
		running, s := newWaiter(), submission("running", 32)
		s.Steps[0].Estimate = time.Second
		co.loop.Do(func() { co.submit(s, running, time.Now()) })
		synctest.Wait()
		c.Check(refusedOf20(on), quicktest.Equals, 0) // they wait 60 ms
		time.Sleep(70 * time.Millisecond)
		co.loop.Do(func() {
			f := &queueForecast{usedAt: time.Now()}
			co.forecasts["q"] = f
			for range 200 {
				f.calibration = f.calibration.Add(1.5, 4, false, time.Now())
			}
		})
		c.Check(refusedOf20(policy.Policy{}), quicktest.Equals, 0)
		time.Sleep(70 * time.Millisecond)
		n := refusedOf20(on)
		c.Check(n > 10 && n <= 20, quicktest.IsTrue, quicktest.Commentf("%d", n)) // a tenth are samples
		c.Check(running.answer, quicktest.HasLen, 0)

		co.Disconnected(a.name, a.connection)
		time.Sleep(1500 * time.Millisecond)
		co.loop.Do(func() {
			_, ok := co.expectedReleases("s", time.Now()).TimeUntilFree(1)
			c.Check(ok, quicktest.IsFalse)
		})
		c.Check(refusedOf20(on), quicktest.Equals, 0)
	})
}
