package ledger

import (
	"context"
	"errors"
	"time"

	"oriolerelay/event"
)

// Record is a record of a partition. An empty Value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Fence admits the writes of one owner after another: the store refuses a write
// with a lower epoch than it has seen in the partition.
type Fence struct {
	Epoch    uint64
	Sequence uint64 // rises by one with each write of the epoch
}

// Store is the part of the platform's store that a Ledger uses.
type Store interface {
	// Append appends the records to a partition, all or none, and returns the offset of
	// the first. A nil fence admits any writer.
	Append(ctx context.Context, partition int, records []Record, fence *Fence) (offset uint64, err error)
	// Newest returns the newest record of each key, and where to read on.
	Newest(ctx context.Context, partition int) (records []Record, next uint64, err error)
	// Read returns later records and where to read on. It waits for a record.
	Read(ctx context.Context, partition int, from uint64, wait time.Duration) (records []Record, next uint64, err error)
	// Join makes member a member of the group of owners, or keeps it one, and returns
	// the partitions that it owns. generation is the last one returned, 0 at first;
	// naming it gives up the partitions that were not listed with it.
	Join(ctx context.Context, member string, generation uint64, ttl time.Duration) (Membership, error)
	// Leave ends the membership.
	Leave(ctx context.Context, member string) error
	// PutCounts publishes the jobs that wait in partitions, by queue.
	PutCounts(ctx context.Context, counts map[int]map[string]int) error
	// WatchCounts calls take with the published counts and with later ones until ctx ends.
	// It pauses between two reads for the time that pace returns.
	WatchCounts(ctx context.Context, log *event.Logger, pace func() time.Duration, take func(map[int]map[string]int))
}

// Membership is the answer to Join.
type Membership struct {
	Generation uint64
	Partitions []int
}

// Errors of a Store.
var (
	// ErrNotApplied means that the call surely had no effect.
	ErrNotApplied = errors.New("the store did not carry out the call")
	// ErrFenced means that a later owner has written to the partition.
	ErrFenced = errors.New("a later owner has taken the partition")
	// ErrSequenceMismatch means that a write of the owner had an unexpected sequence number.
	ErrSequenceMismatch = errors.New("unexpected sequence number")
	// ErrExpired means that the records from the given offset on are not retained.
	ErrExpired = errors.New("records have expired")
)
