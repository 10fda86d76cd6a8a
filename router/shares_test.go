package router

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/wire"
)

// fakeShares has one count to send and stores what it gets.
type fakeShares struct{ received map[string]int }

func (f *fakeShares) ShareCounts() []wire.ServiceShares { return []wire.ServiceShares{{Service: "s"}} }

func (f *fakeShares) SetShareCounts(entry string, _ []wire.ServiceShares, _ time.Time) {
	f.received[entry]++
}

// Guards against share counts that are sent to entries that place no jobs, too often, or without fair
// shares, and against counts of another region, whose capacity is divided on its own.
func TestShareCountsAreSentToPlacementEntries(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, _ *testEntry) {
		for _, enabled := range []bool{true, false} {
			shares := &fakeShares{received: make(map[string]int)}
			cfg := Config{Local: &fakeRunner{capacity: 1000}, Region: "r", Metrics: NewMetrics(prometheus.NewRegistry())}
			if enabled {
				cfg.Shares = shares
			}
			r := New(cfg)
			go r.Run(ctx)
			discard := func(wire.Message) error { return nil }
			connections := []uint64{r.Connected("near.1", "r", discard), r.Connected("far.1", "r2", discard)}
			sent := make(map[string]int)
			for _, name := range []string{"near.1", "far.1", "forwards.1"} {
				r.ForwarderConnected(name, func(m wire.Message) error {
					if status, ok := m.(*wire.PlacementStatus); ok && status.Shares != nil {
						sent[name]++
					}
					return nil
				})
			}
			time.Sleep(2 * time.Second)
			for _, n := range connections {
				r.Handle(n, &wire.PlacementStatus{Shares: []wire.ServiceShares{{Service: "s"}}})
			}
			r.mu.Lock()
			if enabled {
				c.Check(sent["near.1"] >= 8 && sent["near.1"] <= 10, qt.IsTrue, qt.Commentf("%v", sent))
				c.Check(shares.received, qt.DeepEquals, map[string]int{"near.1": 1})
				delete(sent, "near.1")
			}
			c.Check(sent, qt.HasLen, 0)
			r.mu.Unlock()
		}
	})
}

// Guards against share counts of many groups that exceed the traffic budget of a host, or arrive so
// seldom that they are ignored.
func TestIntervalOfShareCounts(t *testing.T) {
	c := qt.New(t)
	counts := func(groups int) []wire.ServiceShares {
		return []wire.ServiceShares{{Queues: make([]wire.GroupCount, groups)}}
	}
	c.Check(intervalOf(counts(12)), qt.Equals, sharesInterval)
	c.Check(intervalOf(counts(66)), qt.Equals, 528*time.Millisecond)
	c.Check(intervalOf(counts(500)) < time.Second, qt.IsTrue)
}
