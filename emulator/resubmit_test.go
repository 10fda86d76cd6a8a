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

// noticeTime is how long a busy entry needs to learn that the connection of a request has
// ended, when nobody looks at the connection.
const noticeTime = 20 * time.Millisecond

// playResets plays jobs that reach one entry from connections that have been reset, while
// their callers have sent them to another entry already.
func playResets(t *testing.T, s *System, submit func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error)) {
	c := quicktest.New(t)
	var mu sync.Mutex
	var answers []Answer
	var wg sync.WaitGroup
	for n := range 10 {
		j := testJob(string(rune('a'+n)), 4, 100*time.Millisecond)
		j.CallerTimeout = 5 * time.Second
		dead := j
		dead.CallerDisconnected = func() bool { return true }
		ctx, notice := context.WithCancel(t.Context())
		wg.Add(2)
		go func() {
			defer wg.Done()
			_, _ = submit(ctx, 0, dead) // nobody hears the answer
		}()
		go func() {
			defer wg.Done()
			sent := time.Now()
			state, err := submit(t.Context(), 1, j)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, Answer{Job: j.ID, Sent: sent, At: time.Now(), State: state, Err: err})
		}()
		time.Sleep(noticeTime)
		notice()
		time.Sleep(noticeTime)
	}
	wg.Wait()
	c.Check(s.Check(answers), quicktest.HasLen, 0)
	for _, a := range answers {
		c.Check(a.State, quicktest.Equals, job.Completed, quicktest.Commentf("job %s: %v", a.Job, a.Err))
	}
}

// Guards against two runs of a task at the same time: an entry that was busy took a job
// from a connection that had been reset meanwhile, and ordered its tasks, or passed it on,
// while the entry that the caller turned to ran them (truss deployment, trouble-3).
func TestRequestOfADeadConnectionIsNotRun(t *testing.T) {
	for name, entries := range map[string]int{"own agents": 2, "placing entries": 6} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				var s *System
				submit := func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error) {
					return s.Entry(entry).Submit(ctx, j)
				}
				if entries == 2 {
					s = NewSystem(ctx, five(), entries, nil)
				} else {
					s = NewRoutedSystem(ctx, five(), []uint32{100, 100, 800, 800, 100, 100}, nil)
					submit = func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error) {
						return s.Router(entry).Submit(ctx, j)
					}
				}
				time.Sleep(time.Second)
				playResets(t, s, submit)
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}

// Guards against callers that get no answer to their own request. Of two requests with the
// same job at one entry, the one that came first was forgotten: when it was the one that
// was waited for, the job was dropped with the other, and its caller heard nothing until
// its deadline.
func TestBothRequestsOfAJobAreAnswered(t *testing.T) {
	for _, firstIsDead := range []bool{true, false} {
		t.Run(fmt.Sprintf("first is dead %v", firstIsDead), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				s := NewSystem(ctx, five(), 1, nil)
				time.Sleep(time.Second)
				blocker := submitAsync(s, 0, testJob("blocker", 60, 200*time.Millisecond)) // fills all endpoints
				time.Sleep(5 * time.Millisecond)
				dead, live := testJob("j", 2, time.Second), testJob("j", 2, time.Second)
				live.CallerTimeout = 5 * time.Second
				dead.CallerDisconnected = func() bool { return true }
				ctxDead, notice := context.WithCancel(t.Context())
				sendDead := func() { _, _ = s.Entry(0).Submit(ctxDead, dead) }
				if firstIsDead {
					go sendDead()
					time.Sleep(time.Millisecond)
				}
				answer := submitAsync(s, 0, live)
				time.Sleep(time.Millisecond)
				if !firstIsDead {
					go sendDead()
				}
				time.Sleep(noticeTime)
				notice()
				c.Check((<-answer).State, quicktest.Equals, job.Completed)
				<-blocker
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
