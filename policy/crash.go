package policy

import (
	"time"
)

// TaskCrash is a crash of an endpoint during a run of a task.
type TaskCrash struct {
	// Elapsed is the time from the start of the run to the crash.
	Elapsed time.Duration
	// Unanswered is set if the endpoint had not answered the start, so that the run may not have
	// begun.
	Unanswered bool
	// Widespread is set if several endpoints crashed at the same moment, which one task cannot cause.
	Widespread bool
}

const (
	// maxTaskCrashes is the number of crashes after which a task is given up in any case.
	maxTaskCrashes = 3
	// crashDelayTolerance is how much the delay from the start of a task to the crash may vary. An
	// agent notices a crash up to an observation interval late.
	crashDelayTolerance = 30 * time.Millisecond
	// maxChanceOfCoincidence is the probability up to which two crashes with the same delay are not
	// put down to chance.
	maxChanceOfCoincidence = 0.05
)

// CrashVerdict says whether a task is taken to cause the crashes during its runs.
type CrashVerdict uint8

// Crash verdicts. Of several tasks that are probably guilty of one crash none is given up.
const (
	Suspected CrashVerdict = iota
	ProbablyGuilty
	Guilty
)

// JudgeTask judges a task by the crashes during its runs. After two of them it is probably guilty if
// both came equally long after the start, which is unlikely by chance; crashRate is the number of
// crashes of an endpoint per second, whatever their cause. After a third one it is guilty in any case.
func (p Policy) JudgeTask(crashes []TaskCrash, crashRate float64) CrashVerdict {
	if len(crashes) >= maxTaskCrashes {
		return Guilty
	}
	if len(crashes) < 2 {
		return Suspected
	}
	a, b := crashes[0], crashes[1]
	if a.Unanswered || b.Unanswered || a.Widespread || b.Widespread || (a.Elapsed-b.Elapsed).Abs() > crashDelayTolerance ||
		crashRate*(2*crashDelayTolerance).Seconds() > maxChanceOfCoincidence {
		return Suspected
	}
	return ProbablyGuilty
}

const (
	// ConfinementJobs is the number of jobs of a queue whose tasks must have crashed endpoints within
	// ConfinementWindow for the queue to be confined. A single one may be a coincidence, and is
	// given up at once anyway.
	ConfinementJobs = 2
	// ConfinementWindow is also the time after a confinement during which one job is enough.
	ConfinementWindow = 10 * time.Second
	// confinedShare is the share of a service's endpoints to which its confined queues are limited.
	confinedShare = 0.25
	// calmBeforeExpansion is the time in service without a crash after which confined queues get
	// twice as many endpoints, and calmBeforeRelease the time after which they are released.
	calmBeforeExpansion = 1500 * time.Millisecond
	calmBeforeRelease   = 2500 * time.Millisecond
)

// ConfinedEndpoints returns the number of endpoints to which the confined queues of a service with
// the given number of endpoints are limited, 0 if they are released. calm is how long endpoints of
// the confinement have been in service since the last crash.
func ConfinedEndpoints(endpoints int, calm time.Duration) int {
	n := max(1, int(confinedShare*float64(endpoints)+0.5))
	switch {
	case endpoints < 2 || calm >= calmBeforeRelease:
		return 0
	case calm >= calmBeforeExpansion:
		n *= 2
	}
	if n >= endpoints {
		return 0
	}
	return n
}
