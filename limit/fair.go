package limit

import (
	"container/heap"
	"time"
)

// FairQueue is a start-time fair queue. It orders the items of a team by deadline
// and serves the team with the lowest charged cost per weight first. Push, Head,
// Charge and Remove take at most logarithmic time.
type FairQueue[T any] struct {
	teams  map[string]*fairTeam[T]
	active indexedHeap[*fairTeam[T]]
	// virtualTime is the virtual time of the last served team. A team that becomes
	// active starts from it, so that it earns no credit while it is idle.
	virtualTime float64
	items       int
	seq         uint64
}

type fairTeam[T any] struct {
	name        string
	weight      float64
	virtualTime float64
	items       indexedHeap[*FairItem[T]]
	index       int // in the heap of active teams; -1 when idle
}

// FairItem is an item that can be queued in a FairQueue.
type FairItem[T any] struct {
	Value    T
	team     *fairTeam[T]
	deadline time.Time
	seq      uint64
	index    int // -1 when not queued
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{teams: make(map[string]*fairTeam[T])}
}

// NewItem returns an item of a team, which is not yet queued. A weight of zero or
// less counts as 1.
func (q *FairQueue[T]) NewItem(team string, weight float64, deadline time.Time, value T) *FairItem[T] {
	t := q.teams[team]
	if t == nil {
		t = &fairTeam[T]{name: team, index: -1}
		q.teams[team] = t
	}
	t.weight = weight
	if weight <= 0 {
		t.weight = 1
	}
	q.seq++
	return &FairItem[T]{Value: value, team: t, deadline: deadline, seq: q.seq, index: -1}
}

// Len returns the number of queued items.
func (q *FairQueue[T]) Len() int { return q.items }

// Queued reports whether the item is queued.
func (i *FairItem[T]) Queued() bool { return i.index >= 0 }

// Push queues an item. Pushing a queued item does nothing.
func (q *FairQueue[T]) Push(i *FairItem[T]) {
	if i.index >= 0 {
		return
	}
	heap.Push(&i.team.items, i)
	q.items++
	if i.team.index < 0 {
		i.team.virtualTime = max(i.team.virtualTime, q.virtualTime)
		heap.Push(&q.active, i.team)
	}
}

// Remove removes an item. Removing an item that is not queued does nothing.
func (q *FairQueue[T]) Remove(i *FairItem[T]) {
	if i.index < 0 {
		return
	}
	heap.Remove(&i.team.items, i.index)
	q.items--
	if len(i.team.items) == 0 {
		heap.Remove(&q.active, i.team.index)
	}
}

// Head returns the item to serve next, or nil if the queue is empty.
func (q *FairQueue[T]) Head() *FairItem[T] {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].items[0]
}

// Charge adds the cost of serving the item to the virtual time of its team. All
// calls must use the same unit of cost.
func (q *FairQueue[T]) Charge(i *FairItem[T], cost float64) {
	t := i.team
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	t.virtualTime += cost / t.weight
	if t.index >= 0 {
		heap.Fix(&q.active, t.index)
	}
}

// ActiveWeight returns the weight of the item's team (own) and the sum of the
// weights of that team and all other teams with queued items (total).
func (q *FairQueue[T]) ActiveWeight(i *FairItem[T]) (total, own float64) {
	for _, t := range q.active {
		total += t.weight
	}
	if i.team.index < 0 {
		total += i.team.weight
	}
	return total, i.team.weight
}

// EachBefore calls f, in no particular order, for each queued item of the same
// team that is served before i. It takes time linear in the team's items.
func (q *FairQueue[T]) EachBefore(i *FairItem[T], f func(T)) {
	for _, o := range i.team.items {
		if o != i && o.before(i) {
			f(o.Value)
		}
	}
}

// Each calls f for each queued item, in no particular order. f must not change the
// queue.
func (q *FairQueue[T]) Each(f func(T)) {
	for _, t := range q.active {
		for _, i := range t.items {
			f(i.Value)
		}
	}
}

func (i *FairItem[T]) before(o *FairItem[T]) bool {
	if !i.deadline.Equal(o.deadline) {
		return i.deadline.Before(o.deadline)
	}
	return i.seq < o.seq
}

func (i *FairItem[T]) setIndex(n int) { i.index = n }

func (t *fairTeam[T]) before(o *fairTeam[T]) bool { return t.virtualTime < o.virtualTime }

func (t *fairTeam[T]) setIndex(n int) { t.index = n }

// heapElement is an element of an indexedHeap.
type heapElement[E any] interface {
	before(E) bool
	// setIndex is called with the position in the heap, or -1 after the removal.
	setIndex(int)
}

// indexedHeap implements heap.Interface for elements that keep their own index.
type indexedHeap[E heapElement[E]] []E

func (h indexedHeap[E]) Len() int           { return len(h) }
func (h indexedHeap[E]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h indexedHeap[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

func (h *indexedHeap[E]) Push(x any) {
	e := x.(E)
	e.setIndex(len(*h))
	*h = append(*h, e)
}

func (h *indexedHeap[E]) Pop() any {
	old, last := *h, len(*h)-1
	e := old[last]
	var zero E
	old[last] = zero
	*h = old[:last]
	e.setIndex(-1)
	return e
}
