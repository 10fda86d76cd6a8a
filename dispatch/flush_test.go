package dispatch

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/ids"
	"oriolerelay/wire"
)

// recordingConn records the types of the messages in the order of sending.
type recordingConn struct{ sent []wire.Type }

func (l *recordingConn) Send(_ context.Context, m wire.Message) error {
	l.sent = append(l.sent, m.MessageType())
	return nil
}

func (l *recordingConn) Reply(_ context.Context, _ uint64, m wire.Message) error {
	return l.Send(context.Background(), m)
}

func (l *recordingConn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	return nil, l.Send(ctx, m)
}

func (l *recordingConn) Close() error { return nil }

// Guards against a Start that is sent after the Ack of a Drain: the agent may have
// closed the connection by then, and the task would fail as may_have_run.
func TestAckFollowsStarts(t *testing.T) {
	c := qt.New(t)
	d := New(Config{Self: ids.NewIncarnation("entry-1"), CurrentConfig: testConfig})
	recording := &recordingConn{}
	a := &agent{id: ids.NewIncarnation("agent-1")}
	s := &session{d: d, agent: a, conn: recording, ctx: c.Context(), wake: make(chan struct{}, 1), lastSent: time.Now()}
	a.session = s
	j := newJob(c.Context(), testJob(1, "quote", "order-1", false, 1, time.Minute), time.Now())
	d.mu.Lock()
	d.assign(&j.tasks[0], a)
	d.mu.Unlock()
	s.acks = []uint64{1}
	s.flush()
	c.Assert(recording.sent, qt.DeepEquals, []wire.Type{wire.TypeStart, wire.TypeAck})
}
