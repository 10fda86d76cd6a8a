package ledger

import (
	"context"
	"errors"
	"time"

	"oriolerelay/event"
)

// Record is a keyed record of a partition. An empty Value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// size returns the size of the record in the store, which precedes the key with its length.
func (r *Record) size() int { return 1 + len(r.Key) + len(r.Value) }

// Fence is the fencing token of an owner's writes: the store rejects a write with a lower
// epoch than the highest that it has seen in the partition.
type Fence struct {
	Epoch    uint64
	Sequence uint64 // increases by one with each write of the epoch
}

// Store is the subset of the platform's store that a Ledger uses.
type Store interface {
	// Append atomically appends the records to a partition and returns the offset of the
	// first. A write with a nil fence is not fenced.
	Append(ctx context.Context, partition int, records []Record, fence *Fence) (offset uint64, err error)
	// Newest calls handle with the newest record of each key, a part of them at a time, and returns the
	// offset to read from next.
	Newest(ctx context.Context, partition int, handle func([]Record)) (next uint64, err error)
	// Read calls handle with the records from the given offset on, a part of them at a time, and the
	// offset of the first of these. It waits up to the given time for a record.
	Read(ctx context.Context, partition int, from uint64, wait time.Duration, handle func(offset uint64, records []Record)) error
	// Join adds member to the group of owners, or renews its membership, and returns the
	// partitions that it owns. generation is the one last returned, 0 at first; passing it
	// confirms that the member has released all partitions not listed with it.
	Join(ctx context.Context, member string, generation uint64, ttl time.Duration) (Membership, error)
	// Leave removes member from the group.
	Leave(ctx context.Context, member string) error
	// PutCounts publishes the number of queued jobs by partition and queue, and other numbers by names
	// that begin with a zero byte.
	PutCounts(ctx context.Context, counts map[int]map[string]int) error
	// WatchCounts calls handle with the published counts and with later updates until ctx ends.
	// readInterval returns the interval between two reads.
	WatchCounts(ctx context.Context, log *event.Logger, readInterval func() time.Duration, handle func(map[int]map[string]int))
}

// Membership is the result of Join.
type Membership struct {
	Generation uint64
	Partitions []int
}

// Errors returned by a Store.
var (
	// ErrNotApplied means that the call definitely had no effect.
	ErrNotApplied = errors.New("the store did not apply the call")
	// ErrFenced means that a later owner has written to the partition.
	ErrFenced = errors.New("a later owner has fenced the partition")
	// ErrSequenceMismatch means that a write of the owner had an unexpected sequence number.
	ErrSequenceMismatch = errors.New("unexpected sequence number")
	// ErrExpired means that records at the given offset are no longer retained.
	ErrExpired = errors.New("records have expired")
)
