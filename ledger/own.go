package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/job"
)

// keepMembership keeps this entry among the owners until ctx ends.
func (l *Ledger) keepMembership(ctx context.Context) {
	member, failures := false, 0
	for ctx.Err() == nil {
		pause := l.cfg.Timing.Renewal
		switch can := l.cfg.Runner.CanRun(); {
		case can:
			member = true
			if err := l.renew(ctx, failures); err != nil {
				failures++
				pause = l.retryPause(err)
			} else {
				failures = 0
			}
		case member:
			l.leave(ctx, "no agent is in reach")
			member = false
		default:
			pause = reachCheck
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	l.leave(context.WithoutCancel(ctx), "the process stops")
}

// reachCheck is the time between two looks whether this entry can run jobs, before it
// becomes a member.
const reachCheck = 50 * time.Millisecond

// leave gives up all partitions, so that others take them at once. If the call fails,
// they take them when the membership lapses.
func (l *Ledger) leave(ctx context.Context, why string) {
	l.mu.Lock()
	for _, p := range l.parts {
		l.release(p, why)
	}
	l.mu.Unlock()
	l.flush()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timing.Renewal)
	defer cancel()
	if err := l.cfg.Store.Leave(ctx, l.cfg.Member); err != nil {
		l.cfg.Log.Log(event.StoreUnavailable, "call", "leave", "error", err)
	}
}

// flush waits until nothing is left to be recorded, for closeTime at most.
func (l *Ledger) flush() {
	for end := time.Now().Add(closeTime); time.Now().Before(end); time.Sleep(recorderPeriod) {
		if !slices.ContainsFunc(l.parts, l.isDirty) {
			return
		}
	}
}

// renew renews the membership; failures is the number of failed attempts before.
func (l *Ledger) renew(ctx context.Context, failures int) error {
	// The lease counts from the moment the call is sent: an answer may be read long
	// after it was given.
	sent := l.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, l.cfg.Timing.answerWait(failures))
	m, err := l.cfg.Store.Join(callCtx, l.cfg.Member, l.generation, l.cfg.Timing.TTL)
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !l.mayAct() {
			for _, p := range l.parts {
				l.release(p, "the membership was not renewed")
			}
		}
		return err
	}
	l.generation = m.Generation
	l.lease = sent + time.Duration(leaseShare*float64(l.cfg.Timing.TTL))
	for _, p := range l.parts {
		owns := slices.Contains(m.Partitions, p.index)
		switch {
		case owns && !p.owned:
			l.acquire(ctx, p, p.nextEpoch(m.Generation))
		case !owns && p.owned:
			l.release(p, "another member owns it")
		}
	}
	return nil
}

// mayAct reports whether this process may act as an owner now.
func (l *Ledger) mayAct() bool { return l.cfg.Now() < l.lease }

// MayAct reports whether this process may order tasks of stored jobs now.
func (l *Ledger) MayAct() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mayAct()
}

// acquisitionsPerGeneration bounds how often a process can take a partition within
// one generation of the group. It does so again when its membership was not renewed
// in time and nobody else took the partition.
const acquisitionsPerGeneration = 16

// nextEpoch returns an epoch that is higher than all that were used before: those
// of former owners had a lower generation, those of this process are counted. The
// sequence numbers of an epoch are not used twice, since the store takes a repeated
// number for a repeated write.
func (p *partition) nextEpoch(generation uint64) uint64 {
	return max(generation*acquisitionsPerGeneration, p.epoch+1)
}

// acquire takes a partition. Jobs that are accepted after the record of this owner run
// at once, the others after TakeOver.
func (l *Ledger) acquire(ctx context.Context, p *partition, epoch uint64) {
	p.owned, p.active, p.fenced, p.ownerRead = true, false, false, false
	p.epoch, p.sequence = epoch, ownerSequence+1
	p.dirty = make(map[string]job.Progress)
	l.cfg.Log.Log(event.PartitionAcquired, "partition", p.index, "epoch", epoch)
	p.wakeUp()
	begin := l.cfg.Now() + l.cfg.Timing.TakeOver
	go func() {
		for n := 0; ; n++ {
			err := l.fence(ctx, p, epoch, n)
			if err == nil {
				break
			}
			select {
			case <-time.After(l.retryPause(err)):
			case <-ctx.Done():
				return
			}
		}
		l.mu.Lock()
		if p.owned && p.epoch == epoch {
			p.fenced = true
			p.wakeRecorder()
		}
		l.mu.Unlock()
		p.wakeUp()
		select {
		case <-time.After(begin - l.cfg.Now()):
		case <-ctx.Done():
			return
		}
		// What the former owner recorded before the fence is read now.
		err := l.readOn(ctx, p, false, 0, false)
		for ; err != nil && ctx.Err() == nil; err = l.readOn(ctx, p, false, 0, false) {
			time.Sleep(l.cfg.Timing.Retry)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if p.owned && p.epoch == epoch {
			p.active = true
			l.handOver(p)
			p.wakeUp()
		}
	}()
}

// ownerSequence is the sequence number of an owner's first write, its own record.
const ownerSequence = 1

// fence records this owner, which raises the epoch of the partition, so that the former
// owner cannot write. It returns nil when there is nothing more to do.
func (l *Ledger) fence(ctx context.Context, p *partition, epoch uint64, n int) error {
	l.mu.Lock()
	current := p.owned && p.epoch == epoch
	l.mu.Unlock()
	if !current {
		return nil
	}
	value, err := encode(epoch)
	if err != nil {
		panic(err) // a number can always be encoded
	}
	owner := []Record{{Key: ownerKey, Value: value}}
	_, err = l.appendOnce(ctx, p, owner, &Fence{Epoch: epoch, Sequence: ownerSequence}, n)
	if errors.Is(err, ErrSequence) {
		return nil // this owner has written already
	}
	if errors.Is(err, ErrFenced) {
		l.mu.Lock()
		l.refused(p, "a later owner has written")
		l.mu.Unlock()
		return nil
	}
	return err
}

// closeTime is how long a former owner goes on recording what it knows of its jobs: two
// calls to the store. Its writes are refused once the next owner has recorded itself,
// which when partitions are spread anew takes longer.
const closeTime = 100 * time.Millisecond

// release gives up a partition: the runs of its jobs are stopped. What is known of them
// is recorded meanwhile, as far as the store still takes it.
func (l *Ledger) release(p *partition, why string) {
	if !p.owned {
		return
	}
	l.cfg.Log.Log(event.PartitionLost, "partition", p.index, "epoch", p.epoch, "why", why)
	p.owned, p.active, p.ownerRead = false, false, false
	for id, e := range p.entries {
		if e.running {
			e.running = false
			l.cfg.Runner.Drop(id)
		}
	}
	if !p.fenced {
		p.dirty = make(map[string]job.Progress)
		return
	}
	epoch := p.epoch
	time.AfterFunc(closeTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !p.owned && p.epoch == epoch {
			p.close()
		}
	})
}

