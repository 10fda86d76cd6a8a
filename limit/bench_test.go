package limit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFairQueue queues, charges and removes one item beside 10,000 others
// of 20 teams.
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
