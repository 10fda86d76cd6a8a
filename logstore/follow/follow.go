package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"oriolerelay/event"
	"oriolerelay/logstore"
)

const (
	// ReadInterval is the time between two reads of a healthy log. Tickets must be
	// in force within 4 s and views need a prefix at most 2.5 s old.
	ReadInterval = 500 * time.Millisecond
	// pageRecords is the number of records asked for in one read.
	recordsPerRead = 500
	// snapshotShare is the part of the retention after which the oldest needed
	// record is covered by a new snapshot.
	snapshotRetentionDivisor = 3
	// snapshotSpread is the longest random delay of a snapshot, so that one of many
	// followers writes it and the others see it.
	maxSnapshotDelay = time.Minute
	// urgentSpread replaces it when a needed record has expired. It is shorter than
	// the time for which a starting reader of members waits before it gives up.
	maxUrgentSnapshotDelay = 5 * time.Second
)

// Position is what a Follower knows after a read.
type Position[S any] struct {
	// Folding is false until a complete fold exists; State is then meaningless.
	HasState bool
	// NoBase means that the whole stream was read without a place to start from.
	NoStartPoint bool
	// State is the fold of every record before Next.
	State S
	Next  uint64
	// KnownMS is a platform time before which no unknown record was stamped.
	KnownMS int64
	// ReadAt is the own time of the read.
	ReadAt time.Time
}

// Options are the optional settings of a Follower.
type Options struct {
	Log *event.Logger
	// Retention is the time for which the log keeps records. When it is zero or too
	// long, a snapshot is written only after a needed record has expired.
	Retention time.Duration
	// OnRead is called after each successful read, in order, by the reading goroutine.
	OnRead func()
	// OnFolded is called like OnRead, while there is a fold. The new position is
	// visible before.
	OnApplied func(AppliedBatch)
}

// Folded describes one read whose records were folded.
type AppliedBatch struct {
	Records []logstore.Record
	// Next is the offset up to which the stream is folded.
	Next uint64
	// BeganAt is the own time before the read.
	ReadStartedAt time.Time
	// AtEnd means that the stream held no further record.
	AtEnd bool
}

// Follower reads one stream and folds it. Its methods are safe for concurrent use.
type Follower[S any] struct {
	client *logstore.Client
	stream string
	opts   Options
	// reading is held during a read, so that records are folded in order.
	readLock chan struct{}
	cur      cursor[S]
	position atomic.Pointer[Position[S]]

	unavailable    bool // the last read failed; used by Run only
	nextSnapshotAt time.Time
	metrics        metrics
}

// New returns a follower of the stream that has read nothing.
func New[S any](client *logstore.Client, stream string, m StateMachine[S], opts Options) *Follower[S] {
	f := &Follower[S]{client: client, stream: stream, opts: opts, readLock: make(chan struct{}, 1)}
	f.cur.machine = m
	f.metrics = newMetrics(stream)
	f.position.Store(&Position[S]{})
	return f
}

// Position returns the newest position.
func (f *Follower[S]) Position() *Position[S] { return f.position.Load() }

