package ledger

import (
	"context"
	"errors"
	"time"

	"oriolerelay/event"
	"oriolerelay/job"
)

// follow reads and applies the records of a partition until ctx ends, as long as this entry
// owns it or gets requests for its jobs.
func (l *Ledger) follow(ctx context.Context, p *partition) {
	failing, failures := false, 0
	for ctx.Err() == nil {
		if l.unloadIfUnused(p) {
			select {
			case <-p.followerWake:
			case <-ctx.Done():
			}
			continue
		}
		l.mu.Lock()
		loaded, next, owned := p.loaded, p.nextOffset, p.owned
		l.mu.Unlock()
		err := l.catchUp(ctx, p, loaded, next, owned)
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			if failing {
				l.cfg.Log.Log(event.StoreUnavailable, "partition", p.index, "error", err)
			} else {
				l.cfg.Log.Log(event.StoreAvailable, "partition", p.index)
			}
		}
		if err != nil {
			failures++
		} else {
			failures = 0
		}
		pause := l.readDelay(p, owned, failures)
		select {
		case <-time.After(pause):
		case <-p.followerWake:
		case <-ctx.Done():
		}
	}
}

// unloadIfUnused reports whether p need not be followed now. If so, it discards the state of
// p. If every entry followed every partition, the number of reads would grow with the
// product of entries and partitions.
func (l *Ledger) unloadIfUnused(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.owned || p.writable || p.loading > 0 || time.Since(p.lastRequested) < l.cfg.Timing.FollowPeriod {
		return false
	}
	p.loaded = false
	p.jobs = make(map[string]*storedJob)
	return true
}

// noteRequest records the time of a request for a job of p, and wakes the follower if the last
// request is older than RequestPollInterval. l.mu must be held.
func (p *partition) noteRequest(timing Timing) {
	if !p.owned && time.Since(p.lastRequested) > timing.RequestPollInterval {
		p.wakeFollower()
	}
	p.lastRequested = time.Now()
}

// maxRetryDoublings bounds the retry delay while the store is unavailable. The delay grows
// because failed calls have a cost too and each partition has its own reader.
const maxRetryDoublings = 4

// readDelay returns the delay before the next read of a partition.
func (l *Ledger) readDelay(p *partition, owned bool, failures int) time.Duration {
	idle := l.isEmpty(p)
	switch {
	case failures > 0 && idle:
		return l.cfg.Timing.IdlePollInterval
	case failures > 0:
		return l.cfg.Timing.RetryDelay << min(failures-1, maxRetryDoublings)
	case !owned:
		return l.cfg.Timing.IdlePollInterval
	}
	return l.cfg.Timing.MinReadInterval
}

// isEmpty reports whether a partition has no jobs. Since each call to the store has a cost,
// empty partitions and those of other owners are read rarely; find reads them when a job is
// requested.
func (l *Ledger) isEmpty(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(p.jobs) == 0
}

// catchUp reads and applies new records of p, or the newest records of all keys if loaded is
// false. An owned partition is read with a wait for new records.
func (l *Ledger) catchUp(ctx context.Context, p *partition, loaded bool, next uint64, owned bool) error {
	if !loaded {
		return l.load(ctx, p)
	}
	wait := time.Duration(0)
	if owned {
		wait = l.cfg.Timing.OwnedPollWait
		if l.isEmpty(p) {
			wait = l.cfg.Timing.IdlePollInterval
		}
	}
	_, err := l.read(ctx, p, next, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, ErrExpired) {
		p.loaded = false
		return nil
	}
	l.startLoadedJobs(p)
	return err
}

// read reads and applies the records of p from an offset on. applied is false if the state of p was
// discarded or replaced meanwhile, so that it may lack some of them.
func (l *Ledger) read(ctx context.Context, p *partition, from uint64, wait time.Duration) (applied bool, err error) {
	applied = true
	err = l.cfg.Store.Read(ctx, p.index, from, wait, func(offset uint64, records []Record) {
		applied = l.applyRead(p, records, offset) && applied
	})
	return applied, err
}

// applyRead applies the records that were read from an offset on, except those that have been applied
// meanwhile. It returns false if records before them have not been applied.
func (l *Ledger) applyRead(p *partition, records []Record, offset uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.loaded || p.nextOffset < offset {
		return false
	}
	if applied := p.nextOffset - offset; applied < uint64(len(records)) {
		for _, r := range records[applied:] {
			l.apply(p, r, true)
		}
		p.nextOffset = offset + uint64(len(records))
		l.checkEpoch(p)
	}
	return true
}

// startLoadedJobs passes the jobs of p to the runner, if this entry runs them. l.mu must be held.
func (l *Ledger) startLoadedJobs(p *partition) {
	if p.loaded && p.runsJobs() {
		l.startJobs(p)
	}
}

