package bubble

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a crash of the race detector that made package members fail in CI:
// goroutines read expired timer channels while the bubble fires other timers of the
// same instant. With synctest.Test instead of Test, this test crashes or reports false
// races under -race on a machine with several processors.
func TestTimersOfOneInstant(t *testing.T) {
	const bubbles, goroutines, rounds = 8, 64, 100
	var fired atomic.Int64
	for range bubbles {
		Test(t, func(*testing.T) {
			var running sync.WaitGroup
			for range goroutines {
				running.Go(func() {
					for range rounds {
						time.AfterFunc(time.Millisecond, func() { fired.Add(1) })
						expired := time.NewTimer(time.Millisecond)
						time.Sleep(time.Millisecond)
						<-expired.C
						<-time.After(0)
					}
				})
			}
			running.Wait()
			time.Sleep(time.Second)
		})
	}
	qt.Check(t, fired.Load(), qt.Equals, int64(bubbles*goroutines*rounds))
}

// Guards against a processor limit that is lifted when the first of several bubbles
// ends, or that stays after the last one.
func TestProcessorsAreRestored(t *testing.T) {
	c := qt.New(t)
	before := runtime.GOMAXPROCS(0)
	var l processorLimit
	l.acquire()
	l.acquire()
	l.release()
	c.Check(runtime.GOMAXPROCS(0), qt.Equals, 1)
	l.release()
	c.Check(runtime.GOMAXPROCS(0), qt.Equals, before)
}
