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
		if l.setAside(p) {
			select {
			case <-p.wake:
			case <-ctx.Done():
			}
			continue
		}
		l.mu.Lock()
		known, next, owned := p.known, p.next, p.owned
		l.mu.Unlock()
		err := l.readOn(ctx, p, known, next, owned)
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
		pause := l.pause(p, owned, failures)
		select {
		case <-time.After(pause):
		case <-p.wake:
		case <-ctx.Done():
		}
	}
}

// setAside reports whether p need not be followed now, and forgets what is known of it
// then: with many entries, reads of all partitions by all of them would grow with the
// product of both.
func (l *Ledger) setAside(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.owned || p.fenced || time.Since(p.asked) < l.cfg.Timing.Asked {
		return false
	}
	p.known = false
	p.entries = make(map[string]*entry)
	return true
}

// ask takes note that this entry was asked for a job of p. l.mu is held.
func (p *partition) ask(timing Timing) {
	if !p.owned && time.Since(p.asked) > timing.OtherPoll {
		p.wakeUp()
	}
	p.asked = time.Now()
}

// maxRetryDoublings bounds the pause between attempts while the store is away: each
// refused call has its price, and there is one reader for each partition.
const maxRetryDoublings = 4

// pause returns the time until the next read of a partition.
func (l *Ledger) pause(p *partition, owned bool, failures int) time.Duration {
	idle := l.idle(p)
	switch {
	case failures > 0 && idle:
		return l.cfg.Timing.IdlePoll
	case failures > 0:
		return l.cfg.Timing.Retry << min(failures-1, maxRetryDoublings)
	case !owned:
		return l.cfg.Timing.IdlePoll
	}
	return l.cfg.Timing.Gap
}

// idle reports whether a partition has no jobs. Idle partitions and those of others are
// read seldom, since each call to the store has its price; jobs that are asked for are
// looked up.
func (l *Ledger) idle(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(p.entries) == 0
}

func (l *Ledger) readOn(ctx context.Context, p *partition, known bool, next uint64, owned bool) error {
	var records []Record
	var err error
	if !known {
		records, next, err = l.cfg.Store.Newest(ctx, p.index)
	} else {
		wait := time.Duration(0)
		if owned {
			wait = l.cfg.Timing.OwnPoll
			if l.idle(p) {
				wait = l.cfg.Timing.IdlePoll
			}
		}
		records, next, err = l.cfg.Store.Read(ctx, p.index, next, wait)
		if errors.Is(err, ErrExpired) {
			l.mu.Lock()
			p.known = false
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
		next = max(next, p.next) // this process has written meanwhile
	}
	p.known, p.next = true, next
	if !known { // the newest records come in any order, and ends belong to jobs
		slices.SortStableFunc(records, func(a, b Record) int { return compareEndsLast(a.Key, b.Key) })
	}
	for _, r := range records {
		l.fold(p, r, known)
	}
	if p.runsJobs() {
		l.handOver(p)
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

// fold takes one record. inOrder is false for the newest records of all keys.
func (l *Ledger) fold(p *partition, r Record, inOrder bool) {
	if r.Key == ownerKey {
		l.foldOwner(p, r.Value)
		return
	}
	kind, id, ok := splitKey(r.Key)
	switch {
	case !ok:
		return // another writer's
	case kind == kindEnd:
		l.foldEnd(p, r)
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
			e.fresh = p.epoch
		}
		l.foldAccepted(e, r.Value)
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
			l.over(p, id, e)
		}
	}
}

// foldOwner takes the record of an owner. A former owner gives the partition up before
// it reads the jobs that were accepted later, so that these can be run at once.
func (l *Ledger) foldOwner(p *partition, value []byte) {
	epoch, err := decode[uint64](value)
	if err != nil {
		l.cfg.Log.Log(event.RecordIgnored, "key", ownerKey, "error", err)
		return
	}
	switch {
	case p.owned && *epoch > p.epoch:
		l.release(p, "a later owner has taken it")
	case p.owned && *epoch == p.epoch:
		p.ownerRead, p.fenced = true, true // also if the answer to the write is lost
	}
}

func (l *Ledger) foldAccepted(e *entry, value []byte) {
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

// over takes note that a job has ended. Its owner drops the records when nobody may
// ask for it any more.
func (l *Ledger) over(p *partition, id string, e *entry) {
	e.submission, e.running = nil, false
	if e.ended == nil {
		e.ended = closed
	} else if e.ended != closed {
		close(e.ended)
		e.ended = closed
	}
	time.AfterFunc(l.cfg.Timing.Keep, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if p.owned && p.entries[id] == e {
			p.setDirty(id, job.Progress{State: dropped})
		} else {
			delete(p.entries, id) // its owner drops the record
		}
	})
}

// dropped marks, among the progress to be recorded, a job whose records are dropped.
const dropped job.State = "dropped"

// handOver gives the jobs of an owned partition to the runner.
func (l *Ledger) handOver(p *partition) {
	for id, e := range p.entries {
		l.handOverJob(p, id, e)
	}
}

func (l *Ledger) handOverJob(p *partition, id string, e *entry) {
	if !p.active && e.fresh != p.epoch {
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
			p.setDirty(id, job.Progress{State: job.Cancelled})
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
			l.cfg.Runner.Ended(end.Agent, end.Run)
		}
	}
}
