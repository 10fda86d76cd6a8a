package ledger

import (
	"context"
	"testing"
	"time"

	"oriolerelay/job"
)

// unresponsiveStore does not respond until the context ends.
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

// Guards against telling the runner that an end is recorded although the process stopped
// before the write was applied. The next owner would run the task again.
func TestStopBeforeWriteReportsNothingRecorded(t *testing.T) {
	runner := &recordedRunner{}
	l := New(Config{
		Partitions: 1, Store: unresponsiveStore{}, Runner: runner, Timing: DefaultTiming(time.Second, time.Second, time.Second),
		Now: func() time.Duration { return 0 },
	})
	l.leaseExpiry = time.Second
	p := l.partitions[0]
	p.owned, p.takenOver, p.writable, p.epoch = true, true, true, 1
	p.jobs["j"] = &storedJob{submission: &job.Submission{ID: "j"}}
	p.dirty["j"] = job.Progress{State: job.Completed}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	l.recordBatch(ctx, p)
	if runner.recorded != 0 || p.jobs["j"].progress.State != "" {
		t.Errorf("%d jobs reported as recorded, state %q, although no write was applied", runner.recorded, p.jobs["j"].progress.State)
	}
}

// recordingStore collects the keys of appended records.
type recordingStore struct {
	Store
	keys []string
	// during is called during each append.
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

// reportOnStopRunner calls onStop for each job that the ledger stops. Tests report the
// progress of the job there.
type reportOnStopRunner struct {
	Runner
	onStop func(id string)
}

func (r *reportOnStopRunner) StopJob(id string)                     { r.onStop(id) }
func (r *reportOnStopRunner) ProgressRecorded(string, job.Progress) {}

func ownedPartition(store Store, runner Runner) (*Ledger, *partition) {
	l := New(Config{
		Partitions: 1, Store: store, Runner: runner, Timing: DefaultTiming(time.Second, time.Second, time.Second),
		Now: func() time.Duration { return 0 },
	})
	l.leaseExpiry = time.Second
	p := l.partitions[0]
	p.loaded, p.owned, p.takenOver, p.writable, p.epoch, p.sequence = true, true, true, true, 16, 2
	p.jobs["j"] = &storedJob{submission: &job.Submission{ID: "j"}, running: true}
	return l, p
}

// Guards against tasks that run twice after a partition changes its owner before the former
// owner has recorded their ends. With a suspended owner that resumed after another one had
// taken over its jobs, 6 tasks ran twice.
func TestFormerOwnerRecordsPendingProgress(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		store, runner := &recordingStore{}, &reportOnStopRunner{}
		l, p := ownedPartition(store, runner)
		runner.onStop = func(id string) { p.markDirty(id, job.Progress{Done: []job.TaskSet{{1}}}) } // ReportProgress with l.mu held
		l.mu.Lock()
		if fenced {
			l.releaseFenced(p, "fenced by a later owner")
		} else {
			l.release(p, "assigned to another member")
		}
		l.mu.Unlock()
		l.recordBatch(context.Background(), p)
		if wrote := len(store.keys) > 0; wrote == fenced {
			t.Errorf("fenced %v: wrote %v", fenced, store.keys)
		}
	}
}

// Guards against a write of a former epoch that advances the sequence of the next epoch. The
// store would reject all later writes of the owner.
func TestLateResponseKeepsSequenceOfNextEpoch(t *testing.T) {
	store := &recordingStore{}
	l, p := ownedPartition(store, &reportOnStopRunner{})
	p.dirty["j"] = job.Progress{}
	store.during = func() { p.epoch, p.sequence = 32, 2 }
	l.recordBatch(context.Background(), p)
	if len(store.keys) == 0 || p.sequence != 2 {
		t.Errorf("wrote %v; next sequence number of the new epoch is %d, want 2", store.keys, p.sequence)
	}
}

// Guards against a runner that is never told that an end is recorded. An owner read its own record
// of a job's end before the response to the write and then lost the partition. Agents with
// unconfirmed ends rejected runs of stored jobs for 15 s.
func TestReadEndRecordIsReportedToRunner(t *testing.T) {
	runner := &recordedRunner{}
	l, p := ownedPartition(&recordingStore{}, runner)
	value, err := encode(job.Progress{State: job.Completed})
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	l.apply(p, Record{Key: recordKey(kindProgress, "j"), Value: value}, true)
	l.release(p, "the lease has expired")
	l.mu.Unlock()
	if runner.recorded != 1 {
		t.Errorf("end reported as recorded %d times, want once", runner.recorded)
	}
}

// Guards against ends that are never recorded: a job that was accepted after a change of owner
// ended before the response to the new owner's first write.
func TestEndBeforeFenceResponseIsRecorded(t *testing.T) {
	store := &recordingStore{}
	l, p := ownedPartition(store, &reportOnStopRunner{})
	p.takenOver, p.writable = false, false
	l.ReportProgress("j", job.Progress{State: job.Completed})
	l.recordBatch(context.Background(), p)
	if len(store.keys) != 0 {
		t.Errorf("wrote %v before the owner record was stored", store.keys)
	}
	l.applyRead(p, ownerRecords(p.epoch, l.cfg.Member), 0)
	l.recordBatch(context.Background(), p)
	if len(store.keys) == 0 {
		t.Error("the end is not recorded")
	}
}

