// Package blackboard runs control state on one goroutine and publishes immutable
// snapshots of it. Controllers change the state through Do; every other
// goroutine reads the newest snapshot without locks.
package blackboard

import (
	"context"
	"sync/atomic"
)

// queuedChanges bounds the changes that wait for the control goroutine.
const maxQueuedChanges = 256

// Board holds state of type T. A published T must not be modified; a change
// returns a new value that may share unchanged parts with the old one.
type Board[T any] struct {
	current atomic.Pointer[T]
	changes chan func(T) T
	done    chan struct{}
}

// New returns a board with the initial state published. Run must be called once.
func New[T any](initial T) *Board[T] {
	b := &Board[T]{changes: make(chan func(T) T, maxQueuedChanges), done: make(chan struct{})}
	b.current.Store(&initial)
	return b
}

// Load returns the newest snapshot.
func (b *Board[T]) Load() *T { return b.current.Load() }

// Run applies changes in order until ctx ends. It is the control goroutine.
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

// Do queues a change for the control goroutine. It blocks while the queue is full and
// reports false when the board has stopped.
func (b *Board[T]) Update(change func(T) T) bool {
	select {
	case b.changes <- change:
		return true
	case <-b.done:
		return false
	}
}

// Sync queues a change and waits until its result is published.
func (b *Board[T]) UpdateAndWait(change func(T) T) bool {
	applied := make(chan struct{})
	ok := b.Update(func(t T) T {
		next := change(t)
		// Published here as well, so that the caller sees its change on return.
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
