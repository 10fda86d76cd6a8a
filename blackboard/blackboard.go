// Package blackboard applies all changes of a state on one goroutine and publishes
// immutable snapshots of it, which any goroutine reads without locks.
package blackboard

import (
	"context"
	"sync/atomic"
)

// maxQueuedChanges is the number of changes that can wait for Run.
const maxQueuedChanges = 256

// Board holds a state of type T. A published T must not be modified: a change returns a
// new value, which may share unchanged parts with the old one.
type Board[T any] struct {
	current atomic.Pointer[T]
	changes chan func(T) T
	done    chan struct{}
}

// New returns a board that has published initial. Run must be called once.
func New[T any](initial T) *Board[T] {
	b := &Board[T]{changes: make(chan func(T) T, maxQueuedChanges), done: make(chan struct{})}
	b.current.Store(&initial)
	return b
}

// Load returns the newest snapshot.
func (b *Board[T]) Load() *T { return b.current.Load() }

// Run applies the queued changes in order until ctx ends.
func (b *Board[T]) Run(ctx context.Context) {
	defer close(b.done)
	for {
		select {
		case change := <-b.changes:
			next := change(*b.current.Load())
			b.current.Store(&next)
		case <-ctx.Done():
			return
		}
	}
}

// Update queues a change for Run. It blocks while the queue is full, and reports false if
// the change could not be queued because Run has returned.
func (b *Board[T]) Update(change func(T) T) bool {
	select {
	case b.changes <- change:
		return true
	case <-b.done:
		return false
	}
}

// UpdateAndWait queues a change and waits until its result is published. It reports false
// if Run returned before that.
func (b *Board[T]) UpdateAndWait(change func(T) T) bool {
	applied := make(chan struct{})
	ok := b.Update(func(t T) T {
		next := change(t)
		// Published here as well as by Run, so that the caller sees its change on return.
		b.current.Store(&next)
		close(applied)
		return next
	})
	if !ok {
		return false
	}
	select {
	case <-applied:
		return true
	case <-b.done:
		return false
	}
}
