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

// recorder records what the endpoints executed, independently of the dispatcher:
// the starts and the result bodies of each task, by submission and index.
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

// faults injects faults. pick is called once per event.
type faults struct {
	mu       sync.Mutex
	choices  []int // random choices; no faults once they are used up
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

// fakeAgent implements the agent side of the task protocol (section 5.1 of the
// design) over connections that fail. Its endpoint records starts in the recorder.
type fakeAgent struct {
	d       *Dispatcher
	rec     *recorder
	faults  *faults
	id      ids.Incarnation
	slots   int
	buffer  int
	runTime time.Duration
	failAll bool // every task fails immediately

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

// kill ends the agent process. With restart, a new incarnation of the agent
// connects later.
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

// receive handles a message to the agent. It returns the reply if the message is a
// call.
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

// reply sends a message on the newest connection. The caller holds a.mu.
func (a *fakeAgent) reply(m wire.Message) {
	if a.conn != nil {
		l := a.conn
		go l.deliver(m)
	}
}

// fakeConn is a connection that delays messages, loses them when it fails, or
// drops all of them without an error.
type fakeConn struct {
	agent   *fakeAgent
	ready   chan struct{} // closed once session is set
	session *session

	mu         sync.Mutex
	closed     bool
	blackholed bool
}

var errDisconnected = errors.New("connection failed")

// disconnect ends the connection on both sides and redials after the delay, if
// it is not zero.
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

// pickFault picks the delay of a message and whether it is lost, and injects a
// connection fault if one is drawn.
func (l *fakeConn) pickFault() (delay time.Duration, lost bool) {
	const redial = 100 * time.Millisecond
	switch l.agent.faults.pick(24) {
	case 1: // the connection fails before the message is delivered
		go l.disconnect(redial)
		return 0, true
	case 2: // the message is delivered and the connection fails
		go l.disconnect(redial)
		return 0, false
	case 3: // all messages are dropped until the idle timeout of the agent closes the connection
		l.mu.Lock()
		l.blackholed = true
		l.mu.Unlock()
		time.AfterFunc(2*time.Second, func() { l.disconnect(redial) })
		return 0, true
	case 4: // a new connection is attached before the message arrives
		go l.agent.connect()
		return 700 * time.Millisecond, false
	case 5, 6: // delayed, possibly reordered
		return 30 * time.Millisecond, false
	}
	return time.Millisecond, false
}

func (l *fakeConn) isBlackholed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed
}

func (l *fakeConn) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Send delivers a message after a delay, or loses it. A message that was sent
// before a disconnect may still arrive after it.
func (l *fakeConn) Send(_ context.Context, m wire.Message) error {
	if l.isClosed() {
		return errDisconnected
	}
	delay, lost := l.pickFault()
	if !lost && !l.isBlackholed() {
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
	if !lost && !l.isBlackholed() {
		time.AfterFunc(delay, func() {
			if r := l.agent.receive(m); r != nil && !l.isBlackholed() {
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

// deliver delivers a message of the agent to the dispatcher.
func (l *fakeConn) deliver(m wire.Message) {
	if l.isClosed() {
		return
	}
	delay, lost := time.Millisecond, false
	if m.MessageType() != wire.TypeAnnounce {
		delay, lost = l.pickFault()
	}
	if lost || l.isBlackholed() {
		return
	}
	time.AfterFunc(delay, func() {
		<-l.ready
		l.session.handleFrame(wire.Frame{Body: m})
	})
}
