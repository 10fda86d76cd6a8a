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
	"oriolerelay/policy"
)

// disconnectNoticeDelay is the time after which a busy entry learns that the connection of a
// request has ended, unless it checks the connection itself.
const disconnectNoticeDelay = 20 * time.Millisecond

// submitOverResetConnections submits jobs that reach one entry over connections that are already
// reset, while their callers have submitted them to another entry.
func submitOverResetConnections(t *testing.T, s *System, submit func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error)) {
	c := quicktest.New(t)
	var mu sync.Mutex
	var answers []Answer
	var wg sync.WaitGroup
	for n := range 10 {
		j := testJob(string(rune('a'+n)), 4, 100*time.Millisecond)
		j.CallerTimeout = 5 * time.Second
		dead := j
		dead.CallerDisconnected = func() bool { return true }
		ctx, noticeDisconnect := context.WithCancel(t.Context())
		wg.Add(2)
		go func() {
			defer wg.Done()
			_, _ = submit(ctx, 0, dead) // nobody receives the answer
		}()
		go func() {
			defer wg.Done()
			sent := time.Now()
			state, err := submit(t.Context(), 1, j)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, Answer{Job: j.ID, SentAt: sent, ReceivedAt: time.Now(), State: state, Err: err})
		}()
		time.Sleep(disconnectNoticeDelay)
		noticeDisconnect()
		time.Sleep(disconnectNoticeDelay)
	}
	wg.Wait()
	c.Check(s.Check(answers), quicktest.HasLen, 0)
	for _, a := range answers {
		c.Check(a.State, quicktest.Equals, job.Completed, quicktest.Commentf("job %s: %v", a.Job, a.Err))
	}
}

// Guards against overlapping runs of a task: a busy entry accepted a job from a connection that had
// been reset meanwhile and ordered its tasks, or forwarded it, while the entry to which the caller
// had resubmitted the job ran the same tasks. Run trouble-3 of the truss deployment failed this way.
func TestRequestOnResetConnectionIsNotRun(t *testing.T) {
	for name, entries := range map[string]int{"own agents": 2, "placement entries": 6} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				var s *System
				submit := func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error) {
					return s.Entry(entry).Submit(ctx, j)
				}
				if entries == 2 {
					s = NewSystem(ctx, fiveEndpoints(), entries, nil)
				} else {
					s = NewRoutedSystem(ctx, fiveEndpoints(), []uint32{100, 100, 800, 800, 100, 100}, nil)
					submit = func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error) {
						return s.Router(entry).Submit(ctx, j)
					}
				}
				time.Sleep(time.Second)
				submitOverResetConnections(t, s, submit)
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}

