package ledger

import (
	"context"
	"errors"
	"fmt"

	"oriolerelay/event"
)

// nextEpoch returns an epoch for acquiring p in the given generation of the group. It is higher than
// those that this process has used or read. Another member may have used it already, since it may have
// acquired p any number of times in one generation; the owner record tells (see checkEpoch).
func (p *partition) nextEpoch(generation uint64) uint64 {
	return max(generation, p.epoch+1, p.storedEpoch+1)
}

// ownerRecordSequence is the sequence number of an owner's first write, its owner record.
const ownerRecordSequence = 1

// fence makes the nth attempt, counted from 0, to append this owner's records, which raises the
// epoch of the partition so that the store rejects writes of former owners. It returns nil if
// no further attempt is needed. Only reading the records back shows that they are stored: if
// another owner has used the epoch, the store takes them for a repetition of that owner's records.
func (l *Ledger) fence(ctx context.Context, p *partition, epoch uint64, n int) error {
	l.mu.Lock()
	current := p.owned && p.epoch == epoch
	l.mu.Unlock()
	if !current {
		return nil
	}
	_, err := l.appendOnce(ctx, p, ownerRecords(epoch, l.cfg.Member), &Fence{Epoch: epoch, Sequence: ownerRecordSequence}, n)
	if errors.Is(err, ErrSequenceMismatch) {
		return nil // an earlier attempt was applied, or another owner has used the epoch
	}
	if errors.Is(err, ErrFenced) {
		l.mu.Lock()
		l.releaseFenced(p, "fenced by a later owner")
		l.mu.Unlock()
		return nil
	}
	return err
}

// ownerRecords returns the first records of an owner. The claim comes first, so that it is known when
// the epoch is applied.
func ownerRecords(epoch uint64, member string) []Record {
	claim, err := encode(ownerClaim{Epoch: epoch, Member: member})
	if err != nil {
		panic(err) // encoding a number and a string cannot fail
	}
	value, err := encode(epoch)
	if err != nil {
		panic(err) // encoding a number cannot fail
	}
	return []Record{{Key: claimKey, Value: claim}, {Key: ownerKey, Value: value}}
}

// applyOwner applies a record of the owner's epoch. A former owner releases the partition before it
// applies the jobs that were accepted later, so that the new owner can run these at once.
func (l *Ledger) applyOwner(p *partition, value []byte) {
	epoch, err := decode[uint64](value)
	if err == nil && *epoch > maxEpoch {
		err = fmt.Errorf("epoch %d is above %d", *epoch, maxEpoch)
	}
	if err != nil {
		l.cfg.Log.Log(event.RecordIgnored, "key", ownerKey, "error", err)
		return
	}
	p.storedEpoch = max(p.storedEpoch, *epoch)
	if p.owned && *epoch > p.epoch {
		l.release(p, "a later owner has acquired the partition")
	}
}

// applyClaim applies the record that tells whose epoch it is. Once an owner has read its own claim, its
// writes are stored and former owners are fenced.
func (l *Ledger) applyClaim(p *partition, value []byte) {
	claim, err := decode[ownerClaim](value)
	if err != nil {
		l.cfg.Log.Log(event.RecordIgnored, "key", claimKey, "error", err)
		return
	}
	if p.owned && claim.Epoch == p.epoch && claim.Member == l.cfg.Member {
		p.ownerRead, p.writable = true, true
		p.wakeRecorder()
	}
}

// checkEpoch releases a partition whose epoch another owner has used: the store would take the writes
// of this process for repetitions of that owner's. It is called after all read records are applied.
func (l *Ledger) checkEpoch(p *partition) {
	if p.owned && !p.ownerRead && p.storedEpoch >= p.epoch {
		l.cfg.Log.Log(event.EpochTaken, "partition", p.index, "epoch", p.epoch, "stored", p.storedEpoch)
		l.releaseFenced(p, "another owner has used the epoch")
	}
}
