package ledger

import (
	"context"
	"strings"
	"testing"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

func acceptedRecord(t *testing.T, id, payload string) Record {
	t.Helper()
	value, err := encode(job.Submission{ID: id, Queue: job.Queue{Name: "q"}, Payload: payload, Steps: []job.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return Record{Key: recordKey(kindAccepted, id), Value: value}
}

// Guards against entries that hold the payloads of all stored jobs, which outlive their requests: one that
// does not own a partition needs only the states of its jobs, and reads them again when it acquires it.
func TestOnlyTheOwnerHoldsPayloads(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{onStop: func(string) {}})
	payload := func() string { return p.jobs["k"].submission.Payload }
	record := acceptedRecord(t, "k", strings.Repeat("x", 1000))
	l.apply(p, record, true)
	if len(payload()) != 1000 {
		t.Fatal("the owner does not hold the payload")
	}
	l.release(p, "assigned to another member")
	if e, err := l.lookUp(p, "k"); payload() != "" || err != nil || e.submission.Queue.Name != "q" {
		t.Errorf("payload of %d bytes without the partition, error %v", len(payload()), err)
	}
	p.owned = true
	l.apply(p, record, false)
	if len(payload()) != 1000 {
		t.Error("the next owner does not read the payload")
	}
}

// Guards against stored jobs that are accepted beyond the memory of their owner: those that this entry
// appends, with those that owners count, and neither twice.
func TestUseOfStoredJobs(t *testing.T) {
	store := &recordingStore{offset: 7}
	l, p := ownedPartition(store, &reportOnStopRunner{})
	p.owned, p.loaded = false, false
	admits := true
	var use Use
	l.cfg.Admits = func(all, _ Use, _ int64) bool { use = all; return admits }
	s := job.Submission{ID: "k", Queue: job.Queue{Name: "q"}, Steps: []job.Step{{Count: 100}}}
	check := func(what string, want Use) {
		t.Helper()
		l.mu.Lock()
		got, ofQueue := l.use("q")
		l.mu.Unlock()
		if got != want || ofQueue != want {
			t.Errorf("%s: %+v and %+v of the queue, want %+v", what, got, ofQueue, want)
		}
	}
	store.during = func() {
		check("while it is appended", Use{0, s.MemoryBytes() + summaryBytes, s.MemoryBytes() + summaryBytes})
	}
	if err := l.Accept(context.Background(), s); err != nil {
		t.Fatal(err)
	}
	l.applyCounts(map[int]map[string]int{0: {kibNamePrefix + "q": 40, countedName: 8, "q": 1}})
	check("counted", Use{40 << 10, 0, s.MemoryBytes() + summaryBytes})
	if n := l.Pending("q"); n != 1 {
		t.Errorf("%d pending jobs", n)
	}
	l.cfg.Timing.CountInterval = time.Nanosecond
	check("known to all entries", Use{40 << 10, 0, 0})
	store.during = nil
	if err := l.Accept(context.Background(), job.Submission{ID: "n", Steps: []job.Step{{Count: 1}}}); err != nil {
		t.Fatal(err)
	}
	l.applyCounts(map[int]map[string]int{0: nil})
	check("no jobs left", Use{})
	l.applyCounts(map[int]map[string]int{0: {kibNamePrefix + "q": 40, countedName: 8}})
	admits = false
	if err := l.Accept(context.Background(), job.Submission{ID: "l"}); err == nil || err.Kind != errkind.QueueFull || use.Counted == 0 {
		t.Errorf("%v with %+v", err, use)
	}
	admits, l.cfg.MaxRecordBytes = true, 10
	if err := l.Accept(context.Background(), job.Submission{ID: "m"}); err == nil || err.Kind != errkind.BodyTooLarge {
		t.Errorf("%v for a record that the store does not accept", err)
	}
	check("after refusals", Use{40 << 10, 0, 0})
}

// Guards against an accepted job that is taken for unknown (review case 8): of two reads that overlap, both
// are applied.
func TestOverlappingReadsAreApplied(t *testing.T) {
	l, p := ownedPartition(&recordingStore{}, &reportOnStopRunner{})
	p.owned = false
	a, b, c := acceptedRecord(t, "a", ""), acceptedRecord(t, "b", ""), acceptedRecord(t, "c", "")
	first, second := l.applyRead(p, []Record{a, b}, 0), l.applyRead(p, []Record{a, b, c}, 0)
	if _, err := l.lookUp(p, "c"); !first || !second || err != nil || p.nextOffset != 3 {
		t.Errorf("applied %v and %v, next offset %d, %v", first, second, p.nextOffset, err)
	}
	if l.applyRead(p, []Record{a}, 5) {
		t.Error("a read beyond a gap was applied")
	}
}

// Guards against stored jobs beyond the memory of their owner while the store is slow: a job that was
// answered with 504, since its write had no response, may be stored.
func TestJobOfUnknownOutcomeCounts(t *testing.T) {
	l, p := ownedPartition(unresponsiveStore{}, &reportOnStopRunner{})
	p.owned, l.cfg.Timing.AcceptTimeout, l.cfg.Timing.ResponseTimeout = false, time.Millisecond, time.Millisecond
	l.cfg.Admits = func(_, _ Use, _ int64) bool { return true }
	err := l.Accept(context.Background(), job.Submission{ID: "k", Steps: []job.Step{{Count: 1}}})
	if err == nil || err.Kind != errkind.TicketUnknown {
		t.Fatal(err)
	}
	if use, _ := l.use("q"); use.Uncounted == 0 {
		t.Error("the job does not count")
	}
	p.appended[0].unknownUntil = time.Now().Add(-time.Second)
	if use, _ := l.use("q"); use != (Use{}) {
		t.Errorf("%+v after the time in which owners count it", use)
	}
}
