package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// instantConn answers every Start immediately with the results of all its tasks.
type instantConn struct {
	countingConn
	session *session
	ready   chan struct{}
}

func (l *instantConn) Send(_ context.Context, m wire.Message) error {
	s, ok := m.(*wire.Start)
	if !ok {
		return nil
	}
	<-l.ready
	r := &wire.Result{Tasks: make([]wire.TaskResult, len(s.Tasks))}
	for i := range s.Tasks {
		r.Tasks[i] = wire.TaskResult{Ref: s.Tasks[i].Ref, Outcome: errkind.Done, RunMicros: 50, Body: s.Tasks[i].Payload}
	}
	l.session.handleFrame(wire.Frame{Body: r})
	return nil
}

// BenchmarkDo measures the full path of a job through the dispatcher with trivial
// tasks, for 11 and for 256 agents with 8 slots and a buffer of 2 each.
func BenchmarkDo(b *testing.B) {
	for _, agents := range []int{11, 256} {
		for _, tasks := range []int{1, 150} {
			b.Run(fmt.Sprintf("agents=%d/tasks=%d", agents, tasks), func(b *testing.B) { benchmarkDo(b, agents, tasks) })
		}
	}
}

func benchmarkDo(b *testing.B, agents, tasks int) {
	state := testState()
	state.Services["veil-desk"].Kinds["preview"] = ticket.Kind{QueueLimit: 1 << 20}
	d := New(Config{Self: ids.Incarnation{Name: "entry-1", Number: 1}, State: func() *ticket.Config { return state }})
	for i := range agents {
		conn := &instantConn{ready: make(chan struct{})}
		conn.session = d.attach(conn, wire.Hello{Node: ids.Incarnation{Name: fmt.Sprint("agent-", i), Number: 1}})
		close(conn.ready)
		defer conn.session.stop()
		conn.session.handleFrame(wire.Frame{Body: &wire.Announce{Service: "veil-desk", Slots: 8, Buffer: 2, Revision: 1}})
	}
	var n atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			j := testJob(0, "preview", fmt.Sprint(n.Add(1)), false, tasks, 30*time.Second)
			if a := d.Do(context.Background(), j); a.Err != nil {
				b.Error(a.Err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N*tasks)/b.Elapsed().Seconds(), "starts/s")
}
