package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/wire"
)

// recorder is the naive record of what the endpoints did: each start and the
// body of each completed task, by submission and index.
type recorder struct {
	mu     sync.Mutex
	starts map[string]int
	bodies map[string]map[string]bool
}

func newRecorder() *recorder {
	return &recorder{starts: map[string]int{}, bodies: map[string]map[string]bool{}}
}

func taskName(submission string, index int) string { return fmt.Sprintf("%s/%d", submission, index) }

func (r *recorder) start(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[name]++
	return r.starts[name]
}

func (r *recorder) done(name, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bodies[name] == nil {
		r.bodies[name] = map[string]bool{}
	}
	r.bodies[name][body] = true
}

// faults decides what goes wrong. Each method is asked once per event.
type faults struct {
	mu       sync.Mutex
	choices  []int // drawn choices; without faults when used up
	disabled bool
}

// pick returns the next choice below n; 0 means no fault.
func (f *faults) pick(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disabled || len(f.choices) == 0 {
		return 0
	}
	x := f.choices[0]
	f.choices = f.choices[1:]
	return x % n
}

// fakeAgent follows the agent's part of section 5.1 of the design over links
// that fail. Its endpoint records starts in the recorder.
type fakeAgent struct {
	d       *Dispatcher
	rec     *recorder
	faults  *faults
	id      ids.Incarnation
	slots   int
	buffer  int
	runTime time.Duration
	failAll bool // every task fails at once

	mu       sync.Mutex
	tasks    map[uint64]*fakeTask
	queue    []*fakeTask
	running  int
	conn     *fakeConn
	dead     bool
	draining bool
}

type fakeTask struct {
	ref     uint64
	name    string
	state   wire.TaskState
	refused errkind.Kind
	result  *wire.TaskResult
}

func (a *fakeAgent) connect() {
	a.mu.Lock()
	if a.dead {
		a.mu.Unlock()
		return
	}
	l := &fakeConn{agent: a, ready: make(chan struct{})}
	a.conn = l
	a.mu.Unlock()
	l.session = a.d.attach(l, wire.Hello{Node: a.id, Role: wire.RoleAgent, Worker: a.id.Name})
	close(l.ready)
	l.deliver(&wire.Announce{Service: "veil-desk", Slots: uint32(a.slots), Buffer: uint32(a.buffer), Revision: 1})
}

func (a *fakeAgent) load() wire.Load {
	return wire.Load{Running: uint32(a.running), Queued: uint32(len(a.queue))}
}

// kill ends the process; with restart a new incarnation of the name follows.
func (a *fakeAgent) kill(restart bool) {
	a.mu.Lock()
	if a.dead {
		a.mu.Unlock()
		return
	}
	a.dead = true
	l := a.conn
	a.mu.Unlock()
	if l != nil {
		l.disconnect(0)
	}
	if restart {
		next := &fakeAgent{d: a.d, rec: a.rec, faults: a.faults, id: ids.Incarnation{Name: a.id.Name, Number: a.id.Number + 1},
			slots: a.slots, buffer: a.buffer, runTime: a.runTime, tasks: map[uint64]*fakeTask{}}
		time.AfterFunc(300*time.Millisecond, next.connect)
	}
}

// receive handles a message that arrived at the agent. The reply of a call is
// returned.
func (a *fakeAgent) receive(m wire.Message) wire.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dead {
		return nil
	}
	switch m := m.(type) {
	case *wire.Start:
		for i := range m.Tasks {
			a.start(&m.Tasks[i])
		}
	case *wire.Cancel:
		for _, ref := range m.Refs {
			a.cancel(ref)
		}
	case *wire.Settle:
		return a.settle(m.Refs)
	}
	return nil
}

func (a *fakeAgent) start(s *wire.StartTask) {
	if a.tasks[s.Ref] != nil {
		t := a.tasks[s.Ref]
		if t.refused != "" {
			a.reply(&wire.Refused{Refs: []uint64{s.Ref}, Kind: t.refused, Load: a.load()})
		}
		return
	}
	t := &fakeTask{ref: s.Ref, name: taskName(s.Submission, int(s.Index)), state: wire.TaskPending}
	a.tasks[s.Ref] = t
	fault := a.faults.pick(12)
	switch {
	case a.draining:
		a.refuse(t, errkind.Draining)
	case a.running+len(a.queue) >= a.slots+a.buffer || fault == 1:
		a.refuse(t, errkind.QueueFull)
	default:
		a.queue = append(a.queue, t)
		a.runNext()
	}
	switch fault {
	case 2:
		go a.kill(true)
	case 3:
		a.draining = true
		a.reply(&wire.Drain{})
		time.AfterFunc(time.Second, func() { a.kill(true) })
	}
}

func (a *fakeAgent) refuse(t *fakeTask, k errkind.Kind) {
	t.refused = k
	a.reply(&wire.Refused{Refs: []uint64{t.ref}, Kind: k, Load: a.load()})
}

