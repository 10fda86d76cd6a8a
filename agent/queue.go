package agent

import "container/heap"

// taskQueue holds the admitted tasks that wait for a slot, ordered by deadline.
type taskQueue struct{ h taskHeap }

func (q *taskQueue) len() int     { return len(q.h) }
func (q *taskQueue) push(t *task) { heap.Push(&q.h, t) }
func (q *taskQueue) pop() *task   { return heap.Pop(&q.h).(*task) }

// head returns the task with the earliest deadline, or nil if the queue is empty.
func (q *taskQueue) head() *task {
	if len(q.h) == 0 {
		return nil
	}
	return q.h[0]
}

func (q *taskQueue) remove(t *task) { heap.Remove(&q.h, t.position) }

// taskHeap implements heap.Interface and keeps each task's position up to date.
type taskHeap []*task

func (h taskHeap) Len() int { return len(h) }

func (h taskHeap) Less(i, j int) bool {
	if h[i].deadline.Equal(h[j].deadline) {
		return h[i].admissionSeq < h[j].admissionSeq
	}
	return h[i].deadline.Before(h[j].deadline)
}

func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *taskHeap) Push(x any) {
	t := x.(*task)
	t.position = len(*h)
	*h = append(*h, t)
}

func (h *taskHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	t.position = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
