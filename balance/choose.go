// Package balance selects an endpoint for each task (load balancing). A choice is a
// pure function of a snapshot and a random number. The run times in a snapshot come
// from KindRunTimes, which estimates them from completed tasks.
package balance

import "time"

// Policy is the name of a load balancing policy. An unknown name selects
// LeastExpectedFinish.
type Policy string

// Load balancing policies.
const (
	Naive               Policy = "naive"
	TwoChoices          Policy = "two_choices"
	LeastExpectedFinish Policy = "least_expected_finish"
)

// minWaitSpeedup is the factor by which a task must finish earlier by waiting for a
// faster endpoint than on an available one, before it waits. With a value near 1 all
// tasks get slower: the queue for the fast endpoints grows until waiting for them takes
// as long as a run on a slow one.
const minWaitSpeedup = 3.0

// Endpoint is one endpoint in a snapshot.
type Endpoint struct {
	Slots   int           // tasks that run at once
	Limit   int           // maximum number of tasks at the endpoint: slots and buffer
	Busy    int           // tasks at the endpoint, of all home entries
	RunTime time.Duration // expected run time of the kind, greater than zero
	Skip    bool          // not eligible: ejected, or unsuitable for the task
}

// Snapshot is the state on which a choice depends. Choose doesn't modify it.
type Snapshot struct {
	Policy    Policy
	Endpoints []Endpoint
	// Waiting is the number of tasks that wait at the home entry, including the
	// one to be placed.
	Waiting int
}

// Choose returns the index of an endpoint for one task, or false if the task must
// wait at the home entry. random breaks ties and drives the random policies.
func Choose(s Snapshot, random uint64) (int, bool) {
	switch s.Policy {
	case Naive:
		return chooseNaive(s, random)
	case TwoChoices:
		return chooseTwoChoices(s, random)
	default:
		return chooseLeastExpectedFinish(s, random)
	}
}

// expectedFinish returns the expected time from now to the end of a task that is
// placed now.
func (e *Endpoint) expectedFinish() time.Duration {
	if e.Busy < e.Slots {
		return e.RunTime
	}
	return e.RunTime + e.RunTime*time.Duration(e.Busy-e.Slots+1)/time.Duration(max(e.Slots, 1))
}

func (e *Endpoint) available() bool { return !e.Skip && e.Busy < e.Limit }

// chooseNaive is the baseline policy for comparisons: uniformly random, regardless of
// load and health. It skips endpoints with a limit of zero, which can't be given tasks.
func chooseNaive(s Snapshot, random uint64) (int, bool) {
	count := 0
	for i := range s.Endpoints {
		if s.Endpoints[i].Limit > 0 {
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	k := int(random % uint64(count))
	for i := range s.Endpoints {
		if s.Endpoints[i].Limit <= 0 {
			continue
		}
		if k == 0 {
			return i, true
		}
		k--
	}
	return 0, false
}

// chooseTwoChoices chooses the less loaded of two random available endpoints (power of
// two choices).
func chooseTwoChoices(s Snapshot, random uint64) (int, bool) {
	count := 0
	for i := range s.Endpoints {
		if s.Endpoints[i].available() {
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	a := nthAvailable(s, int((random&0xffffffff)%uint64(count)))
	b := nthAvailable(s, int((random>>32)%uint64(count)))
	if lessLoaded(&s.Endpoints[b], &s.Endpoints[a]) {
		return b, true
	}
	return a, true
}

func nthAvailable(s Snapshot, n int) int {
	for i := range s.Endpoints {
		if !s.Endpoints[i].available() {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// lessLoaded reports whether a has fewer tasks per slot than b.
func lessLoaded(a, b *Endpoint) bool { return a.Busy*b.Slots < b.Busy*a.Slots }

func chooseLeastExpectedFinish(s Snapshot, random uint64) (int, bool) {
	best, n := -1, len(s.Endpoints)
	if n == 0 {
		return 0, false
	}
	start := int(random % uint64(n))
	for k := range n {
		i := start + k
		if i >= n {
			i -= n
		}
		if s.Endpoints[i].available() && (best < 0 || preferred(&s.Endpoints[i], &s.Endpoints[best])) {
			best = i
		}
	}
	if best < 0 || shouldWait(s, s.Endpoints[best].expectedFinish()) {
		return 0, false
	}
	return best, true
}

// preferred reports whether a has an earlier expected finish than b, or the same and a
// lower load.
func preferred(a, b *Endpoint) bool {
	fa, fb := a.expectedFinish(), b.expectedFinish()
	if fa != fb {
		return fa < fb
	}
	return lessLoaded(a, b)
}

// shouldWait reports whether the last waiting task would finish earlier, by the factor
// minWaitSpeedup, if it waits for a faster endpoint that is now full. finish is its
// expected finish on the best available endpoint.
func shouldWait(s Snapshot, finish time.Duration) bool {
	var rate, backlog float64 // of the faster endpoints: tasks completed per ns; tasks beyond the slots
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Skip || e.RunTime >= finish {
			continue
		}
		rate += float64(e.Slots) / float64(e.RunTime)
		backlog += float64(max(e.Busy-e.Slots, 0))
	}
	if rate == 0 {
		return false
	}
	// A task that waits for a slot of equal endpoints starts after
	// (tasks ahead + 1)/rate and then takes their mean run time.
	var slots float64
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if !e.Skip && e.RunTime < finish {
			slots += float64(e.Slots)
		}
	}
	meanRunTime := slots / rate
	return minWaitSpeedup*((float64(s.Waiting)+backlog)/rate+meanRunTime) < float64(finish)
}
