// Package ledger keeps the jobs that must not be lost in the platform's store, and
// shares them among the entries: any entry accepts a job by recording it; one entry
// at a time, the owner of the job's partition, runs it and records its end.
package ledger

import (
	"fmt"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of records of a job. The key of a record is its kind and the job's id, and
// the store keeps the newest record of each key.
const (
	kindAccepted  = 'a' // the job as it was handed in; dropped when it has ended
	kindCancelled = 'c' // the caller's wish to cancel it
	kindProgress  = 'p' // written by the owner only
	// kindEnd is the end of a run that an entry has learned from an agent and that the
	// owner of the job may not hear of. Its key holds the task instead of the job.
	kindEnd = 'e'
	// kindOwner says which epoch owns the partition. An owner that reads a higher one
	// gives the partition up before it takes the jobs that were accepted later.
	kindOwner = 'o'
)

// ownerKey is the key of the only record of kindOwner.
const ownerKey = string(kindOwner) + "wner"

func recordKey(kind byte, id string) string { return string(kind) + id }

// splitKey is the inverse of recordKey.
func splitKey(key string) (kind byte, id string, ok bool) {
	if len(key) < 2 {
		return 0, "", false
	}
	return key[0], key[1:], true
}

// partitionOf returns the partition of a job.
func partitionOf(id string, partitions int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(partitions))
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

func decode[T any](b []byte) (*T, error) {
	v := new(T)
	if err := cbor.Unmarshal(b, v); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	return v, nil
}
