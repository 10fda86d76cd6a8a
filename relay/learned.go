package relay

import (
	"context"
	"encoding/json"
	"time"

	"oriolerelay/coordinator"
	"oriolerelay/event"
)

// learnedSaveInterval is the time between two saves of the learned state of an entry. Callers
// change over hours, so it is short enough, and it costs one store call in each interval.
const learnedSaveInterval = 10 * time.Second

// learnedSource exports and imports learned state; coordinator.Coordinator implements it.
type learnedSource interface {
	ExportLearned() coordinator.LearnedState
	ImportLearned(l coordinator.LearnedState)
}

// learnedStore stores learned state; platform.Store implements it.
type learnedStore interface {
	SaveLearnedState(ctx context.Context, host string, learned []byte) error
	LoadLearnedState(ctx context.Context) ([][]byte, error)
}

// syncLearned imports the stored learned state of all entries into c, and then saves what c
// learns until ctx is done.
func syncLearned(ctx context.Context, host string, c learnedSource, store learnedStore, log *event.Logger) {
	records, err := store.LoadLearnedState(ctx)
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
	tick := time.NewTicker(learnedSaveInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		l := c.ExportLearned()
		if len(l.CallerTimeouts) == 0 {
			continue // this entry places no jobs
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
