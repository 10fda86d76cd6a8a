// Package loop runs functions one after another on one goroutine, which then
// owns the state that they touch.
package loop

import (
	"context"
	"time"
)

// queueLength bounds the functions that wait; Post blocks beyond it.
const queueLength = 4096

// Controller is the state that a Loop serves.
type Controller interface {
	// Tick is called when the time that Next returned has passed.
	Tick(now time.Time)
	// AfterBatch is called after each batch of functions and after each Tick.
	AfterBatch(now time.Time)
	// Next returns how long the loop may sleep until the next Tick.
	Next(now time.Time) time.Duration
}

// Loop is a queue of functions and the goroutine that runs them.
type Loop struct {
	work chan func()
	done chan struct{}
}

// New returns a Loop that does not run yet.
func New() *Loop {
	return &Loop{work: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run serves c until ctx ends.
func (l *Loop) Run(ctx context.Context, c Controller) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticked := time.Now()
	for {
		select {
		case f := <-l.work:
			f()
			l.drain()
		case <-timer.C:
			// What arrived before the tick is handled before time is judged: after a
			// pause of the process, messages wait that would otherwise count as missing.
			l.drain()
			ticked = time.Now()
			c.Tick(ticked)
		case <-ctx.Done():
			return
		}
		now := time.Now()
		c.AfterBatch(now)
		// The period counts from the last Tick, so that a stream of functions does not
		// put it off.
		timer.Reset(max(c.Next(now)-now.Sub(ticked), 0))
	}
}

func (l *Loop) drain() {
	for n := len(l.work); n > 0; n-- {
		(<-l.work)()
	}
}

// Done is closed when Run has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Post queues f. It reports whether f was queued; it is not after Run has ended.
func (l *Loop) Post(f func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.work <- f:
		return true
	case <-l.done:
		return false
	}
}

// Do runs f on the loop and waits for it.
func (l *Loop) Do(f func()) bool {
	finished := make(chan struct{})
	if !l.Post(func() { f(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}
