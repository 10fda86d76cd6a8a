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
	Learned() coordinator.Learned
	Learn(l coordinator.Learned)
}

// learnedStore keeps what was learned; platform.Store implements it.
type learnedStore interface {
	SaveLearnedState(ctx context.Context, host string, learned []byte) error
	LoadLearnedState(ctx context.Context) ([][]byte, error)
}

// keepLearned hands what entries have learned to c, and records what c learns, until ctx
// ends.
func keepLearned(ctx context.Context, host string, c learner, store learnedStore, log *event.Logger) {
	records, err := store.LoadLearnedState(ctx)
	if err != nil && ctx.Err() == nil {
		log.Log(event.StoreUnavailable, "read", "learned", "error", err)
	}
	for _, b := range records {
		var l coordinator.Learned
		if err := json.Unmarshal(b, &l); err != nil {
			log.Log(event.RecordIgnored, "read", "learned", "error", err)
			continue
		}
		c.Learn(l)
	}
	tick := time.NewTicker(learnedInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		l := c.Learned()
		if len(l.Patience) == 0 {
			continue // it places no jobs
		}
		b, err := json.Marshal(l)
		if err == nil {
			err = store.SaveLearnedState(ctx, host, b)
		}
		if err != nil && ctx.Err() == nil {
			log.Log(event.StoreUnavailable, "write", "learned", "error", err)
		}
	}
}
