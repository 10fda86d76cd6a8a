package ledger

import (
	"context"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// find returns a job, after reading on in its partition if it is not known.
func (l *Ledger) find(ctx context.Context, id string) (*entry, *errkind.Error) {
	p := l.partitionFor(id)
	l.mu.Lock()
	p.noteRequest(l.cfg.Timing)
	e, known, next := p.entries[id], p.loaded, p.nextOffset
	l.mu.Unlock()
	if e != nil && (l.owns(p) || l.hasEnded(e)) {
		return e, nil
	}
	if !known {
		if err := l.catchUp(ctx, p, false, 0, false); err != nil {
			return nil, errkind.New(errkind.LogUnavailable, "the stored jobs cannot be read: %w", err)
		}
		return l.lookUp(p, id)
	}
	// Another entry may have recorded the job, or its end, since the last read.
	records, after, err := l.cfg.Store.Read(ctx, p.index, next, 0)
	if err != nil && e == nil {
		return nil, errkind.New(errkind.LogUnavailable, "the stored jobs cannot be read: %w", err)
	}
	if err == nil {
		l.applyRead(p, records, next, after)
	}
	return l.lookUp(p, id)
}

// lookUp returns a job of p, whose records are read.
func (l *Ledger) lookUp(p *partition, id string) (*entry, *errkind.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := p.entries[id]; e != nil {
		return e, nil
	}
	return nil, errkind.New(errkind.JobUnknown, "no such job is stored")
}

func (l *Ledger) owns(p *partition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.owned
}

func (l *Ledger) hasEnded(e *entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.progress.State != ""
}

// JobFinished reports whether ends of runs of a job need not be kept any more: its end is
// recorded, or this entry owns its partition and the job is cancelled or not stored.
func (l *Ledger) JobFinished(id string) bool {
	p := l.partitionFor(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	p.noteRequest(l.cfg.Timing)
	e := p.entries[id]
	if e != nil && e.progress.State != "" {
		return true
	}
	return p.takenOver && (e == nil || e.cancelled)
}

// maxStateWait is how long the state of a job that has not ended is held back, in case
// it ends meanwhile. Callers ask just after the last task has ended, which is known
// here, recorded and visible at every entry within about 40 ms: recorderPeriod, two
// calls to the store of 4 to 10 ms and the messages between the processes.
const maxStateWait = 80 * time.Millisecond

// minReadWait is the shortest time for which another entry's partition is read: an
// answer of the store takes about as long.
const minReadWait = 5 * time.Millisecond

// State returns the state of a job. A job that has not ended is answered after at
// most stateWait.
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

// state returns the state of a job as it is known, and a channel that is closed when
// the job ends.
func (l *Ledger) state(e *entry, id string) (job.State, chan struct{}) {
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

// awaitRecords waits for records of another entry's partition for at most the given time.
// It reports whether the partition was read.
func (l *Ledger) awaitRecords(ctx context.Context, p *partition, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+minReadWait)
	defer cancel()
	l.mu.Lock()
	next := p.nextOffset
	l.mu.Unlock()
	records, after, err := l.cfg.Store.Read(ctx, p.index, next, wait)
	if err != nil {
		return false
	}
	l.applyRead(p, records, next, after)
	return true
}

// applyRead takes the records that were read from an offset on, unless others have
// been taken since.
func (l *Ledger) applyRead(p *partition, records []Record, from, after uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.nextOffset != from {
		return
	}
	for _, r := range records {
		l.apply(p, r, true)
	}
	p.nextOffset = after
}
