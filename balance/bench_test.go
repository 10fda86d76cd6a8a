package balance

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkChoose(b *testing.B) {
	for _, p := range []Policy{Naive, TwoChoices, LeastExpectedFinish} {
		for _, n := range []int{11, 256} {
			b.Run(fmt.Sprintf("%s/%d", p, n), func(b *testing.B) {
				s := Snapshot{Policy: p, Waiting: 1}
				for i := range n {
					s.Endpoints = append(s.Endpoints, Endpoint{Slots: 8, Limit: 9, Busy: i % 9, RunTime: time.Duration(100+i) * time.Millisecond})
				}
				b.ReportAllocs()
				for i := range b.N {
					Choose(s, uint64(i)*0x9e3779b97f4a7c15)
				}
			})
		}
	}
}

// BenchmarkPlan places 150 tasks, the size of the largest job.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{11, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			endpoints := make([]Endpoint, n)
			var p Plan
			b.ReportAllocs()
			for i := range b.N {
				for k := range endpoints {
					endpoints[k] = Endpoint{Slots: 8, Limit: 9, Busy: k % 3, RunTime: time.Duration(100+k) * time.Millisecond}
				}
				p.Reset(Snapshot{Endpoints: endpoints}, uint64(i))
				for waiting := 150; waiting > 0; waiting-- {
					e, ok := p.Next(waiting, 0)
					if !ok {
						break
					}
					p.Place(e)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/150, "ns/task")
		})
	}
}
