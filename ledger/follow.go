package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/job"
)

// follow folds the records of a partition until ctx ends, while this entry owns it or is
// asked for its jobs.
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
		known, next, owned := p.loaded, p.nextOffset, p.owned
		l.mu.Unlock()
		err := l.catchUp(ctx, p, known, next, owned)
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

// unloadIfUnused reports whether p need not be followed now, and forgets what is known of it
// then: with many entries, reads of all partitions by all of them would grow with the
// product of both.
func (l *Ledger) unloadIfUnused(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.owned || p.writable || time.Since(p.lastRequested) < l.cfg.Timing.FollowPeriod {
		return false
	}
	p.loaded = false
	p.entries = make(map[string]*entry)
	return true
}

// noteRequest takes note that this entry was asked for a job of p. l.mu is held.
func (p *partition) noteRequest(timing Timing) {
	if !p.owned && time.Since(p.lastRequested) > timing.RequestPollInterval {
		p.wakeFollower()
	}
	p.lastRequested = time.Now()
}

// maxRetryDoublings bounds the pause between attempts while the store is away: each
// refused call has its price, and there is one reader for each partition.
const maxRetryDoublings = 4

// readDelay returns the time until the next read of a partition.
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

// isEmpty reports whether a partition has no jobs. Idle partitions and those of others are
// read seldom, since each call to the store has its price; jobs that are asked for are
// looked up.
func (l *Ledger) isEmpty(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(p.entries) == 0
}

func (l *Ledger) catchUp(ctx context.Context, p *partition, known bool, next uint64, owned bool) error {
	var records []Record
	var err error
	if !known {
		records, next, err = l.cfg.Store.Newest(ctx, p.index)
	} else {
		wait := time.Duration(0)
		if owned {
			wait = l.cfg.Timing.OwnedPollWait
			if l.isEmpty(p) {
				wait = l.cfg.Timing.IdlePollInterval
			}
		}
		records, next, err = l.cfg.Store.Read(ctx, p.index, next, wait)
		if errors.Is(err, ErrExpired) {
			l.mu.Lock()
			p.loaded = false
			l.mu.Unlock()
			return nil
		}
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known {
		next = max(next, p.nextOffset) // this process has written meanwhile
	}
	p.loaded, p.nextOffset = true, next
	if !known { // the newest records come in any order, and ends belong to jobs
		slices.SortStableFunc(records, func(a, b Record) int { return compareEndsLast(a.Key, b.Key) })
	}
	for _, r := range records {
		l.apply(p, r, known)
	}
	if p.runsJobs() {
		l.startJobs(p)
	}
	return nil
}

// compareEndsLast orders the keys of ends after all others.
func compareEndsLast(a, b string) int {
	rank := func(key string) int {
		if kind, _, ok := splitKey(key); ok && kind == kindEnd {
			return 1
		}
		return 0
	}
	return rank(a) - rank(b)
}

// apply takes one record. inOrder is false for the newest records of all keys.
func (l *Ledger) apply(p *partition, r Record, inOrder bool) {
	if r.Key == ownerKey {
		l.applyOwner(p, r.Value)
		return
	}
	kind, id, ok := splitKey(r.Key)
	switch {
	case !ok:
		return // another writer's
	case kind == kindEnd:
		l.applyEnd(p, r)
		return
	}
	e := p.entries[id]
	if e == nil {
		if len(r.Value) == 0 {
			return
		}
		e = &entry{}
		p.entries[id] = e
	}
	switch kind {
	case kindAccepted:
		if e.submission == nil && inOrder && p.owned && p.ownerRead {
			e.firstEpoch = p.epoch
		}
		l.applyAccepted(e, r.Value)
	case kindCancelled:
		e.cancelled = len(r.Value) > 0
	case kindProgress:
		if len(r.Value) == 0 {
			delete(p.entries, id)
			return
		}
		progress, err := decode[job.Progress](r.Value)
		if err != nil {
			l.cfg.Log.Log(event.RecordIgnored, "key", r.Key, "error", err)
			return
		}
		if e.progress.State != "" && progress.State == "" {
			return // read after the end of the job was written
		}
		e.progress = *progress
		if progress.State != "" {
			if e.running { // the answer to the write may be lost
				l.cfg.Runner.ProgressRecorded(id, *progress)
			}
			l.markEnded(p, id, e)
		}
	}
}

// applyOwner takes the record of an owner. A former owner gives the partition up before
// it reads the jobs that were accepted later, so that these can be run at once.
func (l *Ledger) applyOwner(p *partition, value []byte) {
	epoch, err := decode[uint64](value)
	if err != nil {
		l.cfg.Log.Log(event.RecordIgnored, "key", ownerKey, "error", err)
		return
	}
	switch {
	case p.owned && *epoch > p.epoch:
		l.release(p, "a later owner has taken it")
	case p.owned && *epoch == p.epoch:
		p.ownerRead, p.writable = true, true // also if the answer to the write is lost
	}
}

func (l *Ledger) applyAccepted(e *entry, value []byte) {
	if len(value) == 0 || e.progress.State != "" {
		e.submission = nil
		return
	}
	s, err := decode[job.Submission](value)
	if err != nil {
		l.cfg.Log.Log(event.RecordIgnored, "error", err)
		return
	}
	if e.submission == nil {
		e.submission = s
	}
}

// markEnded takes note that a job has ended. Its owner drops the records when nobody may
// ask for it any more.
func (l *Ledger) markEnded(p *partition, id string, e *entry) {
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
		if p.owned && p.entries[id] == e {
			p.markDirty(id, job.Progress{State: dropped})
		} else {
			delete(p.entries, id) // its owner drops the record
		}
	})
}

// dropped marks, among the progress to be recorded, a job whose records are dropped.
const dropped job.State = "dropped"

// startJobs gives the jobs of an owned partition to the runner.
func (l *Ledger) startJobs(p *partition) {
	for id, e := range p.entries {
		l.startJob(p, id, e)
	}
}

func (l *Ledger) startJob(p *partition, id string, e *entry) {
	if !p.takenOver && e.firstEpoch != p.epoch {
		return // a former owner may have run it
	}
	switch {
	case e.progress.State != "":
	case e.cancelled:
		if e.running {
			l.cfg.Runner.StopJob(id)
			e.running = false
		}
		if _, ok := p.dirty[id]; !ok {
			p.markDirty(id, job.Progress{State: job.Cancelled})
		}
	case e.submission != nil && !e.running:
		e.running = true
		s := *e.submission
		if q, ok := l.cfg.Queue(s.Queue.Name); ok {
			s.Queue = q
		}
		l.cfg.Log.Log(event.JobAdopted, "job", id, "partition", p.index, "epoch", p.epoch)
		l.cfg.Runner.Adopt(s, e.progress, p.epoch)
		for _, end := range e.ends {
			l.cfg.Runner.RunEnded(end.Agent, end.Run)
		}
	}
}
