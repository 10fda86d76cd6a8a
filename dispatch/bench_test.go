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

// instantLink answers every Start with the results of all its tasks.
type instantLink struct {
	countingLink
	session *session
	ready   chan struct{}
}

func (l *instantLink) Send(_ context.Context, m wire.Message) error {
	s, ok := m.(*wire.Start)
	if !ok {
		return nil
	}
	<-l.ready
	r := &wire.Result{Tasks: make([]wire.TaskResult, len(s.Tasks))}
	for i := range s.Tasks {
		r.Tasks[i] = wire.TaskResult{Ref: s.Tasks[i].Ref, Outcome: errkind.Done, RunMicros: 50, Body: s.Tasks[i].Payload}
	}
	l.session.handle(wire.Frame{Body: r})
	return nil
}

// BenchmarkDo measures the whole path of a job in the dispatcher with trivial
// tasks: 11 agents of 8 slots and a buffer of 2, and 256 agents.
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
		l := &instantLink{ready: make(chan struct{})}
		l.session = d.attach(l, wire.Hello{Node: ids.Incarnation{Name: fmt.Sprint("agent-", i), Number: 1}})
		close(l.ready)
		defer l.session.stop()
		l.session.handle(wire.Frame{Body: &wire.Announce{Service: "veil-desk", Slots: 8, Buffer: 2, Revision: 1}})
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
