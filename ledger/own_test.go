package ledger

import (
	"context"
	"testing"
	"time"

	"oriolerelay/job"
)

// unresponsiveStore answers nothing until the process stops.
type unresponsiveStore struct{ Store }

func (unresponsiveStore) Append(ctx context.Context, _ int, _ []Record, _ *Fence) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

type recordedRunner struct {
	Runner
	recorded int
}

func (r *recordedRunner) ProgressRecorded(string, job.Progress) { r.recorded++ }

// Guards against ends that are noted although the process stopped before they were
// recorded: the next owner ran their tasks again.
func TestStopBeforeWriteReportsNothingRecorded(t *testing.T) {
	runner := &recordedRunner{}
	l := New(Config{
		Partitions: 1, Store: unresponsiveStore{}, Runner: runner, Timing: DefaultTiming(time.Second, time.Second, time.Second),
		Now: func() time.Duration { return 0 },
	})
	l.leaseExpiry = time.Second
	p := l.partitions[0]
	p.owned, p.takenOver, p.writable, p.epoch = true, true, true, 1
	p.entries["j"] = &entry{submission: &job.Submission{ID: "j"}}
	p.dirty["j"] = job.Progress{State: job.Completed}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	l.recordBatch(ctx, p)
	if runner.recorded != 0 || p.entries["j"].progress.State != "" {
		t.Errorf("%d jobs were noted, state %q, and nothing was recorded", runner.recorded, p.entries["j"].progress.State)
	}
}

// recordingStore keeps the keys that are appended.
type recordingStore struct {
	Store
	keys []string
	// during runs while an append is under way.
	during func()
	offset uint64 // returned for each append
}

func (s *recordingStore) Append(_ context.Context, _ int, records []Record, _ *Fence) (uint64, error) {
	if s.during != nil {
		s.during()
	}
	for _, r := range records {
		s.keys = append(s.keys, r.Key)
	}
	return s.offset, nil
}

// reportOnStopRunner is a runner that reports the progress of jobs that it is told to drop.
type reportOnStopRunner struct {
	Runner
	drop func(id string)
}

func (r *reportOnStopRunner) StopJob(id string)                     { r.drop(id) }
func (r *reportOnStopRunner) ProgressRecorded(string, job.Progress) {}

func ownedPartition(store Store, runner Runner) (*Ledger, *partition) {
	l := New(Config{
		Partitions: 1, Store: store, Runner: runner, Timing: DefaultTiming(time.Second, time.Second, time.Second),
		Now: func() time.Duration { return 0 },
	})
	l.leaseExpiry = time.Second
	p := l.partitions[0]
	p.owned, p.takenOver, p.writable, p.epoch, p.sequence = true, true, true, 16, 2
	p.entries["j"] = &entry{submission: &job.Submission{ID: "j"}, running: true}
	return l, p
}

// Guards against ends that only a former owner knows: the partition moved on before it
// had recorded them, and the next owner ran the tasks again (bench: a frozen owner came
// back while another one had its jobs, 6 tasks done twice).
func TestFormerOwnerRecordsPendingProgress(t *testing.T) {
	for _, refused := range []bool{false, true} {
		store, runner := &recordingStore{}, &reportOnStopRunner{}
		l, p := ownedPartition(store, runner)
		runner.drop = func(id string) { p.markDirty(id, job.Progress{Done: []job.TaskSet{{1}}}) } // Report, with the lock held
		l.mu.Lock()
		if refused {
			l.releaseFenced(p, "a later owner has written")
		} else {
			l.release(p, "another member owns it")
		}
		l.mu.Unlock()
		l.recordBatch(context.Background(), p)
		if wrote := len(store.keys) > 0; wrote == refused {
			t.Errorf("refused %v: wrote %v", refused, store.keys)
		}
	}
}

