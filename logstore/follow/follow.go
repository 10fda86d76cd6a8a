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
	// ReadInterval is the interval between reads while the log is available. Tickets
	// must take effect within 4 s, and views need a prefix of the log that is at most
	// 2.5 s old.
	ReadInterval = 500 * time.Millisecond
	// recordsPerRead is the maximum number of records requested in one read.
	recordsPerRead = 500
	// snapshotRetentionDivisor sets the age at which a new snapshot is due: when the
	// start point is older than the retention divided by this number.
	snapshotRetentionDivisor = 3
	// maxSnapshotDelay bounds the random delay before a snapshot is written. The
	// delay lets one of many followers write it and the others notice it.
	maxSnapshotDelay = time.Minute
	// maxUrgentSnapshotDelay replaces maxSnapshotDelay when the start point has
	// expired. It is shorter than the time for which a new reader of members waits
	// before it gives up.
	maxUrgentSnapshotDelay = 5 * time.Second
)

// Position is the progress of a Follower after a read.
type Position[S any] struct {
	// HasState is false while the follower has no start point. State is meaningless
	// then.
	HasState bool
	// NoStartPoint means that the whole stream was read without finding a start point.
	NoStartPoint bool
	// State is the state after all records before Next.
	State S
	Next  uint64
	// KnownMS is the watermark in platform time: all records with earlier timestamps
	// have been read.
	KnownMS int64
	// ReadAt is the local time at which the read completed.
	ReadAt time.Time
}

// Options contains the optional settings of a Follower.
type Options struct {
	Log *event.Logger
	// Retention is the time for which the log keeps records. If it is zero or longer
	// than the actual retention, a snapshot is written only after the start point has
	// expired.
	Retention time.Duration
	// OnRead is called after each successful read, in order, on the reading goroutine.
	OnRead func()
	// OnApplied is called like OnRead, but only while the follower has a state. The
	// new position is already visible.
	OnApplied func(AppliedBatch)
}

// AppliedBatch describes one read whose records were applied.
type AppliedBatch struct {
	Records []logstore.Record
	// Next is the offset that follows the last applied record.
	Next uint64
	// ReadStartedAt is the local time at which the read started.
	ReadStartedAt time.Time
	// AtEnd means that the stream contained no further records.
	AtEnd bool
}

// Follower reads one stream and applies its records to a state machine. Its
// methods are safe for concurrent use.
type Follower[S any] struct {
	client *logstore.Client
	stream string
	opts   Options
	// readLock is held during a read, so that records are applied in order.
	readLock chan struct{}
	cur      cursor[S]
	position atomic.Pointer[Position[S]]

	unavailable    bool // the last read failed; used by Run only
	nextSnapshotAt time.Time
	metrics        metrics
}

// New returns a follower of the stream. It reads nothing until Run or Poll.
func New[S any](client *logstore.Client, stream string, m StateMachine[S], opts Options) *Follower[S] {
	f := &Follower[S]{client: client, stream: stream, opts: opts, readLock: make(chan struct{}, 1)}
	f.cur.machine = m
	f.metrics = newMetrics(stream)
	f.position.Store(&Position[S]{})
	return f
}

// Position returns the latest position.
func (f *Follower[S]) Position() *Position[S] { return f.position.Load() }

// Run reads the stream every ReadInterval until ctx ends. It keeps retrying during
// outages of the log.
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

// Poll reads the stream to its end and applies the records.
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
	hadState := f.cur.hasState
	if err := f.cur.advance(b); err != nil {
		return err
	}
	if hadState && !f.cur.hasState {
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
		// If this read found the start point, later records are still unread.
		f.opts.OnApplied(AppliedBatch{Records: b.Records, Next: f.cur.next, ReadStartedAt: startedAt, AtEnd: hadState && len(b.Records) == 0})
	}
	if f.opts.OnRead != nil {
		f.opts.OnRead()
	}
	return nil
}

// reportOutage logs the start and the end of an outage once each.
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

// snapshotIfDue appends a snapshot, after a random delay, when the start point of
// new readers has expired or is older than the fraction of the retention that
// snapshotRetentionDivisor sets.
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
	// If the response to this append is lost, the next read shows whether the
	// snapshot was written before another attempt is made.
	f.nextSnapshotAt = time.Time{}
	if err := f.appendSnapshot(ctx); err != nil {
		f.opts.Log.Log(event.SnapshotFailed, "stream", f.stream, "err", err)
	}
}

// snapshotDue reports whether a snapshot is due and its maximum random delay.
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

// Await polls until the record at offset has been applied or ctx ends.
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
