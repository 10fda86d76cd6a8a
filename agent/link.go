package agent

import (
	"context"
	"slices"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

const (
	// heartbeatInterval is the longest time without a message to an entry.
	heartbeatInterval = time.Second
	// maxBatchBytes bounds the answers in one frame, well below MaxFrameBytes.
	maxBatchBytes = 512 << 10
	// maxBatchTasks bounds the tasks reported in one frame.
	maxBatchTasks = 256
	// resultRetention is how long a result that was sent is kept while its
	// connection stays open. A silent connection ends within two idle timeouts
	// of 2 s, so after this time the peer has received the result.
	resultRetention = 5 * time.Second
)

// sender is the part of transport.Conn that a link uses.
type sender interface {
	Send(ctx context.Context, m wire.Message) error
	Reply(ctx context.Context, callID uint64, m wire.Message) error
	Call(ctx context.Context, m wire.Message) (wire.Message, error)
	Unwritten() int
	Done() <-chan struct{}
}

// link is one connection to an entry. Its fields other than conn, home and wake
// are guarded by the core's mutex.
type link struct {
	core *core
	conn sender
	home *home
	wake chan struct{}

	unsent          []*taskRecord // to report
	sent            []*taskRecord // reported, result still kept
	replies         []reply
	announcePending bool
	drainPending    bool   // Drain is to be sent
	awaitingAck     bool   // Drain was sent and is not confirmed
	offeredTicket   uint64 // newest ticket sent to the peer
	statePending    bool   // the state is to be sent
	sending         bool   // a batch is being sent
	retired         bool   // new tasks are refused
	closed          bool
}

type reply struct {
	callID uint64
	body   wire.Message
}

// attach makes a link for conn and hands it everything that its home has not
// surely received. The caller runs link.run and calls detach at the end.
func (c *core) attach(conn sender, peer wire.Hello) *link {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.records.home(peer.Node, now)
	l := &link{core: c, conn: conn, home: h, wake: make(chan struct{}, 1), announcePending: true, drainPending: c.draining}
	if old := h.link; old != nil {
		h.undelivered = append(h.undelivered, old.takeUndelivered()...)
	}
	for _, rec := range h.undelivered {
		if !rec.expires.IsZero() && !h.hasRecord(rec) {
			continue // expired from the record meanwhile
		}
		l.unsent = append(l.unsent, rec)
	}
	c.metrics.countResent(len(l.unsent))
	h.undelivered = nil
	h.link = l
	c.links[l] = struct{}{}
	c.offerState(l, peer.Ticket)
	l.signal()
	return l
}

// detach ends a link. What its home may not have received is kept for the next.
func (c *core) detach(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.closed = true
	delete(c.links, l)
	lost := l.takeUndelivered()
	if l.home.link == l {
		l.home.link = nil
	}
	for _, rec := range lost {
		c.queueReport(rec)
	}
}

func (l *link) takeUndelivered() []*taskRecord {
	lost := append(l.sent, l.unsent...)
	l.sent, l.unsent = nil, nil
	return lost
}

// idle reports whether nothing is left to send on the link.
func (l *link) idle() bool {
	return !l.sending && len(l.unsent) == 0 && len(l.replies) == 0 && !l.drainPending && !l.awaitingAck
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends what the core queues on the link until the connection ends.
func (l *link) run() {
	heartbeat := time.NewTimer(heartbeatInterval)
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
		heartbeat.Reset(heartbeatInterval)
	}
}

// flush sends everything queued. It reports false when the connection ended.
func (l *link) flush() bool {
	ctx := context.Background() // Send returns when the connection ends
	for {
		b := l.core.nextBatch(l)
		if b == nil {
			return true
		}
		for _, m := range b.messages {
			if l.conn.Send(ctx, m) != nil {
				return false
			}
		}
		for _, r := range b.replies {
			if l.sendReply(ctx, r) != nil {
				return false
			}
		}
		if b.drain {
			go l.sendDrain()
		}
	}
}

// sendReply answers a call; a one-way message is answered one-way.
func (l *link) sendReply(ctx context.Context, r reply) error {
	if r.callID == 0 {
		return l.conn.Send(ctx, r.body)
	}
	return l.conn.Reply(ctx, r.callID, r.body)
}

// sendDrain tells the entry to send no more tasks and waits for its Ack. The
// stream keeps order, so tasks that were sent before arrive before the Ack.
func (l *link) sendDrain() {
	ctx, cancel := context.WithTimeout(context.Background(), drainAckTimeout)
	defer cancel()
	_, _ = l.conn.Call(ctx, &wire.Drain{}) // without an Ack the timeout covers tasks on their way
	l.core.mu.Lock()
	defer l.core.mu.Unlock()
	l.awaitingAck = false
}

// batch is what one flush sends.
type batch struct {
	messages []wire.Message
	replies  []reply
	drain    bool
}

// nextBatch removes the next batch from l's queue, or returns nil when it is empty.
func (c *core) nextBatch(l *link) *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := &batch{replies: l.replies, drain: l.drainPending}
	l.replies = nil
	if l.announcePending {
		b.messages = append(b.messages, c.buildAnnounce())
	}
	if l.statePending {
		b.messages = append(b.messages, c.rules.state)
	}
	l.awaitingAck = l.awaitingAck || l.drainPending
	l.announcePending, l.statePending, l.drainPending = false, false, false
	b.messages = append(b.messages, c.nextReports(l)...)
	l.sending = len(b.messages) > 0 || len(b.replies) > 0 || b.drain
	if !l.sending {
		return nil
	}
	return b
}

