package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/job"
)

// keepMembership keeps this entry a member of the group of owners until ctx ends, whenever the
// runner can run jobs.
func (l *Ledger) keepMembership(ctx context.Context) {
	member, failures := false, 0
	first := 0 // attempt that the timeouts of the next renewal start from
	for ctx.Err() == nil {
		pause := l.cfg.Timing.RenewInterval
		switch canRun := l.cfg.Runner.CanRun(); {
		case canRun:
			member = true
			sent := l.cfg.Now()
			err := l.renew(ctx, first+failures)
			if (failures > 0) != (err != nil) {
				l.cfg.Log.Log(event.MembershipRenewalFailed, "failures", failures, "lease_left_ms", l.leaseLeft().Milliseconds(), "error", err)
			}
			if err != nil {
				failures++
				pause = l.retryPause(err)
			} else {
				took := l.cfg.Now() - sent
				failures, first = 0, l.cfg.Timing.attemptFor(took)
				pause = max(pause-took, 0)
			}
		case member:
			l.leaveGroup(ctx, "no agent is reachable")
			member = false
		default:
			pause = canRunCheckInterval
		}
		due := l.cfg.Now() + pause
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		if late := l.cfg.Now() - due; late > maxRenewalLateness {
			l.cfg.Log.Log(event.MembershipRenewedLate, "late_ms", late.Milliseconds(), "member", member)
		}
	}
	l.leaveGroup(context.WithoutCancel(ctx), "the process stops")
}

// maxRenewalLateness is the lateness of a renewal from which it is logged.
const maxRenewalLateness = 200 * time.Millisecond

// canRunCheckInterval is the time between two calls of CanRun while this entry is not a
// member.
const canRunCheckInterval = 50 * time.Millisecond

// leaveGroup releases all partitions and leaves the group, so that other members acquire the
// partitions at once. If the call fails, they do so when the membership expires.
func (l *Ledger) leaveGroup(ctx context.Context, why string) {
	l.mu.Lock()
	for _, p := range l.partitions {
		l.release(p, why)
	}
	l.mu.Unlock()
	l.flush()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timing.RenewInterval)
	defer cancel()
	if err := l.cfg.Store.Leave(ctx, l.cfg.Member); err != nil {
		l.cfg.Log.Log(event.StoreUnavailable, "call", "leave", "error", err)
	}
}

// flush waits until all progress is recorded, but at most releaseGracePeriod.
func (l *Ledger) flush() {
	for deadline := time.Now().Add(releaseGracePeriod); time.Now().Before(deadline); time.Sleep(recordInterval) {
		if !slices.ContainsFunc(l.partitions, l.isDirty) {
			return
		}
	}
}

// renew renews the membership and acquires or releases partitions accordingly. attempt selects
// the timeout of the call.
func (l *Ledger) renew(ctx context.Context, attempt int) error {
	// The lease starts when the call is sent, since the response may be read long after
	// the store sent it.
	sent := l.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, l.cfg.Timing.attemptTimeout(attempt))
	m, err := l.cfg.Store.Join(callCtx, l.cfg.Member, l.generation, l.cfg.Timing.TTL)
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !l.leaseValid() {
			for _, p := range l.partitions {
				l.release(p, "the lease has expired")
			}
		}
		return err
	}
	l.generation = m.Generation
	l.leaseExpiry = sent + time.Duration(leaseFraction*float64(l.cfg.Timing.TTL))
	for _, p := range l.partitions {
		owns := slices.Contains(m.Partitions, p.index)
		switch {
		case owns && !p.owned:
			l.acquire(ctx, p, p.nextEpoch(m.Generation))
		case !owns && p.owned:
			l.release(p, "assigned to another member")
		}
	}
	return nil
}

// leaseValid is HoldsLease with l.mu held.
func (l *Ledger) leaseValid() bool { return l.cfg.Now() < l.leaseExpiry }

// leaseLeft returns the remaining time of the lease, which is negative after its expiry.
func (l *Ledger) leaseLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseExpiry - l.cfg.Now()
}

