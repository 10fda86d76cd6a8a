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

// operation is one random action of the home entry, the endpoint or the clock.
type operation struct {
	action  string
	ref     uint64
	ms      int
	receive bool // the home entry reads its messages afterwards
}

func drawOperation(t *rapid.T) operation {
	return operation{
		action:  rapid.SampledFrom([]string{"start", "start", "start", "settle", "cancel", "reconnect", "wait", "offer"}).Draw(t, "action"),
		ref:     rapid.Uint64Range(1, 4).Draw(t, "ref"),
		ms:      rapid.SampledFrom([]int{0, 10, 120, 400, 5500, 45000}).Draw(t, "ms"),
		receive: rapid.Bool().Draw(t, "receive"),
	}
}

// model is the state of one home entry: what the agent reported to it for each ref.
type model struct {
	fixture  *fixture
	link     *link
	conn     *fakeConn
	end      func()
	reported map[uint64]errkind.Outcome
	started  map[uint64]bool // refs for which a Start was sent
	read     time.Time       // when the home entry last read its messages
	failure  string
}

func (m *model) failf(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

// observe checks that a ref which was reported as run is never reported as not run, nor
// the reverse. After its record has expired, either may be reported as may_have_run.
func (m *model) observe(ref uint64, outcome errkind.Outcome) {
	before, ok := m.reported[ref]
	if ok && before != outcome && outcome != errkind.MayHaveRun && before != errkind.MayHaveRun {
		m.failf("ref %d: reported as %s after %s", ref, outcome, before)
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
	case "reconnect": // messages that were sent and not read are lost
		m.end()
		m.link, m.conn, m.end = m.fixture.connect(testHome)
	case "wait":
		time.Sleep(time.Duration(op.ms) * time.Millisecond)
		if time.Since(m.read) >= resultRetention {
			m.receive() // a connection that delivers nothing for this long has been closed
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
			m.failf("ref %d ran, but was reported to its home entry as not run", ref)
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

// Checks random sequences of starts, duplicates, settles, cancels, lost connections,
// withdrawn endpoints and pauses: no key runs twice, no key runs that was reported to its
// home entry as not run, and every task is reported.
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
