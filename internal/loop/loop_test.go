package loop

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"oriolerelay/internal/bubble"
)

type counter struct{ ticks, batches int }

func (c *counter) Tick(time.Time)                       { c.ticks++ }
func (c *counter) AfterBatch(time.Time)                 { c.batches++ }
func (c *counter) TickInterval(time.Time) time.Duration { return 20 * time.Millisecond }

// Guards against ticks that never happen while functions arrive more often than the
// tick interval: leases and unanswered starts were then not checked under load.
func TestTicksUnderLoad(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		l, c := New(), &counter{}
		go l.Run(ctx, c)
		for range 200 {
			time.Sleep(5 * time.Millisecond)
			l.Post(func() {})
		}
		ticks := 0
		l.Do(func() { ticks = c.ticks })
		if ticks < 45 || ticks > 55 {
			t.Errorf("%d ticks in a second with an interval of 20 ms", ticks)
		}
		stop()
		synctest.Wait()
		if l.Post(func() {}) {
			t.Error("Post queued a function after Run returned")
		}
	})
}

// Guards against a deadlock of a caller that holds a lock for which the loop waits, while the queue is full.
func TestPostNonBlockingWithFullQueue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l, c := New(), &counter{}
		for range queueLength {
			l.Post(func() {})
		}
		var order []int
		for i := range 3 {
			l.PostNonBlocking(func() { order = append(order, i) })
		}
		ctx, stop := context.WithCancel(context.Background())
		go l.Run(ctx, c)
		l.Do(func() {})
		synctest.Wait()
		if !slices.Equal(order, []int{0, 1, 2}) {
			t.Errorf("the functions ran as %v", order)
		}
		stop()
		synctest.Wait()
	})
}