// HoldsLease reports whether the lease of this process is valid, so that it may order tasks
// of stored jobs.
func (l *Ledger) HoldsLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseValid()
}

// acquire makes this process the owner of a partition. Jobs that are accepted after its owner
// record run at once, the others after TakeoverDelay. l.mu must be held.
func (l *Ledger) acquire(ctx context.Context, p *partition, epoch uint64) {
	p.owned, p.takenOver, p.writable, p.ownerRead = true, false, false, false
	p.epoch, p.sequence = epoch, ownerRecordSequence+1
	p.dirty = make(map[string]job.Progress)
	l.cfg.Log.Log(event.PartitionAcquired, "partition", p.index, "epoch", epoch)
	p.wakeFollower()
	acquired := l.cfg.Now()
	takeoverEnd := acquired + l.cfg.Timing.TakeoverDelay
	go func() {
		fenceAttempts, reads := 1, 1
		for ; ; fenceAttempts++ {
			err := l.fence(ctx, p, epoch, fenceAttempts-1)
			if err == nil {
				break
			}
			select {
			case <-time.After(l.retryPause(err)):
			case <-ctx.Done():
				return
			}
		}
		p.wakeFollower() // reads the owner record
		select {
		case <-time.After(takeoverEnd - l.cfg.Now()):
		case <-ctx.Done():
			return
		}
		// Read what the former owner recorded before it was fenced.
		err := l.catchUp(ctx, p, false, 0, false)
		for ; err != nil && ctx.Err() == nil; reads++ {
			time.Sleep(l.cfg.Timing.RetryDelay)
			err = l.catchUp(ctx, p, false, 0, false)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if p.owned && p.epoch == epoch && p.writable {
			p.takenOver = true
			l.cfg.Log.Log(event.PartitionTakenOver, "partition", p.index, "epoch", epoch, "jobs", len(p.jobs),
				"took_ms", (l.cfg.Now() - acquired).Milliseconds(), "fence_attempts", fenceAttempts, "reads", reads)
			l.startJobs(p)
			p.wakeFollower()
		}
	}()
}

// releaseGracePeriod is how long a former owner goes on recording the progress of its jobs,
// enough for two calls to the store. The store rejects its writes once the next owner's record
// is stored, which takes longer when partitions are rebalanced.
const releaseGracePeriod = 100 * time.Millisecond

// release gives up a partition and stops the runs of its jobs. Progress is still recorded for
// releaseGracePeriod, as long as the store accepts it. l.mu must be held.
func (l *Ledger) release(p *partition, why string) {
	if !p.owned {
		return
	}
	l.cfg.Log.Log(event.PartitionLost, "partition", p.index, "epoch", p.epoch, "why", why)
	p.owned, p.takenOver, p.ownerRead = false, false, false
	for id, e := range p.jobs {
		if e.running {
			e.running = false
			l.cfg.Runner.StopJob(id)
		}
		if e.submission != nil {
			e.submission, e.summary = p.keep(e.submission)
		}
	}
	if !p.writable {
		p.dirty = make(map[string]job.Progress)
		return
	}
	epoch := p.epoch
	time.AfterFunc(releaseGracePeriod, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !p.owned && p.epoch == epoch {
			p.stopWrites()
		}
	})
}

// stopWrites discards unwritten records of a former owner.
func (p *partition) stopWrites() {
	p.writable = false
	p.dirty, p.obsoleteEnds = make(map[string]job.Progress), nil
}

// releaseFenced releases a partition whose writes by this owner the store rejects.
func (l *Ledger) releaseFenced(p *partition, why string) {
	p.stopWrites()
	l.release(p, why)
}