// Guards against a write of a former epoch that counts as one of the next: the store
// refused all later writes of that owner.
func TestLateResponseKeepsSequenceOfNextEpoch(t *testing.T) {
	store := &recordingStore{}
	l, p := ownedPartition(store, &reportOnStopRunner{})
	p.dirty["j"] = job.Progress{}
	store.during = func() { p.epoch, p.sequence = 32, 2 }
	l.recordBatch(context.Background(), p)
	if len(store.keys) == 0 || p.sequence != 2 {
		t.Errorf("wrote %v; the next write of the new epoch has the number %d, not 2", store.keys, p.sequence)
	}
}

// Guards against ends that are never noted: the owner read its record of a job's end
// before the answer to its write, lost the partition meanwhile and never told the runner,
// and the agents took no stored run for 15 s.
func TestReadEndRecordIsReportedToRunner(t *testing.T) {
	runner := &recordedRunner{}
	l, p := ownedPartition(&recordingStore{}, runner)
	value, err := encode(job.Progress{State: job.Completed})
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	l.apply(p, Record{Key: recordKey(kindProgress, "j"), Value: value}, true)
	l.release(p, "the membership was not renewed")
	l.mu.Unlock()
	if runner.recorded != 1 {
		t.Errorf("noted %d times", runner.recorded)
	}
}

// Guards against ends that are never recorded: a job that was accepted after a takeover
// ended before the answer to the owner's first write.
func TestEndBeforeFenceResponseIsRecorded(t *testing.T) {
	store := &recordingStore{}
	l, p := ownedPartition(store, &reportOnStopRunner{})
	p.takenOver, p.writable = false, false
	l.ReportProgress("j", job.Progress{State: job.Completed})
	l.recordBatch(context.Background(), p)
	if len(store.keys) != 0 {
		t.Errorf("wrote %v before its own record", store.keys)
	}
	value, err := encode(p.epoch)
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	l.apply(p, Record{Key: ownerKey, Value: value}, true)
	l.mu.Unlock()
	l.recordBatch(context.Background(), p)
	if len(store.keys) == 0 {
		t.Error("the end is not recorded")
	}
}

// Guards against ends that wait for the next owner although the end of their job is
// recorded: agents take no stored run while too many wait.
func TestEveryEntryKnowsFinishedJobs(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{})
	p.owned, p.takenOver, p.writable = false, false, false
	p.entries["done"] = &entry{progress: job.Progress{State: job.Completed}}
	for id, want := range map[string]bool{"j": false, "done": true, "unknown": false} {
		if got := l.JobFinished(id); got != want {
			t.Errorf("job %s: over %v, not %v", id, got, want)
		}
	}
	p.takenOver = true
	if !l.JobFinished("unknown") {
		t.Error("the owner does not know that a job is not stored")
	}
}

// Guards against jobs that wait for the owner's next read, up to 400 ms while waiting
// reads hear nothing: its own records of progress counted as unread, and a job that it
// has stored itself runs at once only if nothing before it is unread.
func TestOwnRecordsAreNotReadAgain(t *testing.T) {
	for _, tc := range []struct {
		name         string
		offset, want uint64
	}{
		{"next record", 7, 8},
		{"behind a record of another process", 8, 7},
		{"read already", 6, 7},
	} {
		l, p := ownedPartition(&recordingStore{offset: tc.offset}, &reportOnStopRunner{})
		p.loaded, p.nextOffset = true, 7
		p.dirty["j"] = job.Progress{}
		l.recordBatch(context.Background(), p)
		if p.nextOffset != tc.want {
			t.Errorf("%s: reads on from %d, not %d", tc.name, p.nextOffset, tc.want)
		}
	}
}

// Guards against a job that is shown as running again: the owner wrote its end while a
// read was under way that had seen only the progress before.
func TestProgressReadAfterEndIsIgnored(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{})
	p.entries["j"] = &entry{progress: job.Progress{State: job.Completed}}
	value, err := encode(job.Progress{Done: []job.TaskSet{{1}}})
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	l.apply(p, Record{Key: recordKey(kindProgress, "j"), Value: value}, true)
	l.mu.Unlock()
	if got := p.entries["j"].progress.State; got != job.Completed {
		t.Errorf("state %q", got)
	}
}
