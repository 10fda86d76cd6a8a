package limit

import (
	"math"
	"time"
)

// EndpointLoad is an endpoint in the estimate of the wait for a start.
type EndpointLoad struct {
	Slots   int
	Busy    int
	RunTime time.Duration // expected run time of a task, above zero
}

// ShortestRunTime returns the shortest run time of the places with a free slot, or of
// all places when none is free.
func ShortestRunTime(places []EndpointLoad) time.Duration {
	free, any := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, p := range places {
		any = min(any, p.RunTime)
		if p.Busy < p.Slots {
			free = min(free, p.RunTime)
		}
	}
	if free < math.MaxInt64 {
		return free
	}
	return any
}

// EstimateSchedule estimates when the first task of a job starts and when its last task
// ends. ahead is the number of tasks that start before the first, and upTo the
// number that start until the last has, which is included. Without places both
// are the longest duration.
func EstimateSchedule(places []EndpointLoad, ahead, upTo float64) (start, finish time.Duration) {
	var rate, slots, free, fastest, work float64
	fastest = math.MaxFloat64
	for _, p := range places {
		run := float64(max(p.RunTime, 1))
		rate += float64(p.Slots) / run
		slots += float64(p.Slots)
		fastest = min(fastest, run)
		free += float64(max(p.Slots-p.Busy, 0))
		work += float64(max(p.Busy-p.Slots, 0))
	}
	if rate == 0 {
		return math.MaxInt64, math.MaxInt64
	}
	// The tasks that find a free slot don't wait; each later one waits for one
	// more slot to become free.
	first := max(ahead+work-free+1, 0) / rate
	if ahead+work < free {
		first = 0
	}
	last := max(upTo+work-free, 0) / rate
	// The last tasks of a large job start wherever a slot becomes free, so they
	// run for the mean time; a job that fits into the free slots runs on the
	// fastest.
	tail := fastest
	if last > 0 {
		tail = slots / rate
	}
	return clampDuration(first), clampDuration(last + tail)
}

func clampDuration(ns float64) time.Duration {
	if ns >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}
