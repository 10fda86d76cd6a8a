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
					s.Endpoints = append(s.Endpoints, Endpoint{Slots: 8, Limit: 9, Busy: i % 9, Run: time.Duration(100+i) * time.Millisecond})
				}
				b.ReportAllocs()
				for i := range b.N {
					Choose(s, uint64(i)*0x9e3779b97f4a7c15)
				}
			})
		}
	}
}