func (a *fakeAgent) runNext() {
	for a.running < a.slots && len(a.queue) > 0 {
		t := a.queue[0]
		a.queue = a.queue[1:]
		a.running++
		if a.failAll {
			a.rec.start(t.name)
			go a.finish(t, &wire.TaskResult{Ref: t.ref, Outcome: errkind.MayHaveRun, Kind: errkind.TaskFailed})
			continue
		}
		fault := a.faults.pick(16)
		if fault == 1 {
			go a.finish(t, &wire.TaskResult{Ref: t.ref, Outcome: errkind.NotRun, Kind: errkind.ConnectionRefused})
			continue
		}
		n := a.rec.start(t.name)
		run := a.runTime
		if fault == 2 {
			run *= 40
		}
		r := &wire.TaskResult{Ref: t.ref, Outcome: errkind.Done, Body: fmt.Appendf(nil, "%s#%d@%s", t.name, n, a.id)}
		if fault == 3 {
			r = &wire.TaskResult{Ref: t.ref, Outcome: errkind.MayHaveRun, Kind: errkind.TaskFailed}
		}
		r.RunMicros = run.Microseconds()
		time.AfterFunc(run, func() { a.finish(t, r) })
		if fault == 4 {
			go a.kill(true)
		}
	}
}

func (a *fakeAgent) finish(t *fakeTask, r *wire.TaskResult) {
	if r.Outcome == errkind.Done {
		a.rec.done(t.name, string(r.Body))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t.state, t.result = wire.TaskFinished, r
	a.running--
	if a.dead {
		return
	}
	m := &wire.Result{Tasks: []wire.TaskResult{*r}, Load: a.load()}
	a.reply(m)
	if a.faults.pick(8) == 1 {
		a.reply(m) // duplicate
	}
	a.runNext()
}

func (a *fakeAgent) cancel(ref uint64) {
	for i, t := range a.queue {
		if t.ref == ref {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			a.refuse(t, errkind.Cancelled)
			return
		}
	}
}

func (a *fakeAgent) settle(refs []uint64) wire.Message {
	m := &wire.Settled{}
	for _, ref := range refs {
		t := a.tasks[ref]
		switch {
		case t == nil:
			a.tasks[ref] = &fakeTask{ref: ref, refused: errkind.ConnectionRefused}
			m.Tasks = append(m.Tasks, wire.SettledTask{Ref: ref, State: wire.TaskNeverSeen})
		case t.refused != "":
			m.Tasks = append(m.Tasks, wire.SettledTask{Ref: ref, State: wire.TaskNeverSeen})
		default:
			m.Tasks = append(m.Tasks, wire.SettledTask{Ref: ref, State: t.state, Result: t.result})
		}
	}
	return m
}

// reply sends on the newest link. The agent's lock is held.
func (a *fakeAgent) reply(m wire.Message) {
	if a.conn != nil {
		l := a.conn
		go l.deliver(m)
	}
}

// fakeConn is a connection whose messages are delayed, lost by a cut, or
// swallowed for ever.
type fakeConn struct {
	agent   *fakeAgent
	ready   chan struct{} // closed when session is set
	session *session

	mu     sync.Mutex
	closed bool
	silent bool
}

var errDisconnected = errors.New("link cut")

// disconnect ends the connection on both sides and dials again after the delay.
func (l *fakeConn) disconnect(redial time.Duration) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	l.mu.Unlock()
	<-l.ready
	l.session.handleClosed(errDisconnected)
	if redial > 0 {
		time.AfterFunc(redial, l.agent.connect)
	}
}

// pickFault picks what happens to a message and reports whether it is delivered.
func (l *fakeConn) pickFault() (delay time.Duration, lost bool) {
	const redial = 100 * time.Millisecond
	switch l.agent.faults.pick(24) {
	case 1: // the connection fails and the message is lost
		go l.disconnect(redial)
		return 0, true
	case 2: // the message arrives, then the connection fails
		go l.disconnect(redial)
		return 0, false
	case 3: // silent for ever; the agent notices after the idle timeout
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
		time.AfterFunc(2*time.Second, func() { l.disconnect(redial) })
		return 0, true
	case 4: // a second connection overtakes this message
		go l.agent.connect()
		return 700 * time.Millisecond, false
	case 5, 6: // late, also after messages that were sent later
		return 30 * time.Millisecond, false
	}
	return time.Millisecond, false
}

func (l *fakeConn) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *fakeConn) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Send accepts a message and delivers it later, or not. A message that was sent
// before a cut may still arrive after it.
func (l *fakeConn) Send(_ context.Context, m wire.Message) error {
	if l.isClosed() {
		return errDisconnected
	}
	delay, lost := l.pickFault()
	if !lost && !l.isSilent() {
		time.AfterFunc(delay, func() { l.agent.receive(m) })
	}
	return nil
}

func (l *fakeConn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	if l.isClosed() {
		return nil, errDisconnected
	}
	delay, lost := l.pickFault()
	replies := make(chan wire.Message, 1)
	if !lost && !l.isSilent() {
		time.AfterFunc(delay, func() {
			if r := l.agent.receive(m); r != nil && !l.isSilent() {
				time.AfterFunc(time.Millisecond, func() { replies <- r })
			}
		})
	}
	select {
	case r := <-replies:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *fakeConn) Reply(context.Context, uint64, wire.Message) error { return nil }

func (l *fakeConn) Close() error {
	l.disconnect(100 * time.Millisecond)
	return nil
}

// deliver delivers a message of the agent to the home.
func (l *fakeConn) deliver(m wire.Message) {
	if l.isClosed() {
		return
	}
	delay, lost := time.Millisecond, false
	if m.MessageType() != wire.TypeAnnounce {
		delay, lost = l.pickFault()
	}
	if lost || l.isSilent() {
		return
	}
	time.AfterFunc(delay, func() {
		<-l.ready
		l.session.handleFrame(wire.Frame{Body: m})
	})
}
