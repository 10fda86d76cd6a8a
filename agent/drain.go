package agent

import (
	"context"
	"time"
)

const (
	// idlePollInterval is how often a stopping connection is looked at.
	idlePollInterval = 5 * time.Millisecond
	// drainAckTimeout bounds the wait for an entry to confirm that it has seen
	// the drain; tasks that it sent before are refused until then.
	drainAckTimeout = 500 * time.Millisecond
	// closeTimeout bounds the delivery of the last messages of a connection and
	// the wait for a lost connection when an agent stops.
	closeTimeout = 5 * time.Second
)

// drain refuses new tasks from now on and waits until none is left.
func (c *core) drain() {
	c.mu.Lock()
	c.draining = true
	for l := range c.links {
		l.drainPending = true
		l.signal()
	}
	c.checkDrained()
	c.mu.Unlock()
	<-c.drained
}

func (c *core) checkDrained() {
	if !c.draining || c.running > 0 || c.queue.len() > 0 {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

// retire ends the use of one connection: its entry is told to send nothing
// more, and the tasks that it sent are finished and reported. It returns
// when that is done, when the connection ends or when ctx ends.
func (c *core) retire(ctx context.Context, l *link) {
	c.mu.Lock()
	if !l.retired && !c.draining {
		l.drainPending = true
	}
	l.retired = true
	l.signal()
	c.mu.Unlock()
	c.waitUntil(ctx, func() bool { return l.closed || l.idle() && l.home.pendingTasks == 0 })
}

// awaitDelivery waits until no result waits for a lost connection.
func (c *core) awaitDelivery(ctx context.Context) {
	c.waitUntil(ctx, func() bool {
		for _, h := range c.records.homes {
			if len(h.undelivered) > 0 {
				return false
			}
		}
		return true
	})
}

// waitUntil waits until done, called with the lock held, is true or ctx ends.
func (c *core) waitUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil {
		c.mu.Lock()
		ok := done()
		c.mu.Unlock()
		if ok {
			return
		}
		sleep(ctx, idlePollInterval)
	}
}