// Guards against callers that get no answer until their deadline. Of two requests for the same job
// at one entry, the entry kept only the second. If the caller of the second request disconnected,
// the job was dropped although the caller of the first request still waited.
func TestBothRequestsOfAJobAreAnswered(t *testing.T) {
	for _, firstIsDead := range []bool{true, false} {
		t.Run(fmt.Sprintf("first is dead %v", firstIsDead), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				s := NewSystem(ctx, fiveEndpoints(), 1, nil)
				time.Sleep(time.Second)
				blocker := submitAsync(s, 0, testJob("blocker", 60, 200*time.Millisecond)) // uses the capacity of all endpoints
				time.Sleep(5 * time.Millisecond)
				dead, live := testJob("j", 2, time.Second), testJob("j", 2, time.Second)
				live.CallerTimeout = 5 * time.Second
				dead.CallerDisconnected = func() bool { return true }
				deadCtx, noticeDisconnect := context.WithCancel(t.Context())
				sendDead := func() { _, _ = s.Entry(0).Submit(deadCtx, dead) }
				if firstIsDead {
					go sendDead()
					time.Sleep(time.Millisecond)
				}
				answer := submitAsync(s, 0, live)
				time.Sleep(time.Millisecond)
				if !firstIsDead {
					go sendDead()
				}
				time.Sleep(disconnectNoticeDelay)
				noticeDisconnect()
				a := <-answer
				c.Check(a.State, quicktest.Equals, job.Completed)
				c.Check(s.Check([]Answer{<-blocker, a}), quicktest.HasLen, 0)
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}

// resetAndResubmit submits jobs to entry 0 whose connections are reset a few milliseconds later,
// while the job is being forwarded or ordered. The caller submits the job to another entry at once,
// as it does when a kept-alive connection is reset just as it sends, and entry 0 learns of the reset
// after a millisecond.
func resetAndResubmit(ctx context.Context, s *System, resubmitTo int) (answers []Answer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range 20 {
		j := testJob(fmt.Sprintf("%016x", n), 4, 100*time.Millisecond)
		j.CallerTimeout = 5 * time.Second
		first := j
		resetAt := time.Now().Add(time.Duration(1+n) * 300 * time.Microsecond)
		first.CallerDisconnected = func() bool { return !time.Now().Before(resetAt) }
		firstCtx, noticeReset := context.WithCancel(ctx)
		submitTo := func(ctx context.Context, entry int, j job.Submission) {
			wg.Go(func() {
				a := s.Submit(ctx, entry, j)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
		submitTo(firstCtx, 0, first)
		time.Sleep(time.Until(resetAt))
		submitTo(ctx, resubmitTo, j)
		time.Sleep(time.Millisecond)
		noticeReset()
		time.Sleep(300 * time.Millisecond)
	}
	wg.Wait()
	return answers
}

// Guards against overlapping runs of a task: the connection of a request is reset after the entry has
// checked it, and the caller submits the job to another entry at once, which places it at another
// placement entry before the first one has stopped its runs.
func TestResubmissionAfterResetDuringPlacement(t *testing.T) {
	for name, shares := range map[string][]uint32{
		"own agents":        {100, 100},
		"placement entries": {100, 100, 800, 800, 100, 100},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				s := NewPolicySystem(ctx, equalEndpoints(), shares, policy.Policy{}, nil)
				time.Sleep(time.Second)
				answers := resetAndResubmit(ctx, s, 1)
				c.Check(s.Check(answers), quicktest.HasLen, 0)
				for _, a := range answers {
					c.Check(a.Disconnected || a.State == job.Completed, quicktest.IsTrue, quicktest.Commentf("%+v", a))
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}

// equalEndpoints returns endpoints among which the choice for a task is random.
func equalEndpoints() []*Endpoint {
	return Fleet(capacity, taskSize, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
}

// Guards against overlapping runs of a task: a caller disconnects and submits its job to the same
// entry again, which starts the tasks on other endpoints while the stopped runs have not ended.
func TestResubmissionWaitsForStoppedRuns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, stop := context.WithCancel(t.Context())
		s := NewSystem(ctx, equalEndpoints(), 1, nil)
		time.Sleep(time.Second)
		var answers []Answer
		for n := range 10 {
			j := testJob(fmt.Sprintf("%016x", n), 4, 100*time.Millisecond)
			firstCtx, disconnect := context.WithCancel(ctx)
			go func() { s.Submit(firstCtx, 0, j) }()
			time.Sleep(time.Duration(n) * 3 * time.Millisecond)
			disconnect()
			time.Sleep(time.Millisecond)
			answers = append(answers, s.Submit(ctx, 0, j))
		}
		c.Check(s.Check(answers), quicktest.HasLen, 0)
		for _, a := range answers {
			c.Check(a.Disconnected || a.State == job.Completed, quicktest.IsTrue, quicktest.Commentf("%+v", a))
		}
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against overlapping runs of a task whose stop was lost with the connection to the agent: the
// entry runs the resubmitted job before it has learned of the end of the run.
func TestResubmissionWaitsForRunsOfCutOffAgents(t *testing.T) {
	for name, cut := range map[string]time.Duration{"short": 200 * time.Millisecond, "until the lease ends": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				s := NewSystem(ctx, equalEndpoints(), 1, nil)
				time.Sleep(time.Second)
				j := testJob("00000000000000aa", 20, 2*time.Second)
				firstCtx, disconnect := context.WithCancel(ctx)
				go func() { s.Submit(firstCtx, 0, j) }()
				time.Sleep(50 * time.Millisecond)
				setCut := func(isCut bool) {
					for a := range 6 {
						s.Cut(0, a, isCut)
					}
				}
				setCut(true)
				disconnect()
				time.AfterFunc(cut, func() { setCut(false) })
				time.Sleep(time.Millisecond)
				a := s.Submit(ctx, 0, j)
				c.Check(a.State, quicktest.Equals, job.Completed)
				c.Check(s.Check([]Answer{a}), quicktest.HasLen, 0)
				time.Sleep(4 * time.Second)
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
