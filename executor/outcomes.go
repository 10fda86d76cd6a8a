package executor

import (
	"time"

	"oriolerelay/wire"
)

// recentOutcomesCapacity bounds the outcomes that are kept for entries that reconnect.
const recentOutcomesCapacity = 1024

// recentOutcomes holds the final states of the most recent runs.
type recentOutcomes struct {
	byRun map[wire.Run]recentOutcome
	order []wire.Run
}

type recentOutcome struct {
	report     wire.Report
	recordedAt time.Time
}

func (c *recentOutcomes) add(r wire.Report, now time.Time) {
	if c.byRun == nil {
		c.byRun = make(map[wire.Run]recentOutcome)
	}
	if _, ok := c.byRun[r.Run]; !ok {
		c.order = append(c.order, r.Run)
	}
	c.byRun[r.Run] = recentOutcome{r, now}
	if len(c.order) > recentOutcomesCapacity {
		delete(c.byRun, c.order[0])
		c.order = c.order[1:]
	}
}

// find returns the final state of a run, or RunLost if it is not known.
func (c *recentOutcomes) find(id wire.Run) wire.Report {
	if o, ok := c.byRun[id]; ok {
		return o.report
	}
	return wire.Report{Run: id, State: wire.RunLost}
}
