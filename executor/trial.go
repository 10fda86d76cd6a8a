package executor

import (
	"time"

	"oriolerelay/job"
	"oriolerelay/wire"
)

// trial is the newest job on trial: one of a queue whose tasks crash endpoints. Until its tasks have
// run for long enough to be cleared, no other one starts, so that a crash names its job.
type trial struct {
	job    string
	shared bool // with other jobs that have it set
	until  time.Time
}

// trialLeft returns how long an order of a job on trial has to wait for the trial of another one.
func (x *Executor) trialLeft(id wire.Run, g *wire.OrderGroup, now time.Time) time.Duration {
	if g.TrialMillis == 0 || x.trial.job == trialJob(id) || g.TrialShared && x.trial.shared {
		return 0
	}
	return max(x.trial.until.Sub(now), 0)
}

// beginTrial begins the trial of the job of a run that was accepted.
func (x *Executor) beginTrial(id wire.Run, g *wire.OrderGroup, now time.Time) {
	if g.TrialMillis > 0 {
		x.trial = trial{trialJob(id), g.TrialShared, now.Add(time.Duration(g.TrialMillis) * time.Millisecond)}
	}
}

// trialJob returns the job of a run; a malformed task id counts as a job of its own.
func trialJob(id wire.Run) string {
	t, err := job.ParseTaskID(id.Task)
	if err != nil {
		return id.Task
	}
	return t.Job
}
