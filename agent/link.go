package agent

import (
	"context"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// heartbeatPeriod is the longest time without a message to an entry.
	heartbeatPeriod = time.Second
	// maxBatchBytes bounds the answers in one frame, well below MaxFrameBytes.
	maxBatchBytes = 512 << 10
	// maxBatchTasks bounds the tasks reported in one frame.
	maxBatchTasks = 256
	// deliveredAfter is how long a result that was sent is kept while its
	// connection stays open. A silent connection ends within two idle timeouts
	// of 2 s, so after this time the peer has received the result.
	deliveredAfter = 5 * time.Second
)

// sender is the part of transport.Conn that a link uses.
type sender interface {
	Send(ctx context.Context, m wire.Message) error
	Reply(ctx context.Context, callID uint64, m wire.Message) error
	Done() <-chan struct{}
}

// link is one connection to an entry. Its fields other than conn, home and wake
// are guarded by the core's mutex.
type link struct {
	core *core
	conn sender
	home *home
	wake chan struct{}

	out      []*entry // to report
	sent     []*entry // reported, result still kept
	replies  []reply
	announce bool
	drain    bool
	closed   bool
}

type reply struct {
	callID uint64
	body   wire.Message
}

// attach makes a link for conn and hands it everything that its home has not
// surely received. The caller runs link.run and calls core.detach at the end.
func (c *core) attach(conn sender, peer wire.Hello) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.record.home(peer.Node)
	l := &link{core: c, conn: conn, home: h, wake: make(chan struct{}, 1), announce: true, drain: c.draining}
	if old := h.link; old != nil {
		h.undelivered = append(h.undelivered, old.takeBack()...)
	}
	l.out, h.undelivered = h.undelivered, nil
	h.link = l
	c.links[l] = struct{}{}
	l.signal()
	return l
}

// detach ends a link. What its home may not have received is kept for the next.
func (c *core) detach(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.closed = true
	delete(c.links, l)
	h := l.home
	lost := l.takeBack()
	if h.link == l {
		h.link = nil
	}
	for _, e := range lost {
		c.report(e)
	}
}

func (l *link) takeBack() []*entry {
	lost := append(l.sent, l.out...)
	l.sent, l.out = nil, nil
	return lost
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends what the core queues on the link until the connection ends.
func (l *link) run() {
	heartbeat := time.NewTimer(heartbeatPeriod)
	defer heartbeat.Stop()
	for {
		select {
		case <-l.wake:
			if !l.flush() {
				return
			}
		case <-heartbeat.C:
			if l.conn.Send(context.Background(), l.core.heartbeat()) != nil {
				return
			}
		case <-l.conn.Done():
			return
		}
		heartbeat.Reset(heartbeatPeriod)
	}
}

// flush sends everything queued. It reports false when the connection ended.
func (l *link) flush() bool {
	for {
		b := l.core.take(l)
		if b == nil {
			return true
		}
		for _, m := range b.messages {
			if l.conn.Send(context.Background(), m) != nil {
				return false
			}
		}
		for _, r := range b.replies {
			if l.conn.Reply(context.Background(), r.callID, r.body) != nil {
				return false
			}
		}
	}
}

// batch is what one flush sends.
type batch struct {
	messages []wire.Message
	replies  []reply
}

// take removes the next batch from l's queue, or returns nil when it is empty.
func (c *core) take(l *link) *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := &batch{replies: l.replies}
	l.replies = nil
	if l.announce {
		l.announce = false
		b.messages = append(b.messages, c.announcement())
	}
	if l.drain {
		l.drain = false
		b.messages = append(b.messages, &wire.Drain{})
	}
	b.messages = append(b.messages, c.takeReports(l)...)
	if len(b.messages) == 0 && len(b.replies) == 0 {
		return nil
	}
	return b
}

// takeReports moves tasks from l.out to l.sent, as many as one Result may hold.
func (c *core) takeReports(l *link) []wire.Message {
	result := &wire.Result{Load: c.loadLocked()}
	refused := make(map[errkind.Kind]*wire.Refused)
	var messages []wire.Message
	size, n := 0, 0
	now := time.Now()
	for ; n < len(l.out) && n < maxBatchTasks && size <= maxBatchBytes; n++ {
		e := l.out[n]
		switch {
		case e.refused:
			m := refused[e.kind]
			if m == nil {
				m = &wire.Refused{Kind: e.kind, Load: result.Load}
				refused[e.kind] = m
				messages = append(messages, m)
			}
			m.Refs = append(m.Refs, e.ref)
		default:
			r := c.settleRef(e.home, e.ref, now).Result
			size += len(r.Body)
			result.Tasks = append(result.Tasks, *r)
		}
		e.sentAt = now
		l.sent = append(l.sent, e)
	}
	l.out = l.out[n:]
	if len(result.Tasks) > 0 {
		messages = append(messages, result)
	}
	return messages
}

// release drops answers that the home has received.
func (l *link) release(now time.Time) {
	n := 0
	for ; n < len(l.sent) && now.Sub(l.sent[n].sentAt) >= deliveredAfter; n++ {
		l.sent[n].result = nil
	}
	l.sent = l.sent[n:]
}

func (c *core) heartbeat() *wire.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.Heartbeat{Ticket: c.rules.ticket, Load: c.loadLocked()}
}

// Handle implements transport.Handler.
func (l *link) Handle(_ *transport.Conn, f wire.Frame) { l.handle(f) }

// Closed implements transport.Handler.
func (l *link) Closed(*transport.Conn, error) { l.core.detach(l) }

func (l *link) handle(f wire.Frame) {
	switch m := f.Body.(type) {
	case *wire.Start:
		l.core.start(l, m)
	case *wire.Settle:
		l.core.answer(l, f.CallID, l.core.settle(l, m))
	case *wire.Cancel:
		l.core.cancel(l, m)
	case *wire.State:
		l.core.setState(m)
	}
}

// answer queues the reply to a call; a one-way message is answered one-way.
func (c *core) answer(l *link, callID uint64, m wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.replies = append(l.replies, reply{callID, m})
	l.signal()
}
