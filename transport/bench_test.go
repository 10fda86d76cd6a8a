package transport_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// BenchmarkCall measures round trips over loopback, sequentially and from
// parallel callers on one connection.
func BenchmarkCall(b *testing.B) {
	a := newAuthority(b)
	s := startServer(b, nodeOptions(b, a, "entry-1"))
	conn := dial(b, s.listener.Address(), nodeOptions(b, a, "agent-1"))
	call := func() error {
		_, err := conn.Call(b.Context(), &wire.Settle{Refs: []uint64{1}})
		return err
	}
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			qt.Assert(b, call(), qt.IsNil)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(8)
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				if err := call(); err != nil {
					b.Error(err)
				}
			}
		})
	})
}
