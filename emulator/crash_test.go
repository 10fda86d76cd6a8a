package emulator

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/wire"
)

const (
	// resubmissionDelay is the time after which a caller submits a job again elsewhere.
	resubmissionDelay = 1300 * time.Millisecond
	// crashOutage is the time until an endpoint is back after a crash.
	crashOutage = 3 * time.Second
	// crashesBeforeGivingUp is the number of crashes under a task after which it may be given up.
	crashesBeforeGivingUp = 2
)

func elevenEndpoints() []*Endpoint {
	return Fleet(capacity, taskSize, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1)
}

// crashingJobs makes the first task of the given jobs crash its endpoint 10 ms after its start.
func crashingJobs(endpoints []*Endpoint, isCrashing func(jobID string) bool) {
	for _, e := range endpoints {
		e.CrashOf = func(task, _ string) (Crash, bool) {
			id, err := job.ParseTaskID(task)
			return Crash{After: 10 * time.Millisecond, Outage: crashOutage}, err == nil && id.Index == 0 && isCrashing(id.Job)
		}
	}
}

// callers submits jobs to the entries of a system until each has an answer or they stop waiting.
type callers struct {
	system  *System
	ctx     context.Context // ends when the callers stop waiting
	mu      sync.Mutex
	wg      sync.WaitGroup
	answers []Answer // of ephemeral jobs
	stored  []job.Submission
	n       int
}

// submit submits an ephemeral job, and again elsewhere if its entry dies.
func (c *callers) submit(entry int, j job.Submission) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for range 6 {
			a := c.system.Submit(c.ctx, entry, j)
			a.Disconnected = a.Disconnected || a.Err != nil && a.Err.Kind == errkind.HomeLost
			c.mu.Lock()
			c.answers = append(c.answers, a)
			c.mu.Unlock()
			if a.Err == nil || c.ctx.Err() != nil {
				return
			}
			time.Sleep(resubmissionDelay)
			entry = 1 - entry
		}
	}()
}

// accept hands in a stored job, and again elsewhere if its entry dies or refuses it.
func (c *callers) accept(entry int, j job.Submission) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for c.ctx.Err() == nil && c.system.Ledger(entry).Accept(c.ctx, j) != nil {
			time.Sleep(resubmissionDelay)
			entry = 1 - entry
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stored = append(c.stored, j)
	}()
}

// innocent submits a stored and an ephemeral job of two other queues every 100 ms.
func (c *callers) innocent(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(100 * time.Millisecond) {
		stored := storedJob(0x1000+c.n, 2, 200*time.Millisecond)
		stored.Queue.Name = "stored"
		c.accept(c.n%2, stored)
		ephemeral := testJob(fmt.Sprintf("%016x", 0x2000+c.n), 4, 60*time.Millisecond)
		ephemeral.Queue.Name = "ephemeral"
		c.submit((c.n+1)%2, ephemeral)
		c.n++
	}
}

// lastAnswers returns the last answer to each ephemeral job, and the states of the stored jobs.
func (c *callers) lastAnswers(ctx context.Context) map[string]Answer {
	out := make(map[string]Answer)
	for _, a := range c.answers {
		out[a.Job] = a
	}
	for _, j := range c.stored {
		state, err := c.system.Ledger(0).State(ctx, j.ID)
		out[j.ID] = Answer{Job: j.ID, State: state, Err: err}
	}
	return out
}

// lastOrderer returns the entry that ordered the last run of a task.
func (s *System) lastOrderer(task string) (entry int) {
	s.timeline.mu.Lock()
	defer s.timeline.mu.Unlock()
	for _, e := range slices.Backward(s.timeline.events) {
		switch e.message.(type) {
		case *wire.Orders, *wire.Claim:
			if runMessageText(e.message, task) != "" {
				number, _, _ := strings.Cut(strings.TrimPrefix(e.from, "entry-"), ".")
				entry, _ = strconv.Atoi(number)
				return entry
			}
		}
	}
	return 0
}

