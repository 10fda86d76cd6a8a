package agent

import (
	"context"
	"time"
)

const (
	// idlePollInterval is how often waitUntil checks its condition.
	idlePollInterval = 5 * time.Millisecond
	// drainAckTimeout bounds the wait for an entry's Ack of a Drain. Tasks that it
	// sent before are refused until then.
	drainAckTimeout = 500 * time.Millisecond
	// closeTimeout bounds the delivery of the last messages of a connection and,
	// when an agent stops, the wait for lost connections to be opened again.
	closeTimeout = 5 * time.Second
)

// drain makes the core refuse new tasks and waits until all admitted ones have ended.
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

// checkDrained closes drained when the core drains and no task is queued or running.
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

// retire sends a Drain on one link, refuses new tasks from it, and waits until the
// admitted tasks of its home are finished and reported, the connection ends or ctx ends.
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

// awaitDelivery waits until every report kept for a lost connection is queued on a new
// one, or ctx ends.
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

// waitUntil polls done, called with c.mu held, until it returns true or ctx ends.
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
