package ledger

import (
	"context"
	"testing"
	"time"

	"oriolerelay/job"
)

// stoppedStore answers nothing until the process stops.
type stoppedStore struct{ Store }

func (stoppedStore) Append(ctx context.Context, _ int, _ []Record, _ *Fence) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

type notedRunner struct {
	Runner
	noted int
}

func (r *notedRunner) Noted(string, job.Progress) { r.noted++ }

// Guards against ends that are noted although the process stopped before they were
// recorded: the next owner ran their tasks again.
func TestStopBeforeRecordNotesNothing(t *testing.T) {
	runner := &notedRunner{}
	l := New(Config{
		Partitions: 1, Store: stoppedStore{}, Runner: runner, Timing: DefaultTiming(time.Second, time.Second, time.Second),
		Now: func() time.Duration { return 0 },
	})
	l.lease = time.Second
	p := l.parts[0]
	p.owned, p.active, p.fenced, p.epoch = true, true, true, 1
	p.entries["j"] = &entry{submission: &job.Submission{ID: "j"}}
	p.dirty["j"] = job.Progress{State: job.Completed}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	l.recordOnce(ctx, p)
	if runner.noted != 0 || p.entries["j"].progress.State != "" {
		t.Errorf("%d jobs were noted, state %q, and nothing was recorded", runner.noted, p.entries["j"].progress.State)
	}
}

// recordingStore keeps the keys that are appended.
type recordingStore struct {
	Store
	keys []string
	// during runs while an append is under way.
	during func()
}

func (s *recordingStore) Append(_ context.Context, _ int, records []Record, _ *Fence) (uint64, error) {
	if s.during != nil {
		s.during()
	}
	for _, r := range records {
		s.keys = append(s.keys, r.Key)
	}
	return 0, nil
}

// lastReport is a runner that reports the progress of jobs that it is told to drop.
type lastReport struct {
	Runner
	drop func(id string)
}

func (r *lastReport) Drop(id string)             { r.drop(id) }
func (r *lastReport) Noted(string, job.Progress) {}

func ownedPartition(store Store, runner Runner) (*Ledger, *partition) {
	l := New(Config{
		Partitions: 1, Store: store, Runner: runner, Timing: DefaultTiming(time.Second, time.Second, time.Second),
		Now: func() time.Duration { return 0 },
	})
	p := l.parts[0]
	p.owned, p.active, p.fenced, p.epoch, p.sequence = true, true, true, 16, 2
	p.entries["j"] = &entry{submission: &job.Submission{ID: "j"}, running: true}
	return l, p
}

// Guards against ends that only a former owner knows: the partition moved on before it
// had recorded them, and the next owner ran the tasks again (bench: a frozen owner came
// back while another one had its jobs, 6 tasks done twice).
func TestFormerOwnerRecordsWhatItKnows(t *testing.T) {
	for _, refused := range []bool{false, true} {
		store, runner := &recordingStore{}, &lastReport{}
		l, p := ownedPartition(store, runner)
		runner.drop = func(id string) { p.setDirty(id, job.Progress{Done: []job.TaskSet{{1}}}) } // Report, with the lock held
		l.mu.Lock()
		if refused {
			l.refused(p, "a later owner has written")
		} else {
			l.release(p, "another member owns it")
		}
		l.mu.Unlock()
		l.recordOnce(context.Background(), p)
		if wrote := len(store.keys) > 0; wrote == refused {
			t.Errorf("refused %v: wrote %v", refused, store.keys)
		}
	}
}

// Guards against a write of a former epoch that counts as one of the next: the store
// refused all later writes of that owner.
func TestLateAnswerLeavesTheNextSequence(t *testing.T) {
	store := &recordingStore{}
	l, p := ownedPartition(store, &lastReport{})
	p.dirty["j"] = job.Progress{}
	store.during = func() { p.epoch, p.sequence = 32, 2 }
	l.recordOnce(context.Background(), p)
	if p.sequence != 2 {
		t.Errorf("the next write of the new epoch has the number %d, not 2", p.sequence)
	}
}
