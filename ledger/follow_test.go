package ledger

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolerelay/event"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
)

// countingStore counts reads of partitions. It holds one job, in a partition of another owner.
type countingStore struct {
	Store
	job job.Submission

	mu     sync.Mutex
	reads  int
	counts map[int]map[string]int
	put    map[int]map[string]int
}

func (s *countingStore) countRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
}

func (s *countingStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *countingStore) Newest(_ context.Context, partition int, handle func([]Record)) (uint64, error) {
	s.countRead()
	if partition != partitionOf(s.job.ID, partitions) {
		return 0, nil
	}
	value, err := encode(s.job)
	handle([]Record{{Key: recordKey(kindAccepted, s.job.ID), Value: value}})
	return 1, err
}

func (s *countingStore) Read(ctx context.Context, _ int, _ uint64, wait time.Duration, _ func(uint64, []Record)) error {
	s.countRead()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return ctx.Err()
}

func (*countingStore) Join(context.Context, string, uint64, time.Duration) (Membership, error) {
	return Membership{Generation: 1}, nil
}

func (*countingStore) Leave(context.Context, string) error { return nil }

func (s *countingStore) PutCounts(_ context.Context, counts map[int]map[string]int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put = counts
	return nil
}

func (s *countingStore) WatchCounts(ctx context.Context, _ *event.Logger, readInterval func() time.Duration, handle func(map[int]map[string]int)) {
	for ctx.Err() == nil {
		handle(s.counts)
		select {
		case <-time.After(readInterval()):
		case <-ctx.Done():
		}
	}
}

// idleRunner is a runner without jobs.
type idleRunner struct{ Runner }

func (idleRunner) CanRun() bool        { return true }
func (idleRunner) Started(string) bool { return false }

const partitions = 48

// Guards against reads that grow with the product of entries and partitions: 55 entries that
// each followed 48 partitions made 660 calls per second with no job stored.
func TestForeignPartitionsAreReadOnRequest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := &countingStore{
			job:    job.Submission{ID: "00000000000000a1", Queue: job.Queue{Name: "q"}, Steps: []job.Step{{Count: 1}}},
			counts: map[int]map[string]int{3: {"q": 7}, 5: {"q": 2, "other": 1}},
		}
		begun := time.Now()
		l := New(Config{
			Partitions: partitions, Store: store, Runner: idleRunner{},
			Timing: DefaultTiming(time.Second, time.Second, time.Second), Now: func() time.Duration { return time.Since(begun) },
		})
		done := make(chan struct{})
		go func() { l.Run(ctx); close(done) }()
		time.Sleep(time.Minute)
		if n := store.readCount(); n > 0 {
			t.Errorf("%d reads in a minute without a request, want none", n)
		}
		if n := l.Pending("q"); n != 9 {
			t.Errorf("Pending = %d, want the 9 jobs that the owners published", n)
		}
		for range 3 {
			if state, err := l.State(ctx, store.job.ID); err != nil || state != job.Queued {
				t.Errorf("State = %q, %v, want the queued state", state, err)
			}
		}
		if _, err := l.State(ctx, "00000000000000a2"); err == nil {
			t.Error("State of a job that is not stored: no error")
		}
		time.Sleep(time.Minute)
		requested := store.readCount()
		if requested > 40 {
			t.Errorf("%d reads for four requests, want at most 40", requested)
		}
		time.Sleep(time.Minute)
		if n := store.readCount(); n > requested {
			t.Errorf("%d reads in the second minute after the last request, want none", n-requested)
		}
		stop()
		synctest.Wait()
		<-done
	})
}

// Guards against queued jobs that no entry counts: an owner publishes its counts whenever
// they change, and only then.
func TestOwnersPublishCounts(t *testing.T) {
	store := &countingStore{}
	l, p := ownedPartition(store, idleRunner{})
	p.loaded = true
	p.jobs["j"].submission.Queue.Name = "q"
	changed := l.changedCounts()
	if changed[0]["q"] != 1 || l.Pending("q") != 1 {
		t.Errorf("changed counts %v, Pending = %d, want one queued job in both", changed, l.Pending("q"))
	}
	l.applyCounts(changed)
	if again := l.changedCounts(); len(again) > 0 {
		t.Errorf("counts %v are published again without a change", again)
	}
	delete(p.jobs, "j")
	if gone := l.changedCounts(); len(gone[0]) != 0 || len(gone) != 1 {
		t.Errorf("changed counts %v after the last job was removed, want an empty count", gone)
	}
}
