package emulator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
)

// submitFunc submits a job to an entry, as Load.Run calls it.
type submitFunc func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error)

// submitWithTimeout returns a submitFunc whose callers stop waiting after the given time.
func submitWithTimeout(s *System, timeout time.Duration) submitFunc {
	return func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return s.Entry(entry).Submit(ctx, j)
	}
}

// playQueueWithCrashingTasks plays a load of about a third of the capacity in which one job in nth of
// the first queue has a task that crashes endpoints, none if nth is zero. It returns the results of
// the first and of the two other queues, and passes the system to check.
func playQueueWithCrashingTasks(t *testing.T, nth int, check func(c *quicktest.C, s *System, first LoadResult)) (first, others LoadResult) {
	t.Helper()
	const scale, duration, timeout = 0.5, 10 * time.Second, 5 * time.Second
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		s := NewSystem(ctx, elevenEndpoints(), 3, nil)
		var crashing sync.Map
		crashingJobs(s.Endpoints, func(id string) bool { _, ok := crashing.Load(id); return ok })
		time.Sleep(time.Second)
		kinds := StandardKinds(scale, taskSize.MilliCores)
		submit := submitWithTimeout(s, timeout)
		n := 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			first = Load{Kinds: kinds[:1], Duration: duration, Seed: 1, DeclaredSigma: 0.3}.Run(ctx, s,
				func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error) {
					mu.Lock()
					n++
					if nth > 0 && n%nth == 0 {
						crashing.Store(j.ID, true)
					}
					mu.Unlock()
					return submit(ctx, entry, j)
				})
		}()
		others = Load{Kinds: kinds[1:], Duration: duration, Seed: 2, DeclaredSigma: 0.3}.Run(ctx, s, submit)
		wg.Wait()
		check(quicktest.New(t), s, first)
		stop()
		time.Sleep(5 * time.Second)
		synctest.Wait()
	})
	return first, others
}

// Guards against a queue whose tasks crash endpoints taking down so many of them that the callers of
// other queues are not served. The load leaves room for the loss of a rack of three endpoints.
func TestQueueWithCrashingTasksLeavesOthersServed(t *testing.T) {
	const endpoints, rack = 11, 3
	ignore := func(*quicktest.C, *System, LoadResult) {}
	_, want := playQueueWithCrashingTasks(t, 0, ignore)
	first, got := playQueueWithCrashingTasks(t, 10, ignore)
	t.Logf("others: %d of %d in time, %d without crashing tasks; first queue: %d of %d in time",
		got.InTime, got.Submitted, want.InTime, first.InTime, first.Submitted)
	least := want.InTime * (endpoints - rack) / endpoints
	quicktest.Check(t, got.InTime >= least, quicktest.IsTrue, quicktest.Commentf("%d in time, want at least %d", got.InTime, least))
}

// Guards against tasks that crash endpoint after endpoint where several of them run at the same time.
func TestCrashingTasksOfOneQueueAreGivenUp(t *testing.T) {
	playQueueWithCrashingTasks(t, 10, func(c *quicktest.C, s *System, first LoadResult) {
		c.Check(s.Check(first.Answers), quicktest.HasLen, 0)
		c.Check(s.CheckCrashes(crashesBeforeGivingUp, first.Answers), quicktest.HasLen, 0)
	})
}

// Guards against jobs that fail because they ran beside tasks that crashed their endpoints.
func TestJobsBesideCrashingTasksDoNotFail(t *testing.T) {
	playQueueWithCrashingTasks(t, 10, func(c *quicktest.C, s *System, first LoadResult) {
		c.Check(s.CheckCrashes(1<<30, first.Answers), quicktest.HasLen, 0)
	})
}

// Guards against jobs that fail because racks under them lose power one after the other: no task of
// them crashes endpoints.
func TestRackFailuresFailNoJob(t *testing.T) {
	const racks, rackSize, gap = 3, 3, 500 * time.Millisecond
	for name, stored := range map[string]bool{"stored": true, "ephemeral": false} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(context.Background())
				s := NewStoredSystem(ctx, elevenEndpoints(), 2, nil, NewStore(6))
				time.Sleep(5 * time.Second)
				waiting, giveUp := context.WithCancel(ctx)
				callers := callers{system: s, ctx: waiting}
				for i := range 20 {
					j := testJob(fmt.Sprintf("%016x", 0x3000+i), 4, time.Second)
					j.Ephemeral = !stored
					if stored {
						callers.accept(i%2, j)
					} else {
						callers.submit(i%2, j)
					}
				}
				for rack := range racks {
					time.Sleep(gap)
					for _, e := range s.Endpoints[rack*rackSize : (rack+1)*rackSize] {
						e.Crash()
						e.SetFaults(Faults{Down: true})
						time.AfterFunc(crashOutage, func() { e.SetFaults(Faults{}) })
						time.Sleep(time.Millisecond)
					}
				}
				time.Sleep(20 * time.Second)
				giveUp()
				callers.wg.Wait()
				c.Check(s.Check(callers.answers), quicktest.HasLen, 0)
				for id, a := range callers.lastAnswers(ctx) {
					c.Check(a.State, quicktest.Equals, job.Completed, quicktest.Commentf("job %s, %v", id, a.Err))
				}
				stop()
				time.Sleep(5 * time.Second)
				synctest.Wait()
			})
		})
	}
}

// Guards against stored jobs that fail or never end because their tasks are placed again and again
// beside those of other jobs of their queue that crash endpoints. On the bench a task was lost 22
// times while the others of its job were done.
func TestStoredJobsOfCrashingQueueAreCompleted(t *testing.T) {
	const (
		jobs, nth  = 60, 10
		interval   = 100 * time.Millisecond
		finishTime = 14 * time.Second // after the last submission
	)
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, stop := context.WithCancel(context.Background())
		s := NewStoredSystem(ctx, elevenEndpoints(), 2, nil, NewStore(6))
		isCrashing := make(map[string]bool)
		for i := 0; i < jobs; i += nth {
			isCrashing[storedJob(0x4000+i, 1, 0).ID] = true
		}
		crashingJobs(s.Endpoints, func(id string) bool { return isCrashing[id] })
		time.Sleep(5 * time.Second)
		waiting, giveUp := context.WithCancel(ctx)
		callers := callers{system: s, ctx: waiting}
		for i := range jobs {
			callers.accept(i%2, storedJob(0x4000+i, 8, 60*time.Millisecond))
			time.Sleep(interval)
		}
		time.Sleep(finishTime)
		giveUp()
		callers.wg.Wait()
		c.Check(s.Check(nil), quicktest.HasLen, 0)
		c.Check(s.CheckRestarts(callers.stored), quicktest.HasLen, 0)
		wrong := make(map[job.State]int)
		for id, a := range callers.lastAnswers(ctx) {
			if want := map[bool]job.State{false: job.Completed, true: job.Failed}[isCrashing[id]]; a.State != want {
				wrong[a.State]++
			}
		}
		c.Check(wrong, quicktest.HasLen, 0, quicktest.Commentf("states of %d jobs, of which %d crash endpoints", jobs, len(isCrashing)))
		stop()
		time.Sleep(5 * time.Second)
		synctest.Wait()
	})
}
