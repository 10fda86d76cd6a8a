package router

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
)

// Guards against a returned job that is tried more than once elsewhere, loses the time that it has used, or
// is refused since the entry that it was returned for is not connected.
func TestReturnedJob(t *testing.T) {
	for name, tc := range map[string]struct {
		to      string
		full    bool // the entry b
		a, b    int  // submissions there
		refused bool
	}{
		"placed at the other entry":  {"b", false, 1, 1, false},
		"the other entry is full":    {"b", true, 1, 1, true},
		"the other entry is lost":    {"c", false, 2, 0, true},
		"returned to the same entry": {"a", false, 2, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
				a, b := newTestEntry(ctx, 9000), newTestEntry(ctx, 0)
				connect(ctx, front, a, "a")
				connect(ctx, front, b, "b")
				time.Sleep(100 * time.Millisecond)
				a.runner.full, a.runner.returnTo, b.runner.full = true, tc.to, tc.full
				s := submission("j", 10*time.Millisecond)
				s.Elapsed = 7 * time.Millisecond
				_, err := front.Submit(ctx, s)
				c.Check(err != nil && err.Kind == errkind.QueueFull, qt.Equals, tc.refused, qt.Commentf("%v", err))
				c.Check([]int{a.runner.count(), b.runner.count()}, qt.DeepEquals, []int{tc.a, tc.b})
				for _, again := range append(a.runner.submitted[1:], b.runner.submitted...) {
					c.Check(again.ReturnedBy, qt.Equals, "a")
					c.Check(again.Elapsed >= s.Elapsed, qt.IsTrue)
				}
			})
		})
	}
}
