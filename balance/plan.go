package balance

import (
	"container/heap"
	"math"
	"time"
)

// Plan places many tasks on one snapshot. Next makes the same choice as Choose on the
// snapshot with the tasks placed so far, except for ties, in logarithmic instead of
// linear time. A Plan can be reset and reused. It is not safe for concurrent use.
type Plan struct {
	snapshot        Snapshot
	available       []int // indices; with the policy LeastExpectedFinish a heap (see planHeap)
	twoChoices      bool
	shortestRunTime time.Duration
	tieOffset       int // endpoints from this index on win ties
}

// Reset starts a plan on s. The plan retains and modifies s.Endpoints.
func (p *Plan) Reset(s Snapshot, random uint64) {
	p.snapshot = s
	p.available = p.available[:0]
	p.twoChoices = s.Policy == TwoChoices
	p.shortestRunTime = math.MaxInt64
	p.tieOffset = 0
	if len(s.Endpoints) == 0 {
		return
	}
	p.tieOffset = int(random % uint64(len(s.Endpoints)))
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if !e.Skip {
			p.shortestRunTime = min(p.shortestRunTime, e.RunTime)
		}
		if s.Policy == Naive && e.Limit > 0 || s.Policy != Naive && e.available() {
			p.available = append(p.available, i)
		}
	}
	if !p.twoChoices && s.Policy != Naive {
		heap.Init((*planHeap)(p))
	}
}

// HasAvailable reports whether an endpoint can be given a task.
func (p *Plan) HasAvailable() bool {
	return len(p.available) > 0
}

// Next returns the index of the endpoint for the next task, or false if the task must
// wait. waiting is the number of waiting tasks including this one.
func (p *Plan) Next(waiting int, random uint64) (int, bool) {
	switch {
	case !p.HasAvailable():
		return 0, false
	case p.snapshot.Policy == Naive:
		return p.available[random%uint64(len(p.available))], true
	case p.twoChoices:
		n := uint64(len(p.available))
		a, b := p.available[(random&0xffffffff)%n], p.available[(random>>32)%n]
		if lessLoaded(&p.snapshot.Endpoints[b], &p.snapshot.Endpoints[a]) {
			return b, true
		}
		return a, true
	}
	best := p.available[0]
	finish := p.snapshot.Endpoints[best].expectedFinish()
	// shouldWait takes linear time, and can be true only for an endpoint that is much
	// slower than the fastest one.
	if float64(finish) > minWaitSpeedup*float64(p.shortestRunTime) {
		p.snapshot.Waiting = waiting
		if shouldWait(p.snapshot, finish) {
			return 0, false
		}
	}
	return best, true
}

// Place adds a task to endpoint i, which Next returned.
func (p *Plan) Place(i int) {
	e := &p.snapshot.Endpoints[i]
	e.Busy++
	switch {
	case p.snapshot.Policy == Naive:
	case p.twoChoices:
		if !e.available() {
			p.removeAvailable(i)
		}
	case e.available():
		heap.Fix((*planHeap)(p), 0)
	default:
		heap.Pop((*planHeap)(p))
	}
}

// removeAvailable takes linear time, but is called only once for each endpoint that
// becomes full.
func (p *Plan) removeAvailable(i int) {
	for k, index := range p.available {
		if index == i {
			last := len(p.available) - 1
			p.available[k] = p.available[last]
			p.available = p.available[:last]
			return
		}
	}
}

// planHeap is a heap of the available endpoints, ordered as in
// chooseLeastExpectedFinish.
type planHeap Plan

func (h *planHeap) Len() int { return len(h.available) }
func (h *planHeap) Less(a, b int) bool {
	x, y := h.available[a], h.available[b]
	ex, ey := &h.snapshot.Endpoints[x], &h.snapshot.Endpoints[y]
	if preferred(ex, ey) {
		return true
	}
	return !preferred(ey, ex) && (x >= h.tieOffset) != (y >= h.tieOffset) && x >= h.tieOffset
}
func (h *planHeap) Swap(a, b int) { h.available[a], h.available[b] = h.available[b], h.available[a] }
func (h *planHeap) Push(x any)    { h.available = append(h.available, x.(int)) }
func (h *planHeap) Pop() any {
	last := len(h.available) - 1
	i := h.available[last]
	h.available = h.available[:last]
	return i
}
