package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/coordinator"
	"oriolerelay/event"
	"oriolerelay/internal/bubble"
	"oriolerelay/internal/syncbuf"
	"oriolerelay/policy"
)

// fakeLearned is a learnedSource with a fixed state of its own and a learnedStore. It keeps
// what is imported and what is saved.
type fakeLearned struct {
	mu      sync.Mutex
	records [][]byte
	fails   bool
	learned []coordinator.LearnedState
	own     coordinator.LearnedState
	saved   map[string]string
}

func (f *fakeLearned) ExportLearned() coordinator.LearnedState { return f.own }

func (f *fakeLearned) ImportLearned(l coordinator.LearnedState) { f.learned = append(f.learned, l) }

func (f *fakeLearned) LoadLearnedState(context.Context) ([][]byte, error) { return f.records, nil }

func (f *fakeLearned) SaveLearnedState(_ context.Context, host string, b []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fails {
		return errors.New("away")
	}
	f.saved[host] = string(b)
	return nil
}

// Guards against an entry that has no learned state of its callers after an outage, when it
// matters most, and against one that fails at a record that it cannot read or write.
func TestLearnedStateSurvivesRestart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := new(syncbuf.Buffer)
		run := func(f *fakeLearned) (stop func()) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				syncLearned(ctx, "host-1", f, f, event.NewLogger(log, "host-1"))
			}()
			return func() { cancel(); <-done }
		}
		known := coordinator.LearnedState{CallerTimeouts: map[string]policy.CallerTimeoutModel{"q": {Weight: 77, MeanLogTimeout: 0.5}}}
		first := &fakeLearned{own: known, saved: make(map[string]string), fails: true}
		stop := run(first)
		time.Sleep(learnedSaveInterval + time.Second)
		synctest.Wait()
		first.mu.Lock()
		first.fails = false
		first.mu.Unlock()
		c.Check(hasLogLine(log, "write=learned"), qt.IsTrue)
		time.Sleep(learnedSaveInterval)
		stop()
		c.Assert(first.saved["host-1"], qt.Not(qt.Equals), "")

		second := &fakeLearned{records: [][]byte{[]byte("{"), []byte(first.saved["host-1"])}, saved: make(map[string]string)}
		stop = run(second)
		synctest.Wait()
		c.Check(second.learned, qt.DeepEquals, []coordinator.LearnedState{known})
		c.Check(hasLogLine(log, "read=learned"), qt.IsTrue)
		time.Sleep(2 * learnedSaveInterval)
		stop()
		c.Check(second.saved, qt.HasLen, 0) // it has learned nothing itself
	})
}
