// Package submission records the submissions of one home entry, so that a resubmission
// gets the answer of the first attempt instead of starting the tasks again.
package submission

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"oriolerelay/errkind"
)

// Default limits of a Table.
const (
	DefaultMaxRecords = 200_000
	DefaultMaxBytes   = 256 << 20
	// reservedAnswerBytes is the accounted size of an answer that is not known yet, so
	// that a burst of new submissions cannot far exceed the byte limit.
	reservedAnswerBytes = 4 << 10
	// recordOverheadBytes is the accounted size of a record without its key and answer.
	recordOverheadBytes = 256
)

// Limits of the Retry-After of a full table.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// Key identifies a submission. Submission ids are scoped to a team.
type Key struct {
	Team string
	ID   string
}

// Answer is the HTTP response of a finished submission. RetryAfter is in seconds.
// It is sent to other entries as a wire.Forwarded.
type Answer struct {
	Status     int
	Body       []byte
	RetryAfter int64
}

// Config holds the limits and the clock of a Table. Zero fields take the defaults.
type Config struct {
	MaxRecords int
	MaxBytes   int64
	Now        func() time.Time
}

// Table holds the submission records of one home. A record is kept until it has expired
// and its submission is finished; it is never evicted earlier. Since no answer is dropped,
// the answers of running submissions may exceed the byte limit; new submissions are then
// refused until the table is below its limit. A Table is safe for concurrent use.
type Table struct {
	maxRecords int
	maxBytes   int64
	now        func() time.Time

	mu       sync.Mutex
	records  map[Key]*Record
	byExpiry expiryHeap
	bytes    int64
}

// Record is the record of one submission. It is safe for concurrent use.
type Record struct {
	table    *Table
	key      Key
	bodyHash uint64
	expires  time.Time
	bytes    int64 // guarded by table.mu
	done     chan struct{}
	answer   Answer // written once before done is closed
}

// NewTable returns an empty table.
func NewTable(c Config) *Table {
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Table{maxRecords: c.MaxRecords, maxBytes: c.MaxBytes, now: c.Now, records: make(map[Key]*Record)}
}

// Begin returns the record of key and whether this call created it. The caller that
// created it must run the submission and call Finish. expires is submitted_at + submission
// window + clock tolerance. Errors are of kind IDConflict, if key is recorded with another
// body hash, or RecordFull.
func (t *Table) Begin(key Key, bodyHash uint64, expires time.Time) (*Record, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	if e := t.records[key]; e != nil {
		if e.bodyHash != bodyHash {
			return nil, false, errkind.New(errkind.IDConflict, "submission %q was already sent with a different body", key.ID)
		}
		return e, false, nil
	}
	size := int64(recordOverheadBytes + len(key.Team) + len(key.ID) + reservedAnswerBytes)
	if len(t.records) >= t.maxRecords || t.bytes+size > t.maxBytes {
		return nil, false, t.fullError()
	}
	e := &Record{table: t, key: key, bodyHash: bodyHash, expires: expires, bytes: size, done: make(chan struct{})}
	t.records[key] = e
	t.bytes += size
	heap.Push(&t.byExpiry, e)
	return e, true, nil
}

// fullError returns the error for a full table. Its RetryAfter is the time until the next
// record expires, within limits.
func (t *Table) fullError() error {
	err := errkind.New(errkind.RecordFull, "the submission table is full: it holds %d submissions and %d bytes", len(t.records), t.bytes)
	if len(t.byExpiry) > 0 {
		err.RetryAfter = min(max(t.byExpiry[0].expires.Sub(t.now()), minRetryAfter), maxRetryAfter)
	}
	return err
}

// removeExpired removes finished records that have expired. Records that expire before
// they are finished are taken off the heap, and Finish removes them.
func (t *Table) removeExpired() {
	now := t.now()
	for len(t.byExpiry) > 0 && !t.byExpiry[0].expires.After(now) {
		e := heap.Pop(&t.byExpiry).(*Record)
		if e.finished() {
			t.remove(e)
		}
	}
}

func (t *Table) remove(e *Record) {
	delete(t.records, e.key)
	t.bytes -= e.bytes
}

// Lookup returns the record of key, or nil.
func (t *Table) Lookup(key Key) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	return t.records[key]
}

// Size returns the number of records and their accounted size in bytes.
func (t *Table) Size() (records int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	return len(t.records), t.bytes
}

// Finish stores the answer and wakes all waiters. Later calls have no effect.
func (e *Record) Finish(a Answer) {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.finished() {
		return
	}
	e.answer = a
	delta := int64(len(a.Body)) - reservedAnswerBytes
	e.bytes += delta
	t.bytes += delta
	close(e.done)
	if !e.expires.After(t.now()) {
		t.removeExpired() // also takes e off the heap if it is still there
		if t.records[e.key] == e {
			t.remove(e)
		}
	}
}

// Wait waits for the answer, or returns the error of ctx.
func (e *Record) Wait(ctx context.Context) (Answer, error) {
	select {
	case <-e.done:
		return e.answer, nil
	default:
	}
	select {
	case <-e.done:
		return e.answer, nil
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// Answer returns the answer and true if the submission is finished.
func (e *Record) Answer() (Answer, bool) {
	if !e.finished() {
		return Answer{}, false
	}
	return e.answer, true
}

// Done returns a channel that is closed when the answer is known.
func (e *Record) Done() <-chan struct{} { return e.done }

func (e *Record) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*Record)) }
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
