// Package loop is an event loop: it runs functions one after another on a single
// goroutine, so that the state they use needs no locks.
package loop

import (
	"context"
	"sync"
	"time"
)

// queueLength is the capacity of the queue; Post blocks while the queue is full.
const queueLength = 4096

// Controller is the component whose state the loop's goroutine owns.
type Controller interface {
	// Tick is called when TickInterval has elapsed since the last Tick.
	Tick(now time.Time)
	// AfterBatch is called after each batch of functions and after each Tick.
	AfterBatch(now time.Time)
	// TickInterval returns the time from the last Tick to the next one.
	TickInterval(now time.Time) time.Duration
}

// Loop is a queue of functions that Run executes.
type Loop struct {
	queue chan func()
	done  chan struct{}

	mu        sync.Mutex
	unbounded []func()      // of PostNonBlocking, in order
	wake      chan struct{} // has an element if unbounded may not be empty
}

// New returns a Loop, to be started with Run.
func New() *Loop {
	return &Loop{queue: make(chan func(), queueLength), done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Run executes queued functions and the ticks of c until ctx is done.
func (l *Loop) Run(ctx context.Context, c Controller) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastTick := time.Now()
	for {
		select {
		case f := <-l.queue:
			f()
			l.runQueued()
		case <-l.wake:
			l.runQueued()
		case <-timer.C:
			// Functions queued before the tick run first: after a pause of the process,
			// the messages that wait would otherwise be treated as missing by timeouts.
			l.runQueued()
			lastTick = time.Now()
			c.Tick(lastTick)
		case <-ctx.Done():
			return
		}
		now := time.Now()
		c.AfterBatch(now)
		// The interval counts from the last Tick, so that a steady stream of functions
		// does not postpone the next one.
		timer.Reset(max(c.TickInterval(now)-now.Sub(lastTick), 0))
	}
}

// runQueued runs the functions that are queued now, not those queued meanwhile.
func (l *Loop) runQueued() {
	for n := len(l.queue); n > 0; n-- {
		(<-l.queue)()
	}
	l.mu.Lock()
	functions := l.unbounded
	l.unbounded = nil
	l.mu.Unlock()
	for _, f := range functions {
		f()
	}
}

// Done returns a channel that is closed when Run returns.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Post queues f and returns true, or returns false if Run has returned. A queued function
// does not run if Run returns first.
func (l *Loop) Post(f func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// PostNonBlocking queues f without waiting for a place in the queue. It is for callers that hold a lock which
// functions on the loop acquire too; these would wait for each other while the queue is full. The
// functions of PostNonBlocking run in their order, but not in one order with those of Post.
func (l *Loop) PostNonBlocking(f func()) {
	l.mu.Lock()
	l.unbounded = append(l.unbounded, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do runs f on the loop and waits until f returns. The result is false if Run returned
// meanwhile or before; f may then have run or not.
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