// Run reads the stream every ReadInterval until ctx ends. It continues through
// outages.
func (f *Follower[S]) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReadInterval)
	defer ticker.Stop()
	for {
		f.reportOutage(ctx, f.Poll(ctx))
		f.snapshotIfDue(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Poll reads the stream to its end and folds it.
func (f *Follower[S]) Poll(ctx context.Context) error {
	select {
	case f.readLock <- struct{}{}:
		defer func() { <-f.readLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		startedAt := time.Now()
		b, err := f.client.Read(ctx, f.stream, f.cur.next, recordsPerRead)
		if err != nil {
			return err
		}
		previousNext := f.cur.next
		hadState := f.cur.hasState
		if err := f.advance(b, startedAt); err != nil {
			return err
		}
		if len(b.Records) > 0 || f.cur.hasState != hadState || f.cur.next < previousNext {
			continue // more records may follow
		}
		if !f.cur.hasState {
			f.position.Store(&Position[S]{NoStartPoint: true, ReadAt: time.Now()})
			return ErrNoStartPoint
		}
		return nil
	}
}

func (f *Follower[S]) advance(b logstore.Batch, startedAt time.Time) error {
	mismatches, next := f.cur.mismatches, f.cur.next
	wasFolding := f.cur.hasState
	if err := f.cur.advance(b); err != nil {
		return err
	}
	if wasFolding && !f.cur.hasState {
		f.opts.Log.Log(event.RecordsExpired, "stream", f.stream, "offset", next, "earliest", b.Earliest)
	}
	if f.cur.mismatches > mismatches {
		f.metrics.mismatches.Inc()
		f.opts.Log.Log(event.SnapshotMismatch, "stream", f.stream, "offset", b.Next)
	}
	f.metrics.observe(b, f.cur.hasState)
	f.position.Store(&Position[S]{
		HasState: f.cur.hasState, State: f.cur.state, Next: f.cur.next, KnownMS: f.cur.knownMS,
		ReadAt: time.Now(),
	})
	if f.opts.OnApplied != nil && f.cur.hasState {
		// A fold that began with this read stands before the end of the stream.
		f.opts.OnApplied(AppliedBatch{Records: b.Records, Next: f.cur.next, ReadStartedAt: startedAt, AtEnd: wasFolding && len(b.Records) == 0})
	}
	if f.opts.OnRead != nil {
		f.opts.OnRead()
	}
	return nil
}

// report logs the beginning and the end of an outage once each.
func (f *Follower[S]) reportOutage(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !f.unavailable:
		f.unavailable = true
		f.opts.Log.Log(event.LogUnavailable, "stream", f.stream, "err", err)
	case err == nil && f.unavailable:
		f.unavailable = false
		f.opts.Log.Log(event.LogAvailable, "stream", f.stream, "offset", f.Position().Next)
	}
}

// maybeSnapshot appends a snapshot when the oldest record that a starting reader
// needs is older than a share of the retention, or has expired already.
func (f *Follower[S]) snapshotIfDue(ctx context.Context) {
	now := time.Now()
	due, maxDelay := f.snapshotDue()
	switch {
	case !due:
		f.nextSnapshotAt = time.Time{}
		return
	case f.nextSnapshotAt.IsZero():
		f.nextSnapshotAt = now.Add(rand.N(maxDelay))
		return
	case now.Before(f.nextSnapshotAt):
		return
	}
	// After a lost answer the next attempt comes after the read that would show it.
	f.nextSnapshotAt = time.Time{}
	if err := f.appendSnapshot(ctx); err != nil {
		f.opts.Log.Log(event.SnapshotFailed, "stream", f.stream, "err", err)
	}
}

// snapshotDue reports whether a snapshot is due and how long it may be delayed.
func (f *Follower[S]) snapshotDue() (due bool, maxDelay time.Duration) {
	f.readLock <- struct{}{}
	defer func() { <-f.readLock }()
	retention := f.opts.Retention
	switch {
	case f.cur.startPointExpired():
		return true, maxUrgentSnapshotDelay
	case retention > 0 && f.cur.startPointAgeMS() > (retention/snapshotRetentionDivisor).Milliseconds():
		return true, min(maxSnapshotDelay, retention/(2*snapshotRetentionDivisor)) + 1
	}
	return false, 0
}

func (f *Follower[S]) appendSnapshot(ctx context.Context) error {
	f.readLock <- struct{}{}
	record, err := f.cur.snapshot()
	<-f.readLock
	if err != nil {
		return err
	}
	if _, err := f.client.Append(ctx, f.stream, record); err != nil {
		return err
	}
	f.metrics.snapshots.Inc()
	f.opts.Log.Log(event.SnapshotWritten, "stream", f.stream, "up_to", record.UpTo)
	return nil
}

// Await polls until the record at offset is folded or ctx ends.
func (f *Follower[S]) Await(ctx context.Context, offset uint64) error {
	for {
		err := f.Poll(ctx)
		if p := f.Position(); err == nil && p.HasState && p.Next > offset {
			return nil
		}
		select {
		case <-time.After(ReadInterval / 5):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}
