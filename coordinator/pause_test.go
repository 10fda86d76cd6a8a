package coordinator

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against placement passes over a long queue that use all the time of the event loop, and against
// a pause that delays jobs while few wait.
func TestPlacementPause(t *testing.T) {
	c := quicktest.New(t)
	began := time.Now()
	ended := began.Add(time.Millisecond)
	c.Check(nextPlacement(pausedQueueLength-1, began, ended), quicktest.Equals, ended)
	c.Check(nextPlacement(pausedQueueLength, began, ended), quicktest.Equals, ended.Add(placementPause*time.Millisecond))
	c.Check(nextPlacement(pausedQueueLength, began, began.Add(time.Second)), quicktest.Equals, began.Add(time.Second+maxPlacementPause))
}
