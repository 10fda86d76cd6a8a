package ledger

import (
	"context"
	"errors"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// find returns a job. It first reads new records of the partition, unless the job is known and
// has ended or belongs to this entry.
func (l *Ledger) find(ctx context.Context, id string) (*storedJob, *errkind.Error) {
	p := l.partitionFor(id)
	l.mu.Lock()
	p.noteRequest(l.cfg.Timing)
	e, loaded, next := p.jobs[id], p.loaded, p.nextOffset
	l.mu.Unlock()
	if e != nil && l.owns(p) {
		return l.lookUp(p, id)
	}
	if e != nil && l.hasEnded(e) {
		return e, nil
	}
	if loaded {
		// Another entry may have appended the job or its end since the last read.
		applied, err := l.read(ctx, p, next, 0)
		if applied && (err == nil || e != nil) {
			return l.lookUp(p, id)
		}
		if err != nil && !errors.Is(err, ErrExpired) {
			return nil, errkind.New(errkind.LogUnavailable, "the stored jobs cannot be read: %w", err)
		}
	}
	if err := l.load(ctx, p); err != nil {
		return nil, errkind.New(errkind.LogUnavailable, "the stored jobs cannot be read: %w", err)
	}
	return l.lookUp(p, id)
}

// lookUp returns a job of p, whose records must have been read.
func (l *Ledger) lookUp(p *partition, id string) (*storedJob, *errkind.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A cancellation or progress alone shows no job: other software may have written it.
	if e := p.jobs[id]; e != nil && (e.submission != nil || e.progress.State != "") {
		return e, nil
	}
	return nil, errkind.New(errkind.JobUnknown, "no such job is stored")
}

func (l *Ledger) owns(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.owned
}

func (l *Ledger) hasEnded(e *storedJob) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.progress.State != ""
}

// JobFinished reports whether the ends of a job's runs need no longer be kept: the end of the
// job is recorded, or this entry owns its partition and the job is cancelled or not stored. epoch is
// that of the owner that ordered the runs. This entry may own the partition no longer without
// knowing, and then does not know the jobs of a later owner.
func (l *Ledger) JobFinished(id string, epoch uint64) bool {
	p := l.partitionFor(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	p.noteRequest(l.cfg.Timing)
	e := p.jobs[id]
	if e != nil && e.progress.State != "" {
		return true
	}
	return p.takenOver && (e == nil && epoch <= p.epoch || e != nil && e.cancelled)
}

// maxStateWait is how long State waits for a job to end. Callers often ask just after the
// last task has ended. The end is recorded and visible at every entry within about 40 ms:
// recordInterval, two calls to the store of 4 to 10 ms each and the messages between processes.
const maxStateWait = 80 * time.Millisecond

// minReadWait is the shortest remaining time for which State reads another owner's partition
// again. A response of the store takes about as long.
const minReadWait = 5 * time.Millisecond

// State returns the state of a job. If the job has not ended, it waits for its end for at
// most maxStateWait.
func (l *Ledger) State(ctx context.Context, id string) (job.State, *errkind.Error) {
	e, err := l.find(ctx, id)
	if err != nil {
		return "", err
	}
	p := l.partitionFor(id)
	for deadline := time.Now().Add(maxStateWait); ; {
		state, ended := l.state(e, id)
		left := time.Until(deadline)
		if ended == closedChan || state == job.Cancelled || left < minReadWait {
			return state, nil
		}
		wake := time.NewTimer(left)
		if !l.owns(p) && l.awaitRecords(ctx, p, left) {
			wake.Stop()
			continue
		}
		select {
		case <-ended:
		case <-wake.C:
		case <-ctx.Done():
			wake.Stop()
			return state, nil
		}
		wake.Stop()
	}
}

// state returns the last known state of a job, and a channel that is closed when the job
// ends.
func (l *Ledger) state(e *storedJob, id string) (job.State, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.ended == nil {
		e.ended = make(chan struct{})
	}
	switch {
	case e.progress.State != "":
		return e.progress.State, closedChan
	case e.cancelled:
		return job.Cancelled, e.ended
	case e.running && l.cfg.Runner.Started(id):
		return job.Running, e.ended
	}
	return job.Queued, e.ended
}

// awaitRecords waits at most the given time for new records of another owner's partition and
// applies them. It reports whether the read succeeded.
func (l *Ledger) awaitRecords(ctx context.Context, p *partition, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+minReadWait)
	defer cancel()
	l.mu.Lock()
	next := p.nextOffset
	l.mu.Unlock()
	_, err := l.read(ctx, p, next, wait)
	return err == nil
}
