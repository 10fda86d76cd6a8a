package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"oriolerelay/emulator"
	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/platform/standin"
)

// callerKind is what a caller does while it has no answer. All callers come back when a refusal
// tells them to.
type callerKind int

const (
	// patientCaller waits callerTimeout for an answer, and resubmits resubmitDelay after it got
	// none.
	patientCaller callerKind = iota
	// impatientCaller closes the connection of its first submission after less than
	// resubmitDelay, and resubmits resubmitDelay later.
	impatientCaller
	// promptCaller resubmits a stored job to another entry as soon as its connection breaks.
	promptCaller
	// repeatingCaller resubmits a stored job to another entry seconds after it was accepted.
	repeatingCaller
	callerKinds
)

// maxSubmissions is the number of submissions of one job by its caller, without the repetition
// by a repeatingCaller.
const maxSubmissions = 3

func (k callerKind) String() string {
	return [...]string{patientCaller: "patient", impatientCaller: "impatient", promptCaller: "prompt", repeatingCaller: "repeating"}[k]
}

// generateLoad submits jobs until ctx ends.
func (w *soakRun) generateLoad(ctx context.Context, running *sync.WaitGroup) {
	rng, callerRNG := rand.New(rand.NewPCG(w.Seed, 2)), rand.New(rand.NewPCG(w.Seed, 3))
	clients := make([]*standin.Caller, len(w.callerProxies))
	for i := range clients {
		clients[i] = &standin.Caller{
			HTTP: &http.Client{}, Address: hostPort(w.hostIP(10+i), callersProxyPort), Host: queueHost, Prefix: queuePrefix,
		}
	}
	faultsEnd := time.Now().Add(w.FaultDuration)
	for n := 0; ctx.Err() == nil; n++ {
		ms := []uint32{30, 120, 400, 900}[rng.IntN(4)]
		j := standin.Job{
			ID: fmt.Sprintf("%08x%08x", w.Seed, n), Payload: fmt.Sprintf("%d %d", ms, 2000), Tasks: 1 + rng.IntN(4),
			MilliCores: 2000, MemoryMiB: 64, Estimate: time.Duration(ms) * time.Millisecond, Ephemeral: !w.AllFaults || n%8 != 0,
		}
		if w.CrashingJobs > 0 && n%w.CrashingJobs == 0 && time.Now().Before(faultsEnd) {
			j.Payload += crashingSuffix
			j.Ephemeral = n/w.CrashingJobs%2 == 0
		}
		c := &caller{
			run: w, clients: clients, kind: callerKind(callerRNG.IntN(int(callerKinds))), first: rng.IntN(len(clients)), again: rng.IntN(len(clients)),
			patience: 200*time.Millisecond + time.Duration(callerRNG.Int64N(int64(resubmitDelay-200*time.Millisecond))),
		}
		running.Go(func() { c.submitJob(j) })
		time.Sleep(time.Duration(20+rng.IntN(100)) * time.Millisecond) // offers about half of the capacity
	}
}

// caller is the caller of one job.
type caller struct {
	run          *soakRun
	kind         callerKind
	clients      []*standin.Caller // one per entry
	first, again int               // entries of the first submission and of later ones
	patience     time.Duration
	job          *submittedJob
}

// outcome is what a caller knows after a submission.
type outcome struct {
	answered   bool
	accepted   bool
	broken     bool          // the connection ended before the caller closed it
	retryAfter time.Duration // the delay after which a refused caller may retry
}

// submitJob submits a job until its outcome is known. It continues after the load has ended,
// until the final state of a stored job is known or a time limit has passed.
func (c *caller) submitJob(j standin.Job) {
	w := c.run
	c.job = &submittedJob{Job: j, sent: time.Now()}
	w.mu.Lock()
	w.submittedJobs[j.ID] = c.job
	w.mu.Unlock()
	patience, another := callerTimeout, (c.first+1)%len(c.clients)
	if c.kind == impatientCaller {
		patience = c.patience
	}
	o, entry := c.submit(c.first, patience), c.first
	for range maxSubmissions - 1 {
		next := c.again
		switch {
		case o.broken && c.kind == promptCaller && (!j.Ephemeral || w.PromptEphemeral):
			next = (entry + 1) % len(c.clients)
		case !o.answered:
			time.Sleep(resubmitDelay)
		case o.retryAfter > 0 && time.Since(c.job.sent)+o.retryAfter < callerTimeout:
			time.Sleep(o.retryAfter)
		default:
			if c.kind == repeatingCaller && !j.Ephemeral && o.accepted {
				time.AfterFunc(3*c.patience, func() { c.submit(another, callerTimeout) })
			}
			c.followStored()
			return
		}
		o, entry = c.submit(next, callerTimeout), next
	}
	c.followStored()
}

// followStored polls the state of an accepted stored job until it has ended.
func (c *caller) followStored() {
	h := c.job
	unfinished := func() bool {
		c.run.mu.Lock()
		defer c.run.mu.Unlock()
		return !h.Ephemeral && h.accepted && !h.completed && !h.failed
	}
	for end := time.Now().Add(c.run.FaultDuration + recoveryDelay); unfinished() && time.Now().Before(end); {
		time.Sleep(statePollInterval)
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		a, err := c.clients[c.again].State(ctx, h.ID)
		cancel()
		c.run.mu.Lock()
		h.completed = err == nil && a.State == job.Completed
		h.failed = err == nil && a.State == job.Failed
		c.run.mu.Unlock()
	}
}

// submit submits the job once. The caller closes the connection if there is no answer within
// patience.
func (c *caller) submit(entry int, patience time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	w, h, sent := c.run, c.job, time.Now()
	w.mu.Lock()
	w.unanswered[h.ID] = append(w.unanswered[h.ID], sent)
	w.mu.Unlock()
	got, err := c.clients[entry].Submit(ctx, h.Job, callerTimeout)
	a := emulator.Answer{Job: h.ID, SentAt: sent, ReceivedAt: time.Now(), Disconnected: true}
	switch {
	case err != nil:
	case got.Status == http.StatusOK:
		a.Disconnected = false
		if h.Ephemeral {
			a.State = got.State
		}
	case got.Status == http.StatusTooManyRequests || got.Status == http.StatusServiceUnavailable || got.Status == http.StatusNotFound:
		a.Disconnected = false
		a.Err = errkind.New(errkind.QueueFull, "refused with status %d", got.Status)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
	w.unanswered[h.ID] = slices.DeleteFunc(w.unanswered[h.ID], func(t time.Time) bool { return t.Equal(sent) })
	h.completed = h.completed || a.State == job.Completed
	accepted := err == nil && got.Status == http.StatusOK
	h.accepted = h.accepted || accepted
	w.submissions[h.ID] = append(w.submissions[h.ID], fmt.Sprintf("%.3f to %.3f: %v caller at entry-%d: status %d, error %v",
		sent.Sub(w.startedAt).Seconds(), a.ReceivedAt.Sub(w.startedAt).Seconds(), c.kind, entry+1, got.Status, err))
	return outcome{answered: !a.Disconnected, accepted: accepted, broken: err != nil && ctx.Err() == nil, retryAfter: got.RetryAfter}
}
