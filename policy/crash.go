package policy

import (
	"math"
	"slices"
	"time"
)

// TaskCrash is a crash of an endpoint during a run of a task.
type TaskCrash struct {
	// Elapsed is the time from the start of the run to the crash.
	Elapsed time.Duration
	// Cleared is set if the task had run for too long to be the cause, or may not have begun. Crashes
	// that are known to have another cause are left out.
	Cleared bool
}

const (
	// crashDelayTolerance is how much the delay from the start of a task to the crash may vary. An
	// agent notices a crash up to an observation interval late.
	crashDelayTolerance = 30 * time.Millisecond
	// earlyCrash is the time after the start within which a crash is unlikely to be a coincidence.
	earlyCrash = 60 * time.Millisecond
	// maxEarlyCrashes is the number of early crashes with the same delay after which a task is given up.
	maxEarlyCrashes = 2
	// maxTaskCrashes is the number of crashes after which a task is given up in any case. Endpoints
	// that crash one after the other at a regular interval crash three times alike.
	maxTaskCrashes = 4
)

// CrashVerdict says whether a task is taken to cause the crashes during its runs.
type CrashVerdict uint8

// Crash verdicts. Of several tasks that are probably guilty of one crash none is given up.
const (
	Suspected CrashVerdict = iota
	ProbablyGuilty
	Guilty
)

// JudgeTask judges a task by the crashes during its runs. It is probably guilty if two came early and
// equally long after the start, since endpoints that crash by themselves do so at any time of a run. A
// job that is given up though it could be done is lost to its caller.
func (p Policy) JudgeTask(crashes []TaskCrash) CrashVerdict {
	if len(crashes) >= maxTaskCrashes {
		return Guilty
	}
	var delays []time.Duration
	for _, c := range crashes {
		if !c.Cleared {
			delays = append(delays, c.Elapsed)
		}
	}
	slices.Sort(delays)
	for i := range delays {
		same := 0
		for _, d := range delays[i:] {
			if d-delays[i] <= crashDelayTolerance {
				same++
			}
		}
		if same >= maxEarlyCrashes && delays[i] <= earlyCrash {
			return ProbablyGuilty
		}
	}
	return Suspected
}

// ClearedAfter returns the run time from which a task is not suspected of a crash, if those tasks of its
// queue that were given up crashed their endpoints within the given time.
func ClearedAfter(crashDelay time.Duration) time.Duration { return crashDelay + crashDelayTolerance }

const (
	// ConfinementJobs is the number of jobs of a queue whose tasks must have crashed endpoints within
	// ConfinementWindow for the queue to be confined. A single one may be a coincidence, and is
	// given up at once anyway.
	ConfinementJobs = 2
	// ConfinementWindow is also the time after a confinement during which one job is enough.
	ConfinementWindow = 10 * time.Second
	// confinedShare is the share of a service's endpoints to which its confined queues are limited
	// while the others use the rest, and the least share that is left to the others.
	confinedShare = 0.25
	// confinedHeadroom is the ratio of the endpoints that are left to the other queues to those that
	// they use.
	confinedHeadroom = 1.5
	// calmBeforeExpansion is the time in service without a crash after which confined queues get
	// twice as many endpoints, and calmBeforeRelease the time after which they are released.
	calmBeforeExpansion = 1500 * time.Millisecond
	calmBeforeRelease   = 2500 * time.Millisecond
)

// ConfinedEndpoints returns the number of endpoints to which the confined queues of a service with
// the given number of endpoints are limited, 0 if they are released: confinedShare of them, or more
// if the other queues need fewer than the rest. needed is the number of endpoints that these use;
// calm is how long endpoints of the confinement have been in service since the last crash.
func ConfinedEndpoints(endpoints int, needed float64, calm time.Duration) int {
	share := max(1, int(confinedShare*float64(endpoints)+0.5))
	n := max(share, endpoints-max(int(math.Ceil(confinedHeadroom*needed)), share))
	switch {
	case endpoints < 2 || calm >= calmBeforeRelease:
		return 0
	case calm >= calmBeforeExpansion && 2*n >= endpoints:
		return 0
	case calm >= calmBeforeExpansion:
		return 2 * n
	}
	return n
}
