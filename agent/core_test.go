package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// fakeRunner is a runner whose tasks take 100 ms on the fake clock, unless run is set.
type fakeRunner struct {
	announced Announcement
	run       func(t *task) (wire.TaskResult, bool)

	mu     sync.Mutex
	starts []uint64 // refs in order of start
}

func (r *fakeRunner) announcement() Announcement { return r.announced }
func (r *fakeRunner) slots() int                 { return r.announced.Slots }
func (r *fakeRunner) close()                     {}

func (r *fakeRunner) call(t *task) (wire.TaskResult, bool) {
	r.mu.Lock()
	r.starts = append(r.starts, t.spec.Ref)
	r.mu.Unlock()
	if r.run != nil {
		return r.run(t)
	}
	time.Sleep(100 * time.Millisecond) // on the fake clock
	return wire.TaskResult{Outcome: errkind.Done, Body: []byte("answer")}, false
}

func (r *fakeRunner) started() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]uint64(nil), r.starts...)
}

// fakeConn is a sender that records the messages sent by the agent.
type fakeConn struct {
	mu   sync.Mutex
	sent []wire.Message
	done chan struct{}

	unwritten atomic.Int64 // the value that Unwritten returns
}

func (c *fakeConn) Unwritten() int { return int(c.unwritten.Load()) }

func (c *fakeConn) Send(_ context.Context, m wire.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, m)
	return nil
}

func (c *fakeConn) Reply(ctx context.Context, _ uint64, m wire.Message) error { return c.Send(ctx, m) }

func (c *fakeConn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	return &wire.Ack{}, c.Send(ctx, m)
}

func (c *fakeConn) Done() <-chan struct{} { return c.done }

// takeMessages removes the messages of type M sent since the last call and returns them.
func takeMessages[M wire.Message](c *fakeConn) []M {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []M
	var rest []wire.Message
	for _, m := range c.sent {
		if v, ok := m.(M); ok {
			found = append(found, v)
		} else {
			rest = append(rest, m)
		}
	}
	c.sent = rest
	return found
}

// reportedEnds returns the tasks that were reported as ended since the last call: by ref,
// the outcome of a result or the kind of a refusal.
func reportedEnds(c *fakeConn) map[uint64]string {
	got := make(map[uint64]string)
	for _, m := range takeMessages[*wire.Result](c) {
		for _, r := range m.Tasks {
			got[r.Ref] = string(r.Outcome)
		}
	}
	for _, m := range takeMessages[*wire.Refused](c) {
		for _, ref := range m.Refs {
			got[ref] = string(m.Kind)
		}
	}
	return got
}

// fixture is a core with one endpoint; tests run it on the fake clock of bubble.Test.
type fixture struct {
	*core
	runner *fakeRunner
}

var testHome = ids.Incarnation{Name: "entry-1", Number: 1}

func newFixture(slots int, change func(*Config)) *fixture {
	cfg := Config{Node: ids.Incarnation{Name: "agent-1", Number: 1}, Buffer: 2}
	cfg.setDefaults()
	if change != nil {
		change(&cfg)
	}
	f := &fixture{core: newCore(cfg), runner: &fakeRunner{announced: Announcement{Service: "veil-desk", Address: "127.0.0.1:1", Slots: slots}}}
	f.announceEndpoint()
	return f
}

// announceEndpoint announces the fixture's endpoint.
func (f *fixture) announceEndpoint() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRenewal = time.Now()
	f.setEndpoint(f.runner)
}

// connect opens a connection from the entry node; the returned function closes it.
func (f *fixture) connect(node ids.Incarnation) (*link, *fakeConn, func()) {
	conn := &fakeConn{done: make(chan struct{})}
	l := f.attach(conn, wire.Hello{Node: node, Role: wire.RoleEntry})
	go l.run()
	return l, conn, func() {
		close(conn.done)
		f.detach(l)
	}
}

// startMessage returns a Start of one task for each ref.
func startMessage(refs ...uint64) *wire.Start {
	m := &wire.Start{}
	for _, ref := range refs {
		m.Tasks = append(m.Tasks, newStartTask(ref, time.Second, "{}"))
	}
	return m
}

// settleOne settles one ref.
func settleOne(f *fixture, l *link, ref uint64) wire.SettledTask {
	return f.handleSettle(l, &wire.Settle{Refs: []uint64{ref}}).Tasks[0]
}

// Guards against a task key that runs twice because its Start is repeated while the task
// runs or after it ended. Both duplicates must get the first result.
func TestDuplicateStartJoinsFirst(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(4, nil)
		l, conn, end := f.connect(testHome)
		defer end()
		f.handleStart(l, startMessage(1, 1))
		f.handleStart(l, startMessage(1))
		time.Sleep(time.Second)
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{1: "done"})
		f.handleStart(l, startMessage(1))
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{1: "done"})
		qt.Check(t, f.runner.started(), qt.DeepEquals, []uint64{1})
	})
}