// load reads and applies the newest records of p.
func (l *Ledger) load(ctx context.Context, p *partition) error {
	l.mu.Lock()
	p.loading++
	l.mu.Unlock()
	var ends []Record // the order of the records is not defined; an end is applied after its job
	next, err := l.cfg.Store.Newest(ctx, p.index, func(records []Record) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range records {
			if kind, _, ok := splitKey(r.Key); ok && kind == kindEnd {
				ends = append(ends, r)
			} else {
				l.apply(p, r, false)
			}
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	p.loading--
	if err != nil {
		return err
	}
	p.loaded, p.nextOffset = true, next
	for _, r := range ends {
		l.apply(p, r, false)
	}
	l.checkEpoch(p)
	l.startLoadedJobs(p)
	return nil
}

// apply applies one record. inOrder is false for records of Newest, whose order is undefined.
// l.mu must be held.
func (l *Ledger) apply(p *partition, r Record, inOrder bool) {
	switch r.Key {
	case ownerKey:
		l.applyOwner(p, r.Value)
		return
	case claimKey:
		l.applyClaim(p, r.Value)
		return
	}
	kind, id, ok := splitKey(r.Key)
	switch {
	case !ok:
		return // not a key of this package
	case kind == kindEnd:
		l.applyEnd(p, r)
		return
	}
	e := p.jobs[id]
	if e == nil {
		if len(r.Value) == 0 {
			return
		}
		e = &storedJob{}
	}
	switch kind {
	case kindAccepted:
		first := e.submission == nil
		if !l.applyAccepted(p, e, id, r.Value) {
			return
		}
		if first && inOrder && p.owned && p.ownerRead {
			e.firstEpoch = p.epoch
		}
	case kindCancelled:
		e.cancelled = len(r.Value) > 0
	case kindProgress:
		if len(r.Value) == 0 {
			delete(p.jobs, id)
			return
		}
		progress, err := decodeProgress(r.Value)
		if err != nil {
			l.cfg.Log.Log(event.RecordIgnored, "key", r.Key, "error", err)
			return
		}
		if e.progress.State != "" && progress.State == "" {
			return // a delayed read: the end of the job has been written since
		}
		e.progress = *progress
		if progress.State != "" {
			if e.running { // the response to the write may have been lost
				l.cfg.Runner.ProgressRecorded(id, *progress)
			}
			l.markEnded(p, id, e)
		}
	default:
		return // written by other software or by a later version
	}
	p.jobs[id] = e
}

// applyAccepted applies a record of kindAccepted. It reports whether the record is valid.
func (l *Ledger) applyAccepted(p *partition, e *storedJob, id string, value []byte) bool {
	if len(value) == 0 || e.progress.State != "" {
		e.submission = nil
		return true
	}
	if e.submission != nil && (!e.summary || !p.owned) {
		return true
	}
	s, err := decodeSubmission(id, value)
	if err != nil {
		l.cfg.Log.Log(event.RecordIgnored, "key", recordKey(kindAccepted, id), "error", err)
		return false
	}
	e.bytes = s.MemoryBytes()
	e.submission, e.summary = p.keep(s)
	return true
}

// markEnded marks a job as ended, and schedules the deletion of its records by the owner
// after StateRetention. l.mu must be held.
func (l *Ledger) markEnded(p *partition, id string, e *storedJob) {
	e.submission, e.running = nil, false
	if e.ended == nil {
		e.ended = closedChan
	} else if e.ended != closedChan {
		close(e.ended)
		e.ended = closedChan
	}
	time.AfterFunc(l.cfg.Timing.StateRetention, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if p.owned && p.jobs[id] == e {
			p.markDirty(id, job.Progress{State: dropped})
		} else {
			delete(p.jobs, id) // the owner deletes the records
		}
	})
}

// dropped is the state in partition.dirty of a job whose records are to be deleted.
const dropped job.State = "dropped"

// startJobs passes the jobs of an owned partition to the runner. l.mu must be held.
func (l *Ledger) startJobs(p *partition) {
	for id, e := range p.jobs {
		l.startJob(p, id, e)
	}
}

func (l *Ledger) startJob(p *partition, id string, e *storedJob) {
	if !p.takenOver && e.firstEpoch != p.epoch {
		return // a run of a former owner may not have ended
	}
	switch {
	case e.progress.State != "" || e.submission == nil:
	case e.cancelled:
		if e.running {
			l.cfg.Runner.StopJob(id)
			e.running = false
		}
		if _, ok := p.dirty[id]; !ok {
			p.markDirty(id, job.Progress{State: job.Cancelled})
		}
	case !e.running && !e.summary:
		e.running = true
		s := *e.submission
		// The entry that accepted the job may know a newer configuration.
		if q, version, ok := l.cfg.Queue(s.Queue.Name); ok && version >= s.ConfigVersion {
			s.Queue, s.ConfigVersion = q, version
		}
		l.cfg.Log.Log(event.JobAdopted, "job", id, "partition", p.index, "epoch", p.epoch)
		l.cfg.Runner.Adopt(s, e.progress, p.epoch)
		for _, end := range e.ends {
			l.cfg.Runner.RunEnded(end.Agent, end.Run)
		}
	}
}
