package balance

import (
	"container/heap"
	"math"
	"time"
)

// Plan places many tasks on one snapshot. Each Next gives the same choice as
// Choose on the snapshot with the tasks placed so far, up to the order of
// equals, in logarithmic instead of linear time. A Plan can be reset and reused,
// and is not safe for concurrent use.
type Plan struct {
	s       Snapshot
	open    []int // indices of open endpoints; a heap by finish unless random is set
	random  bool  // two choices
	fastest time.Duration
	start   int
}

// Reset starts a plan on s. The plan keeps and changes s.Endpoints.
func (p *Plan) Reset(s Snapshot, random uint64) {
	p.s = s
	p.open = p.open[:0]
	p.random = s.Policy == TwoChoices
	p.fastest = math.MaxInt64
	p.start = 0
	if len(s.Endpoints) == 0 {
		return
	}
	p.start = int(random % uint64(len(s.Endpoints)))
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if !e.Skip {
			p.fastest = min(p.fastest, e.Run)
		}
		if s.Policy == Naive && e.Limit > 0 || s.Policy != Naive && e.open() {
			p.open = append(p.open, i)
		}
	}
	if !p.random && s.Policy != Naive {
		heap.Init((*planHeap)(p))
	}
}

// Open reports whether an endpoint has room for a task.
func (p *Plan) Open() bool {
	return len(p.open) > 0
}

// Next returns the endpoint for the next task, or false when the task must
// wait. waiting is the number of waiting tasks including this one.
func (p *Plan) Next(waiting int, random uint64) (int, bool) {
	switch {
	case !p.Open():
		return 0, false
	case p.s.Policy == Naive:
		return p.open[random%uint64(len(p.open))], true
	case p.random:
		n := uint64(len(p.open))
		a, b := p.open[(random&0xffffffff)%n], p.open[(random>>32)%n]
		if loadLess(&p.s.Endpoints[b], &p.s.Endpoints[a]) {
			return b, true
		}
		return a, true
	}
	best := p.open[0]
	finish := p.s.Endpoints[best].finish()
	// The exact comparison is linear; it can hold only for a slow endpoint.
	if float64(finish) > waitFactor*float64(p.fastest) {
		p.s.Waiting = waiting
		if waitIsBetter(p.s, finish) {
			return 0, false
		}
	}
	return best, true
}

// Place counts a task at endpoint i, which Next returned.
func (p *Plan) Place(i int) {
	e := &p.s.Endpoints[i]
	e.Busy++
	switch {
	case p.s.Policy == Naive:
	case p.random:
		if !e.open() {
			p.removeOpen(i)
		}
	case e.open():
		heap.Fix((*planHeap)(p), 0)
	default:
		heap.Pop((*planHeap)(p))
	}
}

// removeOpen is linear, but called once per endpoint that becomes full.
func (p *Plan) removeOpen(i int) {
	for k, o := range p.open {
		if o == i {
			last := len(p.open) - 1
			p.open[k] = p.open[last]
			p.open = p.open[:last]
			return
		}
	}
}

// planHeap orders the open endpoints like chooseFinish.
type planHeap Plan

func (h *planHeap) Len() int { return len(h.open) }
func (h *planHeap) Less(a, b int) bool {
	x, y := h.open[a], h.open[b]
	ex, ey := &h.s.Endpoints[x], &h.s.Endpoints[y]
	if less(ex, ey) {
		return true
	}
	return !less(ey, ex) && (x >= h.start) != (y >= h.start) && x >= h.start
}
func (h *planHeap) Swap(a, b int) { h.open[a], h.open[b] = h.open[b], h.open[a] }
func (h *planHeap) Push(x any)    { h.open = append(h.open, x.(int)) }
func (h *planHeap) Pop() any {
	last := len(h.open) - 1
	i := h.open[last]
	h.open = h.open[:last]
	return i
}
