// Package bubble runs tests in synctest bubbles.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a synctest bubble. Under the race detector the bubble has one
// processor: the timers of a bubble share one race context, which Go 1.26 uses on two
// processors at once when a goroutine reads an expired timer channel while the bubble
// fires other timers. The race detector then crashes or reports races that are none.
// TestTimersOfOneInstant shows it.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		procLimit.acquire()
		defer procLimit.release()
	}
	synctest.Test(t, f)
}

// oneProcessor counts the bubbles that run, since tests may be parallel.
var procLimit processorLimit

type processorLimit struct {
	mu       sync.Mutex
	bubbles  int
	previous int // processors outside bubbles
}

func (l *processorLimit) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bubbles == 0 {
		l.previous = runtime.GOMAXPROCS(1)
	}
	l.bubbles++
}

func (l *processorLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bubbles--
	if l.bubbles == 0 {
		runtime.GOMAXPROCS(l.previous)
	}
}