// ReportProgress schedules the progress of a running job to be recorded.
func (l *Ledger) ReportProgress(id string, progress job.Progress) {
	p := l.partitionFor(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := p.jobs[id]; e != nil && (p.owned || p.writable) && e.progress.State == "" && !e.cancelled {
		p.markDirty(id, progress)
	}
}

// recordInterval is the time between two writes of progress. A caller sees the end of its job
// only once it is recorded.
const recordInterval = 15 * time.Millisecond

// runRecorder writes the progress of the jobs of a partition until ctx ends. It blocks while
// there is nothing to record, since most deployments store few jobs or none.
func (l *Ledger) runRecorder(ctx context.Context, p *partition) {
	for {
		select {
		case <-p.recorderWake:
		case <-ctx.Done():
			return
		}
		for l.isDirty(p) {
			select {
			case <-time.After(recordInterval):
			case <-ctx.Done():
				return
			}
			l.recordBatch(ctx, p)
		}
	}
}

func (l *Ledger) isDirty(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.writable && len(p.dirty)+len(p.obsoleteEnds) > 0
}

// recordBatch writes all scheduled progress and deletions of a partition in one fenced
// write. It retries until the write is applied, the partition is lost or ctx ends.
func (l *Ledger) recordBatch(ctx context.Context, p *partition) {
	l.mu.Lock()
	if len(p.dirty)+len(p.obsoleteEnds) == 0 || !p.writable || p.owned && !l.leaseValid() {
		l.mu.Unlock()
		return
	}
	batch, endKeys := p.dirty, p.obsoleteEnds
	p.dirty, p.obsoleteEnds = make(map[string]job.Progress), nil
	fence := &Fence{Epoch: p.epoch, Sequence: p.sequence}
	var records []Record
	for id, progress := range batch {
		records = append(records, progressRecords(id, progress)...)
		if e := p.jobs[id]; e != nil && progress.State != "" {
			endKeys = append(endKeys, e.endKeys()...)
		}
	}
	for _, key := range endKeys {
		records = append(records, Record{Key: key})
	}
	l.mu.Unlock()
	var offset uint64
	for n := 0; ; n++ {
		var err error
		if offset, err = l.appendOnce(ctx, p, records, fence, n); err == nil {
			break
		}
		if ctx.Err() != nil {
			return // agents keep the ends for the next owner
		}
		l.mu.Lock()
		switch {
		case errors.Is(err, ErrFenced):
			l.releaseFenced(p, "fenced by a later owner")
		case errors.Is(err, ErrSequenceMismatch):
			// The last applied write is unknown; the next epoch starts a new sequence.
			l.releaseFenced(p, "unexpected sequence number of a write")
		}
		current := p.writable && p.epoch == fence.Epoch
		l.mu.Unlock()
		if !current {
			return
		}
		// Retry with the same sequence number: the store recognizes a write that it has applied.
		l.cfg.Log.Log(event.StoreUnavailable, "partition", p.index, "call", "append", "error", err)
		select {
		case <-time.After(l.retryPause(err)):
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.epoch == fence.Epoch {
		p.sequence++
	}
	p.skipOwnRecords(offset, len(records))
	for id, progress := range batch {
		e := p.jobs[id]
		if e == nil {
			continue
		}
		if progress.State == dropped {
			delete(p.jobs, id)
			continue
		}
		e.progress = progress
		if progress.State != "" {
			l.markEnded(p, id, e)
		}
		l.cfg.Runner.ProgressRecorded(id, progress)
	}
}

// skipOwnRecords moves nextOffset past n records that this process has appended at offset. It
// does nothing if a record before them is unread, which may be another process's.
func (p *partition) skipOwnRecords(offset uint64, n int) {
	if p.loaded && offset == p.nextOffset {
		p.nextOffset += uint64(n)
	}
}

// progressRecords returns the records to append for the progress of a job.
func progressRecords(id string, progress job.Progress) []Record {
	if progress.State == dropped {
		// A delayed write may have stored kindAccepted again.
		return []Record{
			{Key: recordKey(kindProgress, id)}, {Key: recordKey(kindCancelled, id)}, {Key: recordKey(kindAccepted, id)},
		}
	}
	if progress.State != "" {
		progress = job.Progress{State: progress.State}
	}
	value, err := encode(progress)
	if err != nil {
		panic(err) // encoding a Progress cannot fail
	}
	records := []Record{{Key: recordKey(kindProgress, id), Value: value}}
	if progress.State != "" {
		records = append(records, Record{Key: recordKey(kindAccepted, id)})
	}
	return records
}
