package limit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFairQueue pushes, charges and removes one item while 10,000 items of 20
// teams are queued.
func BenchmarkFairQueue(b *testing.B) {
	q := NewFairQueue[int]()
	for i := range 10_000 {
		q.Push(q.NewItem(fmt.Sprint(i%20), 1, epoch.Add(time.Duration(i%997)), i))
	}
	b.ReportAllocs()
	for i := range b.N {
		q.Push(q.NewItem("7", 1, epoch.Add(time.Duration(i%997)), i))
		head := q.Head()
		q.Charge(head, 1)
		q.Remove(head)
	}
}
