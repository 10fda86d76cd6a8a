// Package balance chooses endpoints. The choice is a pure function of a
// snapshot; the run times in the snapshot are learned by Times.
package balance

import "time"

// Policy names a way to choose. Unknown names mean LeastExpectedFinish.
type Policy string

// Policies.
const (
	Naive               Policy = "naive"
	TwoChoices          Policy = "two_choices"
	LeastExpectedFinish Policy = "least_expected_finish"
)

// minWaitSpeedup is how many times longer a task must take on an open endpoint than
// by waiting for a faster one, before it waits. Near 1 every task pays: the
// fast endpoints keep a queue that is as long as the slow ones are slow.
const minWaitSpeedup = 3.0

// Endpoint is one endpoint in a snapshot.
type Endpoint struct {
	Slots   int           // tasks that run at once
	Limit   int           // tasks that may be at the endpoint: slots and buffer
	Busy    int           // tasks that are at the endpoint, of all homes
	RunTime time.Duration // expected run time of the kind, above zero
	Skip    bool          // ejected, or unsuitable for the task
}

// Snapshot is what a choice depends on. Choose doesn't modify it.
type Snapshot struct {
	Policy    Policy
	Endpoints []Endpoint
	// Waiting is the number of tasks that wait at the home, including the one
	// to be placed.
	Waiting int
}

// Choose returns the index of an endpoint for one task, or false when the task
// must wait at the home. random varies the choice among equals.
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

// expectedFinish returns the expected time until a task that is placed now ends.
func (e *Endpoint) expectedFinish() time.Duration {
	if e.Busy < e.Slots {
		return e.RunTime
	}
	return e.RunTime + e.RunTime*time.Duration(e.Busy-e.Slots+1)/time.Duration(max(e.Slots, 1))
}

func (e *Endpoint) available() bool { return !e.Skip && e.Busy < e.Limit }

// chooseNaive is the reference policy: uniform, blind to load and health. It
// leaves out endpoints that can't be given tasks at all: their limit is zero.
func chooseNaive(s Snapshot, random uint64) (int, bool) {
	n := 0
	for i := range s.Endpoints {
		if s.Endpoints[i].Limit > 0 {
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	k := int(random % uint64(n))
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

// chooseTwoChoices takes the less loaded of two random open endpoints.
func chooseTwoChoices(s Snapshot, random uint64) (int, bool) {
	open := 0
	for i := range s.Endpoints {
		if s.Endpoints[i].available() {
			open++
		}
	}
	if open == 0 {
		return 0, false
	}
	a := nthAvailable(s, int((random&0xffffffff)%uint64(open)))
	b := nthAvailable(s, int((random>>32)%uint64(open)))
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

// lessLoaded compares tasks per slot without division.
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

// preferred orders endpoints by expected finish, then by load.
func preferred(a, b *Endpoint) bool {
	fa, fb := a.expectedFinish(), b.expectedFinish()
	if fa != fb {
		return fa < fb
	}
	return lessLoaded(a, b)
}

// shouldWait reports whether the last waiting task would finish earlier by
// waiting for a faster endpoint that is now full than on the best open one,
// which finishes after finish.
func shouldWait(s Snapshot, finish time.Duration) bool {
	var rate, work float64 // tasks per ns of the faster endpoints; their tasks that wait
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Skip || e.RunTime >= finish {
			continue
		}
		rate += float64(e.Slots) / float64(e.RunTime)
		work += float64(max(e.Busy-e.Slots, 0))
	}
	if rate == 0 {
		return false
	}
	// A task that waits for a slot of n equal endpoints starts after
	// (tasks ahead + 1)/rate, and then runs for the mean run time of those.
	var slots float64
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if !e.Skip && e.RunTime < finish {
			slots += float64(e.Slots)
		}
	}
	mean := slots / rate
	return minWaitSpeedup*((float64(s.Waiting)+work)/rate+mean) < float64(finish)
}
