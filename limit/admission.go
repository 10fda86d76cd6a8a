package limit

import (
	"math"
	"time"
)

// EndpointLoad is the capacity and use of one endpoint, from which wait times are
// estimated.
type EndpointLoad struct {
	Slots   int
	Busy    int
	RunTime time.Duration // expected run time of a task, greater than zero
}

// ShortestRunTime returns the shortest run time of the endpoints with a free slot, or of
// all endpoints when none has one.
func ShortestRunTime(endpoints []EndpointLoad) time.Duration {
	shortestFree, shortest := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, e := range endpoints {
		shortest = min(shortest, e.RunTime)
		if e.Busy < e.Slots {
			shortestFree = min(shortestFree, e.RunTime)
		}
	}
	if shortestFree < math.MaxInt64 {
		return shortestFree
	}
	return shortest
}

// EstimateSchedule estimates when the first task of a job starts and when its last task
// ends. ahead is the number of tasks that start before the first task of the job, and
// upTo the number of tasks that start up to and including its last. Without endpoints
// both results are the longest duration.
func EstimateSchedule(endpoints []EndpointLoad, ahead, upTo float64) (start, finish time.Duration) {
	var startRate, slots, freeSlots, shortestRunTime, backlog float64
	shortestRunTime = math.MaxFloat64
	for _, e := range endpoints {
		runTime := float64(max(e.RunTime, 1))
		startRate += float64(e.Slots) / runTime
		slots += float64(e.Slots)
		shortestRunTime = min(shortestRunTime, runTime)
		freeSlots += float64(max(e.Slots-e.Busy, 0))
		backlog += float64(max(e.Busy-e.Slots, 0))
	}
	if startRate == 0 {
		return math.MaxInt64, math.MaxInt64
	}
	// Tasks that find a free slot start at once; each later task waits for one
	// more slot to become free.
	startNS := max(ahead+backlog-freeSlots+1, 0) / startRate
	if ahead+backlog < freeSlots {
		startNS = 0
	}
	lastStartNS := max(upTo+backlog-freeSlots, 0) / startRate
	// The last tasks of a large job start wherever a slot becomes free, so they
	// take the mean run time; a job that fits into the free slots runs on the
	// fastest endpoint.
	lastRunTime := shortestRunTime
	if lastStartNS > 0 {
		lastRunTime = slots / startRate
	}
	return clampDuration(startNS), clampDuration(lastStartNS + lastRunTime)
}

func clampDuration(ns float64) time.Duration {
	if ns >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}
