package agent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// operation is one event at a home or agent.
type operation struct {
	action  string
	ref     uint64
	ms      int
	receive bool // the home reads what was sent to it
}

func drawOperation(t *rapid.T) operation {
	return operation{
		action:  rapid.SampledFrom([]string{"start", "start", "start", "settle", "cancel", "reconnect", "wait", "offer"}).Draw(t, "action"),
		ref:     rapid.Uint64Range(1, 4).Draw(t, "ref"),
		ms:      rapid.SampledFrom([]int{0, 10, 120, 400, 5500, 45000}).Draw(t, "ms"),
		receive: rapid.Bool().Draw(t, "receive"),
	}
}

// model is the naive view of one home: what it was told about each ref.
type model struct {
	fixture  *fixture
	link     *link
	conn     *fakeConn
	end      func()
	reported map[uint64]errkind.Outcome
	started  map[uint64]bool // refs for which a Start was sent
	read     time.Time       // when the home last read
	failure  string
}

func (m *model) failf(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

// observe checks that a ref which ran is never reported as not run, nor the
// reverse. A record that has expired may turn either into may_have_run.
func (m *model) observe(ref uint64, outcome errkind.Outcome) {
	before, ok := m.reported[ref]
	if ok && before != outcome && outcome != errkind.MayHaveRun && before != errkind.MayHaveRun {
		m.failf("ref %d: told %s after %s", ref, outcome, before)
	}
	if !ok || outcome != errkind.MayHaveRun {
		m.reported[ref] = outcome
	}
}

func (m *model) receive() {
	m.read = time.Now()
	for _, r := range takeMessages[*wire.Result](m.conn) {
		for _, task := range r.Tasks {
			m.observe(task.Ref, task.Outcome)
		}
	}
	for _, r := range takeMessages[*wire.Refused](m.conn) {
		for _, ref := range r.Refs {
			m.observe(ref, errkind.NotRun)
		}
	}
}

func (m *model) apply(op operation) {
	switch op.action {
	case "start":
		m.started[op.ref] = true
		m.fixture.handleStart(m.link, &wire.Start{Tasks: []wire.StartTask{newStartTask(op.ref, time.Duration(op.ms)*time.Millisecond, "")}})
	case "settle":
		switch got := settleOne(m.fixture, m.link, op.ref); got.State {
		case wire.TaskNeverSeen:
			m.observe(op.ref, errkind.NotRun)
		case wire.TaskFinished:
			m.observe(op.ref, got.Result.Outcome)
		}
	case "cancel":
		m.fixture.handleCancel(m.link, &wire.Cancel{Refs: []uint64{op.ref}})
	case "reconnect": // what was sent and not received is lost
		m.end()
		m.link, m.conn, m.end = m.fixture.connect(testHome)
	case "wait":
		time.Sleep(time.Duration(op.ms) * time.Millisecond)
		if time.Since(m.read) >= resultRetention {
			m.receive() // a connection that delivers nothing for so long has ended
		}
		m.fixture.sweep(time.Now())
	case "offer":
		m.fixture.announceEndpoint()
	}
	if op.receive {
		m.receive()
	}
}

func (m *model) check() {
	ran := make(map[uint64]int)
	for _, ref := range m.fixture.runner.started() {
		if ran[ref]++; ran[ref] > 1 {
			m.failf("ref %d ran %d times", ref, ran[ref])
		}
		if m.reported[ref] == errkind.NotRun {
			m.failf("ref %d ran, but its home was told that it did not", ref)
		}
	}
	for ref := range m.started {
		if m.reported[ref] == "" {
			m.failf("ref %d was started and never reported", ref)
		}
	}
	if load := m.fixture.load(); load != (wire.Load{}) {
		m.failf("load at the end is %+v", load)
	}
}

// Guards against any order of starts, duplicates, settles, cancels, lost
// connections, withdrawn endpoints and pauses in which a key runs twice, a key
// runs that its home was told has not run, or a task is never reported.
func TestTaskRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		operations := rapid.SliceOfN(rapid.Custom(drawOperation), 20, 80).Draw(rt, "steps")
		var m model
		bubble.Test(t, func(*testing.T) {
			m = model{
				fixture:  newFixture(2, func(cfg *Config) { cfg.MaxRecords = 6 }),
				read:     time.Now(),
				reported: make(map[uint64]errkind.Outcome), started: make(map[uint64]bool),
			}
			m.link, m.conn, m.end = m.fixture.connect(testHome)
			for _, op := range operations {
				m.apply(op)
			}
			time.Sleep(time.Second)
			m.receive()
			m.end()
			m.check()
		})
		if m.failure != "" {
			rt.Fatal(m.failure)
		}
	})
}