// Guards against ends that are kept for the next owner although the end of their job is
// recorded. Agents that keep too many ends reject runs of stored jobs.
func TestEveryEntryKnowsFinishedJobs(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{})
	p.owned, p.takenOver, p.writable = false, false, false
	p.jobs["done"] = &storedJob{progress: job.Progress{State: job.Completed}}
	for id, want := range map[string]bool{"j": false, "done": true, "unknown": false} {
		if got := l.JobFinished(id, p.epoch); got != want {
			t.Errorf("job %s: JobFinished = %v, want %v", id, got, want)
		}
	}
	p.takenOver = true
	if !l.JobFinished("unknown", p.epoch) {
		t.Error("JobFinished at the owner is false for a job that is not stored")
	}
}

// Guards against a stored task that runs again after its end was confirmed: a former owner that had not
// noticed the loss of its partition took the job of the later owner for one that is not stored.
func TestFormerOwnerKeepsEndsOfLaterOwner(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{})
	p.takenOver = true
	for epoch, want := range map[uint64]bool{0: true, p.epoch: true, p.epoch + 1: false} {
		if got := l.JobFinished("accepted-later", epoch); got != want {
			t.Errorf("epoch %d at the owner of epoch %d: JobFinished = %v, want %v", epoch, p.epoch, got, want)
		}
	}
}

// Guards against jobs that start only after the owner's next read, which can take 400 ms while
// waiting reads return nothing. A job that the owner has appended itself starts at once only
// if no record before it is unread, so the owner's own progress records must not count as unread.
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
			t.Errorf("%s: next offset %d, want %d", tc.name, p.nextOffset, tc.want)
		}
	}
}

// Guards against a job whose state goes back from ended to running: the owner wrote the end
// while a read was in progress that returned only the earlier progress record.
func TestProgressReadAfterEndIsIgnored(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{})
	p.jobs["j"] = &storedJob{progress: job.Progress{State: job.Completed}}
	value, err := encode(job.Progress{Done: []job.TaskSet{{1}}})
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	l.apply(p, Record{Key: recordKey(kindProgress, "j"), Value: value}, true)
	l.mu.Unlock()
	if got := p.jobs["j"].progress.State; got != job.Completed {
		t.Errorf("state %q, want completed", got)
	}
}

// Guards against an owner whose writes are lost because another owner has used its epoch (review case
// 2): the store takes them for repetitions. It must not act before it has read its own record, and must
// acquire the partition again with a higher epoch than all that were used.
func TestOwnerWithUsedEpochAcquiresHigherOne(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{onStop: func(string) {}})
	l.cfg.Member = "entry-2"
	p.takenOver, p.writable = false, false
	epoch := p.epoch
	l.applyRead(p, ownerRecords(epoch, "entry-1"), 0)
	if p.owned || p.writable {
		t.Errorf("owned %v, writable %v with the epoch of another owner", p.owned, p.writable)
	}
	if next := p.nextEpoch(2); next <= epoch {
		t.Errorf("next epoch %d, want one above %d", next, epoch)
	}
	p.owned, p.epoch = true, epoch+1
	l.applyRead(p, ownerRecords(p.epoch, "entry-2"), 2)
	if !p.owned || !p.writable || !p.ownerRead {
		t.Errorf("owned %v, writable %v, record read %v with an epoch of its own", p.owned, p.writable, p.ownerRead)
	}
}

// Guards against a takeover during an upgrade whose epoch an owner of an earlier version has used, which
// writes no claim.
func TestEpochOfOwnerWithoutClaimIsNotReused(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{onStop: func(string) {}})
	p.takenOver, p.writable = false, false
	epoch := p.epoch
	l.applyRead(p, ownerRecords(epoch, "")[1:], 0)
	if p.owned || p.writable || p.nextEpoch(1) <= epoch {
		t.Errorf("owned %v, writable %v, next epoch %d", p.owned, p.writable, p.nextEpoch(1))
	}
}

// adoptingRunner records the jobs that it adopts.
type adoptingRunner struct {
	Runner
	adopted []job.Submission
}

func (r *adoptingRunner) Adopt(s job.Submission, _ job.Progress, _ uint64) {
	r.adopted = append(r.adopted, s)
}

// Guards against a job that runs at the service of an older configuration than that under which it was
// accepted, because its owner has not read the newer one yet (rule CONFIG).
func TestOwnerWithOlderConfigKeepsQueueOfJob(t *testing.T) {
	for version, want := range map[uint64]string{4: "accepted", 5: "current", 6: "current"} {
		runner := &adoptingRunner{}
		l, p := ownedPartition(&recordingStore{}, runner)
		l.cfg.Queue = func(string) (job.Queue, uint64, bool) { return job.Queue{Name: "q", Service: "current"}, version, true }
		e := &storedJob{submission: &job.Submission{ID: "k", Queue: job.Queue{Name: "q", Service: "accepted"}, ConfigVersion: 5}}
		p.jobs["k"] = e
		l.startJob(p, "k", e)
		if len(runner.adopted) != 1 || runner.adopted[0].Queue.Service != want {
			t.Errorf("configuration %d: adopted %+v, want service %q", version, runner.adopted, want)
		}
	}
}
