package httplimit

import (
	"context"
	"time"
)

const (
	// drainBodyTime is the time for a body while its server drains.
	drainBodyTime = 500 * time.Millisecond
	// drainInterval is the time between two searches for connections that hold up a drain.
	drainInterval = 50 * time.Millisecond
)

// Drain ends what holds up the shutdown of the server of g until ctx ends: it closes connections without a
// header of a request, for which http.Server.Shutdown waits 5 s, and ends bodies that make no progress or
// take longer than drainBodyTime. Their handlers answer that the process is draining.
func (g *Group) Drain(ctx context.Context) {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for start := time.Now(); ; {
		for _, c := range g.endStalled(time.Now(), start) {
			_ = c.TCPConn.Close()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// endStalled ends the bodies that hold up a drain, and removes and returns the connections that do.
func (g *Group) endStalled(now, drainStart time.Time) (evicted []*Conn) {
	l := g.l
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := g.pending.first; c != nil && now.Sub(c.since) >= evictableAfter; c = g.pending.first {
		evicted = append(evicted, c.evict(causeDraining))
	}
	l.endDiscarding(now, drainInterval)
	for c := l.receiving.first; c != nil; {
		next, began := c.next, c.started
		if began.Before(drainStart) {
			began = drainStart
		}
		if c.group == g && (now.Sub(c.since) >= evictableAfter || now.Sub(began) >= drainBodyTime) {
			l.end(c, causeDraining)
		}
		c = next
	}
	return evicted
}
