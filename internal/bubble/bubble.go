// Package bubble runs tests in synctest bubbles that are safe under the race detector.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a synctest bubble. Under the race detector it sets GOMAXPROCS to 1
// while f runs: all timers of a bubble share one race context, and Go 1.26 uses that
// context from two processors at once if a goroutine reads an expired timer channel
// while the bubble fires other timers. The race detector then crashes or reports false
// races. TestTimersOfOneInstant reproduces this.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		procLimit.acquire()
		defer procLimit.release()
	}
	synctest.Test(t, f)
}

// procLimit is shared by all bubbles of the process, since tests may run in parallel.
var procLimit processorLimit

// processorLimit keeps GOMAXPROCS at 1 while at least one bubble runs.
type processorLimit struct {
	mu       sync.Mutex
	bubbles  int
	previous int // GOMAXPROCS to restore after the last bubble
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