// close ends the writes of a former owner.
func (p *partition) close() {
	p.fenced = false
	p.dirty, p.lateEnds = make(map[string]job.Progress), nil
}

// refused takes note that the store refuses the writes of this owner.
func (l *Ledger) refused(p *partition, why string) {
	p.close()
	l.release(p, why)
}

// Report records the progress of a job that the runner runs.
func (l *Ledger) Report(id string, progress job.Progress) {
	p := l.partition(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := p.entries[id]; e != nil && (p.owned || p.fenced) && e.progress.State == "" && !e.cancelled {
		p.setDirty(id, progress)
	}
}

// recorderPeriod is how often progress is recorded. The end of a job is shown to
// its caller when it is recorded.
const recorderPeriod = 15 * time.Millisecond

// record writes the progress of the jobs of a partition until ctx ends. It sleeps
// while nothing is to be recorded: most deployments store few jobs or none.
func (l *Ledger) record(ctx context.Context, p *partition) {
	for {
		select {
		case <-p.changed:
		case <-ctx.Done():
			return
		}
		for l.isDirty(p) {
			select {
			case <-time.After(recorderPeriod):
			case <-ctx.Done():
				return
			}
			l.recordOnce(ctx, p)
		}
	}
}

func (l *Ledger) isDirty(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.fenced && len(p.dirty)+len(p.lateEnds) > 0
}

func (l *Ledger) recordOnce(ctx context.Context, p *partition) {
	l.mu.Lock()
	if len(p.dirty)+len(p.lateEnds) == 0 || !p.fenced || p.owned && !l.mayAct() {
		l.mu.Unlock()
		return
	}
	batch, endKeys := p.dirty, p.lateEnds
	p.dirty, p.lateEnds = make(map[string]job.Progress), nil
	fence := &Fence{Epoch: p.epoch, Sequence: p.sequence}
	var records []Record
	for id, progress := range batch {
		records = append(records, progressRecords(id, progress)...)
		if e := p.entries[id]; e != nil && progress.State != "" {
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
			return // the next owner takes the ends that agents keep
		}
		l.mu.Lock()
		switch {
		case errors.Is(err, ErrFenced):
			l.refused(p, "a later owner has written")
		case errors.Is(err, ErrSequence):
			// It is not known which write came last: a new epoch settles it.
			l.refused(p, "the sequence of writes is broken")
		}
		current := p.fenced && p.epoch == fence.Epoch
		l.mu.Unlock()
		if !current {
			return
		}
		// The same sequence again: if the write was carried out, the store says so.
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
	p.knowsWritten(offset, len(records))
	for id, progress := range batch {
		e := p.entries[id]
		if e == nil {
			continue
		}
		if progress.State == dropped {
			delete(p.entries, id)
			continue
		}
		e.progress = progress
		if progress.State != "" {
			l.over(p, id, e)
		}
		l.cfg.Runner.Noted(id, progress)
	}
}

// knowsWritten takes note that n records of this process, the first of them at offset,
// need not be read. A record of another process before them must be read first.
func (p *partition) knowsWritten(offset uint64, n int) {
	if p.known && offset == p.next {
		p.next += uint64(n)
	}
}

// progressRecords returns the records that state the progress of a job.
func progressRecords(id string, progress job.Progress) []Record {
	if progress.State == dropped {
		// The caller's record can have been written once more, late.
		return []Record{
			{Key: recordKey(kindProgress, id)}, {Key: recordKey(kindCancelled, id)}, {Key: recordKey(kindAccepted, id)},
		}
	}
	if progress.State != "" {
		progress = job.Progress{State: progress.State}
	}
	value, err := encode(progress)
	if err != nil {
		panic(err) // a Progress can always be encoded
	}
	records := []Record{{Key: recordKey(kindProgress, id), Value: value}}
	if progress.State != "" {
		records = append(records, Record{Key: recordKey(kindAccepted, id)})
	}
	return records
}