// onCrash makes each crash that a task causes call f with the number of crashes up to it.
func (s *System) onCrash(f func(number, endpoint int, task string)) {
	var mu sync.Mutex
	number := 0
	for i, e := range s.Endpoints {
		e.OnCrash = func(task string) {
			mu.Lock()
			defer mu.Unlock()
			number++
			f(number, i, task)
		}
	}
}

// runCrashingJob submits a job whose first task crashes endpoints among innocent stored and ephemeral
// jobs, calls onCrash at each crash, and checks that the job fails and all others are completed.
func runCrashingJob(t *testing.T, stored bool, mostCrashes int, onCrash func(s *System, number, endpoint int, task string)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, stop := context.WithCancel(context.Background())
		s := NewStoredSystem(ctx, elevenEndpoints(), 2, nil, NewStore(6))
		crashing := testJob("00000000000000cc", 4, 400*time.Millisecond)
		crashing.Ephemeral = !stored
		crashingJobs(s.Endpoints, func(id string) bool { return id == crashing.ID })
		time.Sleep(5 * time.Second)
		s.onCrash(func(number, endpoint int, task string) { onCrash(s, number, endpoint, task) })
		waiting, giveUp := context.WithCancel(ctx)
		callers := callers{system: s, ctx: waiting}
		callers.innocent(500 * time.Millisecond)
		if stored {
			callers.accept(0, crashing)
		} else {
			callers.submit(0, crashing)
		}
		callers.innocent(5 * time.Second)
		time.Sleep(20 * time.Second)
		giveUp()
		callers.wg.Wait()
		c.Check(s.Check(callers.answers), quicktest.HasLen, 0)
		c.Check(s.CheckRestarts(callers.stored), quicktest.HasLen, 0)
		last := callers.lastAnswers(ctx)
		var answers []Answer
		missing := 0
		for id, a := range last {
			answers = append(answers, a)
			if id != crashing.ID && a.State != job.Completed {
				missing++
			}
		}
		c.Check(missing, quicktest.Equals, 0, quicktest.Commentf("innocent jobs that were not completed, of %d", 2*callers.n))
		c.Check(last[crashing.ID].State, quicktest.Equals, job.Failed)
		c.Check(last, quicktest.HasLen, 2*callers.n+1)
		c.Check(s.CheckCrashes(mostCrashes, answers), quicktest.HasLen, 0)
		stop()
		time.Sleep(5 * time.Second)
		synctest.Wait()
	})
}

// runCrashingJobs runs runCrashingJob for a stored and for an ephemeral job.
func runCrashingJobs(t *testing.T, mostCrashes int, onCrash func(s *System, number, endpoint int, task string)) {
	for name, stored := range map[string]bool{"stored": true, "ephemeral": false} {
		t.Run(name, func(t *testing.T) { runCrashingJob(t, stored, mostCrashes, onCrash) })
	}
}

// Guards against a task that crashes endpoint after endpoint, and takes other jobs down with them.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	runCrashingJobs(t, crashesBeforeGivingUp, func(*System, int, int, string) {})
}

// Guards against crashes that are forgotten when the entry that saw them dies.
func TestCrashesAreKnownAfterEntryDeath(t *testing.T) {
	runCrashingJobs(t, crashesBeforeBudget, func(s *System, _, _ int, task string) {
		entry := s.lastOrderer(task)
		time.AfterFunc(30*time.Millisecond, func() { s.KillEntry(entry) })
	})
}

// Guards against crashes that are forgotten when the agent beside the endpoint dies at the crash and
// the entry right after it, twice in a row.
func TestCrashesAreKnownAfterAgentAndEntryDeath(t *testing.T) {
	const deaths = 2
	runCrashingJobs(t, crashesBeforeBudget+maxStartsAfterCrashes, func(s *System, number, endpoint int, task string) {
		if number > deaths {
			return
		}
		entry := s.lastOrderer(task)
		s.KillAgent(endpoint)
		time.AfterFunc(30*time.Millisecond, func() { s.KillEntry(entry) })
	})
}