// Guards against a late Start that runs after the home entry got the reply never_seen,
// and against equal refs of two home entries being treated as one key.
func TestSettledKeyCannotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(4, nil)
		l, conn, end := f.connect(testHome)
		defer end()
		qt.Check(t, settleOne(f, l, 7).State, qt.Equals, wire.TaskNeverSeen)
		f.handleStart(l, startMessage(7))
		time.Sleep(time.Second)
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{7: "cancelled"})
		qt.Check(t, settleOne(f, l, 7).Result.Outcome, qt.Equals, errkind.NotRun)
		other, _, endOther := f.connect(ids.Incarnation{Name: "entry-1", Number: 2})
		defer endOther()
		f.handleStart(other, startMessage(7))
		time.Sleep(time.Second)
		qt.Check(t, f.runner.started(), qt.DeepEquals, []uint64{7})
	})
}

// Guards against a result being lost together with the connection on which it was sent
// or its task arrived.
func TestResultsSurviveConnection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(4, nil)
		l, conn, end := f.connect(testHome)
		f.handleStart(l, startMessage(1))
		time.Sleep(150 * time.Millisecond)
		qt.Check(t, reportedEnds(conn), qt.HasLen, 1) // sent, but possibly not received
		f.handleStart(l, startMessage(2))
		end()
		time.Sleep(time.Second) // task 2 ends without a connection
		l, conn, end = f.connect(testHome)
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{1: "done", 2: "done"})
		qt.Check(t, string(settleOne(f, l, 2).Result.Body), qt.Equals, "answer")
		f.handleStart(l, startMessage(3))
		qt.Check(t, settleOne(f, l, 3).State, qt.Equals, wire.TaskPending)
		_, newer, endNewer := f.connect(testHome) // the older connection no longer delivers
		time.Sleep(time.Second)
		qt.Check(t, reportedEnds(newer), qt.DeepEquals, map[uint64]string{1: "done", 2: "done", 3: "done"})
		end()
		endNewer()
		qt.Check(t, f.runner.started(), qt.DeepEquals, []uint64{1, 2, 3})
	})
}

// Guards against unbounded growth of the task records, and, when they are full, against
// admitting tasks or replying never_seen without a tombstone that keeps this true.
func TestRecordIsBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(8, func(cfg *Config) { cfg.MaxRecords = 2 })
		l, conn, end := f.connect(testHome)
		defer end()
		f.handleStart(l, startMessage(1, 2, 3, 4, 5))
		time.Sleep(time.Second)
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{
			1: "done", 2: "done", 3: "record_full", 4: "record_full", 5: "record_full",
		})
		qt.Check(t, settleOne(f, l, 6).Result.Outcome, qt.Equals, errkind.MayHaveRun)
		qt.Check(t, len(l.home.records), qt.Equals, 4)
		time.Sleep(defaultRecordAge)
		f.sweep(time.Now())
		qt.Check(t, len(l.home.records), qt.Equals, 0)
		f.announceEndpoint()
		f.handleStart(l, startMessage(9))
		time.Sleep(time.Second)
		qt.Check(t, reportedEnds(conn)[9], qt.Equals, "done")
	})
}

// Guards against the reply never_seen, or a second start, for a key whose record has
// expired: the task may have run.
func TestExpiredKeyIsNotNeverSeen(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(8, nil)
		l, _, stop := f.connect(testHome)
		f.handleStart(l, startMessage(5))
		time.Sleep(defaultRecordAge + time.Second)
		f.sweep(time.Now())
		stop()
		f.announceEndpoint()
		l, conn, end := f.connect(testHome)
		defer end()
		qt.Check(t, settleOne(f, l, 5).Result.Outcome, qt.Equals, errkind.MayHaveRun)
		f.handleStart(l, startMessage(5))
		time.Sleep(time.Second)
		qt.Check(t, reportedEnds(conn)[5], qt.Equals, "may_have_run")
		qt.Check(t, f.runner.started(), qt.DeepEquals, []uint64{5})
		qt.Check(t, settleOne(f, l, 6).State, qt.Equals, wire.TaskNeverSeen)
	})
}

// Guards against unbounded memory for kept answers, and against dropping an answer that
// its connection may not have delivered.
func TestAnswersAreBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(8, func(cfg *Config) { cfg.MaxResultBytes = 10 })
		l, conn, end := f.connect(testHome)
		f.handleStart(l, startMessage(1, 2))
		time.Sleep(time.Second)
		f.handleStart(l, startMessage(3))
		qt.Check(t, reportedEnds(conn)[3], qt.Equals, "record_full")
		end()
		time.Sleep(2 * resultRetention)
		f.sweep(time.Now())
		l, conn, end = f.connect(testHome)
		defer end()
		qt.Check(t, len(reportedEnds(conn)), qt.Equals, 3)
		f.sweep(time.Now())
		qt.Check(t, settleOne(f, l, 1).Result.Outcome, qt.Equals, errkind.Done)
		conn.unwritten.Store(1) // the home entry does not read
		time.Sleep(resultRetention)
		f.sweep(time.Now())
		qt.Check(t, settleOne(f, l, 1).Result.Outcome, qt.Equals, errkind.Done)
		conn.unwritten.Store(0)
		time.Sleep(resultRetention)
		f.sweep(time.Now())
		qt.Check(t, f.records.bytes, qt.Equals, int64(0))
		qt.Check(t, settleOne(f, l, 1).Result.Outcome, qt.Equals, errkind.MayHaveRun)
	})
}