// nextReports moves tasks from l.out to l.sent, as many as one Result may hold.
func (c *core) nextReports(l *link) []wire.Message {
	result := &wire.Result{Load: c.loadLocked()}
	refused := make(map[errkind.Kind]*wire.Refused)
	var messages []wire.Message
	size, n := 0, 0
	now := time.Now()
	for ; n < len(l.unsent) && n < maxBatchTasks && size <= maxBatchBytes; n++ {
		rec := l.unsent[n]
		if rec.refused {
			m := refused[rec.kind]
			if m == nil {
				m = &wire.Refused{Kind: rec.kind, Load: result.Load}
				refused[rec.kind] = m
				messages = append(messages, m)
			}
			m.Refs = append(m.Refs, rec.ref)
		} else {
			r := rec.reportedResult()
			size += len(r.Body)
			result.Tasks = append(result.Tasks, r)
		}
		rec.sentAt = now
		l.sent = append(l.sent, rec)
	}
	l.unsent = l.unsent[n:]
	if len(result.Tasks) > 0 {
		messages = append(messages, result)
	}
	return messages
}

// dropDeliveredResults drops answers that l's home has received. While the home does not
// read, nothing counts as sent.
func (c *core) dropDeliveredResults(l *link, now time.Time) {
	if l.sending || l.conn.Unwritten() > 0 {
		for _, rec := range l.sent {
			rec.sentAt = now
		}
		return
	}
	n := 0
	for ; n < len(l.sent) && now.Sub(l.sent[n].sentAt) >= resultRetention; n++ {
		c.records.dropResult(l.sent[n])
	}
	if n > 0 {
		l.sent = slices.Clone(l.sent[n:]) // a copy, so that released entries can be collected
	}
}

func (c *core) heartbeat() *wire.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.Heartbeat{Ticket: c.rules.ticket, Load: c.loadLocked()}
}

// handle applies one message of the entry.
func (l *link) handle(f wire.Frame) {
	switch m := f.Body.(type) {
	case *wire.Start:
		l.core.handleStart(l, m)
	case *wire.Settle:
		l.core.queueReply(l, f.CallID, l.core.handleSettle(l, m))
	case *wire.Cancel:
		l.core.handleCancel(l, m)
	case *wire.State:
		l.core.applyState(m)
	case *wire.Heartbeat:
		l.core.handlePeerTicket(l, m.Ticket)
	case *wire.Drain:
		if f.CallID != 0 {
			l.core.queueReply(l, f.CallID, &wire.Ack{})
		}
	}
}

// queueReply queues the reply to a message.
func (c *core) queueReply(l *link, callID uint64, m wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.replies = append(l.replies, reply{callID, m})
	l.signal()
}
