package agent

import (
	"context"
	"slices"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

const (
	// heartbeatInterval is the longest time without a message to an entry; then a
	// heartbeat is sent.
	heartbeatInterval = time.Second
	// maxBatchBytes is the size of answers after which no further task is added to
	// a frame, well below MaxFrameBytes.
	maxBatchBytes = 512 << 10
	// maxBatchTasks bounds the number of tasks reported in one batch.
	maxBatchTasks = 256
	// resultRetention is how long a sent result is kept while its connection stays
	// open. A connection without traffic is closed within two idle timeouts of
	// 2 s, so after this time the peer has received the result.
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

// link is one connection to an entry with its queue of messages to send. Its fields
// other than core, conn, home and wake are guarded by the core's mutex.
type link struct {
	core *core
	conn sender
	home *home
	wake chan struct{}

	unsent          []*taskRecord // ended tasks to report
	sent            []*taskRecord // reported tasks whose results are kept until resultRetention has passed
	replies         []reply
	announcePending bool
	drainPending    bool   // a Drain is to be sent
	awaitingAck     bool   // a Drain was sent and no Ack was received
	offeredTicket   uint64 // ticket of the newest configuration offered to the peer
	statePending    bool   // the configuration is to be sent
	sending         bool   // a batch is being sent
	retired         bool   // new tasks are refused
	closed          bool
}

// reply is a message that answers a message of the peer; callID is 0 if that was one-way.
type reply struct {
	callID uint64
	body   wire.Message
}

// attach creates a link for conn and queues on it all reports that its home may not
// have received. The caller runs link.run and calls detach when the connection ends.
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
			continue // its record has expired since
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

// detach removes a link. Reports that its home may not have received move to the
// newest link of the home, or are kept for the next one.
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

// takeUndelivered removes and returns all tasks whose reports the peer may not have received.
func (l *link) takeUndelivered() []*taskRecord {
	lost := append(l.sent, l.unsent...)
	l.sent, l.unsent = nil, nil
	return lost
}

// idle reports whether the link has nothing to send and awaits no Ack.
func (l *link) idle() bool {
	return !l.sending && len(l.unsent) == 0 && len(l.replies) == 0 && !l.drainPending && !l.awaitingAck
}

// signal wakes run without blocking.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends what the core queues on the link, and heartbeats, until the connection ends.
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

// flush sends everything that is queued. It reports false when the connection has ended.
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

// sendReply sends r as the reply to a call, or as a one-way message if the
// message that it answers was one-way.
func (l *link) sendReply(ctx context.Context, r reply) error {
	if r.callID == 0 {
		return l.conn.Send(ctx, r.body)
	}
	return l.conn.Reply(ctx, r.callID, r.body)
}

// sendDrain tells the entry to send no more tasks and waits for its Ack. The
// stream preserves order, so tasks that the entry sent earlier arrive before the Ack.
func (l *link) sendDrain() {
	ctx, cancel := context.WithTimeout(context.Background(), drainAckTimeout)
	defer cancel()
	_, _ = l.conn.Call(ctx, &wire.Drain{}) // without an Ack, the timeout allows tasks in transit to arrive
	l.core.mu.Lock()
	defer l.core.mu.Unlock()
	l.awaitingAck = false
}

// batch is the set of messages that flush sends at a time.
type batch struct {
	messages []wire.Message
	replies  []reply
	drain    bool
}

// nextBatch removes the next batch from l's queue and returns it, or nil if the queue
// is empty.
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

// nextReports moves tasks from l.unsent to l.sent, as many as fit into one batch, and
// returns the messages that report them.
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

// dropDeliveredResults drops results that l's home has received. While bytes are waiting
// to be written to the connection, the retention time starts anew.
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
		l.sent = slices.Clone(l.sent[n:]) // a copy, so that the dropped records can be garbage-collected
	}
}

// heartbeat returns a Heartbeat with the ticket in force and the current load.
func (c *core) heartbeat() *wire.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.Heartbeat{Ticket: c.rules.ticket, Load: c.loadLocked()}
}

// handle processes one message from the entry.
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

// queueReply queues m as the reply to the message with callID, 0 if that was one-way.
func (c *core) queueReply(l *link, callID uint64, m wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.replies = append(l.replies, reply{callID, m})
	l.signal()
}
