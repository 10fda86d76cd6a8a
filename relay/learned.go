package relay

import (
	"context"
	"encoding/json"
	"time"

	"oriolerelay/coordinator"
	"oriolerelay/event"
)

// learnedInterval is the time between two records of what an entry has learned. It is short
// against the hours in which callers change, and costs a call in each interval.
const learnedInterval = 10 * time.Second

// learner is what keeps and learns; coordinator.Coordinator implements it.
type learner interface {
	ExportLearned() coordinator.LearnedState
	ImportLearned(l coordinator.LearnedState)
}

// learnedStore keeps what was learned; platform.Store implements it.
type learnedStore interface {
	SaveLearned(ctx context.Context, host string, learned []byte) error
	LoadLearned(ctx context.Context) ([][]byte, error)
}

// keepLearned hands what entries have learned to c, and records what c learns, until ctx
// ends.
func keepLearned(ctx context.Context, host string, c learner, store learnedStore, log *event.Logger) {
	records, err := store.LoadLearned(ctx)
	if err != nil && ctx.Err() == nil {
		log.Log(event.StoreUnavailable, "read", "learned", "error", err)
	}
	for _, b := range records {
		var l coordinator.LearnedState
		if err := json.Unmarshal(b, &l); err != nil {
			log.Log(event.RecordIgnored, "read", "learned", "error", err)
			continue
		}
		c.ImportLearned(l)
	}
	tick := time.NewTicker(learnedInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		l := c.ExportLearned()
		if len(l.CallerTimeouts) == 0 {
			continue // it places no jobs
		}
		b, err := json.Marshal(l)
		if err == nil {
			err = store.SaveLearned(ctx, host, b)
		}
		if err != nil && ctx.Err() == nil {
			log.Log(event.StoreUnavailable, "write", "learned", "error", err)
		}
	}
}
