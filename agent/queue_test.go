package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// Guards against starting a task after its deadline. The deadline is checked on arrival,
// in the queue, and on the start of a queued task in case its timer fires late.
func TestDeadlineIsCheckedAtEachStep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		l, conn, end := f.connect(testHome)
		defer end()
		f.handleStart(l, startMessage(3))
		f.handleStart(l, &wire.Start{Tasks: []wire.StartTask{
			newStartTask(1, 0, ""), newStartTask(2, maxBudget+time.Second, ""), newStartTask(4, 50*time.Millisecond, ""), newStartTask(5, 200*time.Millisecond, ""),
		}})
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{1: "deadline_passed", 2: "invalid_request"})
		time.Sleep(49 * time.Millisecond)
		qt.Check(t, reportedEnds(conn), qt.HasLen, 0)
		time.Sleep(time.Millisecond) // refused at the deadline, not when a slot becomes free
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{4: "deadline_passed"})
		time.Sleep(time.Second)
		qt.Check(t, f.runner.started(), qt.DeepEquals, []uint64{3, 5})
		f.mu.Lock()
		late := &task{spec: newStartTask(6, 0, ""), deadline: time.Now()}
		late.record = &taskRecord{home: l.home, ref: 6, task: late}
		f.records.add(late.record, time.Now())
		f.queue.push(late)
		f.startQueued(time.Now())
		f.mu.Unlock()
		qt.Check(t, reportedEnds(conn)[6], qt.Equals, "deadline_passed")
		qt.Check(t, f.runner.started(), qt.HasLen, 2)
	})
}

// Guards against a queue that is not ordered by deadline, and against admitting more tasks
// than the endpoint's slots and the buffer.
func TestQueueIsOrderedAndBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, func(cfg *Config) { cfg.Buffer = 3 })
		l, conn, end := f.connect(testHome)
		defer end()
		f.handleStart(l, startMessage(1))
		f.handleStart(l, &wire.Start{Tasks: []wire.StartTask{
			newStartTask(2, 3*time.Second, ""), newStartTask(3, time.Second, ""), newStartTask(4, 2*time.Second, ""), newStartTask(5, time.Second, ""),
		}})
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{5: "queue_full"})
		qt.Check(t, f.load(), qt.Equals, wire.Load{Running: 1, Queued: 3})
		time.Sleep(time.Second)
		qt.Check(t, f.runner.started(), qt.DeepEquals, []uint64{1, 3, 4, 2})
	})
}

// Guards against running a queued task that was cancelled, and against a Cancel that
// interrupts a running task.
func TestCancel(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		l, conn, end := f.connect(testHome)
		defer end()
		f.handleStart(l, startMessage(1, 2, 3))
		f.handleCancel(l, &wire.Cancel{Refs: []uint64{1, 2, 99}})
		time.Sleep(time.Second)
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{1: "done", 2: "cancelled", 3: "done"})
		qt.Check(t, f.runner.started(), qt.DeepEquals, []uint64{1, 3})
	})
}

// Guards against a drain that admits tasks, interrupts admitted ones or returns before
// they have ended and been reported.
func TestDrainFinishesAdmittedTasks(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		l, conn, end := f.connect(testHome)
		defer end()
		f.handleStart(l, startMessage(1, 2))
		begin := time.Now()
		ended := make(chan struct{})
		go func() {
			f.drain()
			close(ended)
		}()
		qt.Check(t, takeMessages[*wire.Drain](conn), qt.HasLen, 1)
		f.handleStart(l, startMessage(3))
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{3: "draining"})
		<-ended
		qt.Check(t, time.Since(begin), qt.Equals, 200*time.Millisecond)
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{1: "done", 2: "done"})
	})
}

// Guards against losing tasks that an entry sent before its connection was retired.
func TestRetiredConnectionFinishesItsTasks(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		l, conn, end := f.connect(testHome)
		defer end()
		f.handleStart(l, startMessage(1, 2))
		f.retire(t.Context(), l)
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{1: "done", 2: "done"})
		qt.Check(t, takeMessages[*wire.Drain](conn), qt.HasLen, 1)
		f.handleStart(l, startMessage(3))
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{3: "draining"})
	})
}
