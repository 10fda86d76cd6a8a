package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// Runner runs the jobs of the partitions that this entry owns. Its methods must not
// block.
type Runner interface {
	// Adopt runs a job. epoch rises from owner to owner of its partition.
	Adopt(s job.Submission, p job.Progress, epoch uint64)
	// StopJob stops the runs of a job, which has been cancelled or has another owner.
	StopJob(id string)
	// Started reports whether a task of the job has been ordered.
	Started(id string) bool
	// Ended tells the runner that a run on the given agent has done its task.
	RunEnded(agent string, run wire.Run)
	// CanRun reports whether this entry can run jobs at all.
	CanRun() bool
	// ProgressRecorded tells the runner that the progress of a job up to now is recorded.
	ProgressRecorded(id string, p job.Progress)
}

// Timing holds the times of a Ledger.
type Timing struct {
	// TTL is the time after which the store gives the partitions of a silent member
	// to others, and Renewal the time between two calls that keep the membership.
	TTL           time.Duration
	RenewInterval time.Duration
	// TakeoverDelay is the time between taking a partition and running its jobs. The runs
	// of the former owner have ended by then, and agents have reported ends that were
	// not recorded.
	TakeoverDelay time.Duration
	// OwnedPollWait is how long a read of an owned partition waits for a record. A waiting read
	// hears nothing for a second while the store drops its history, and jobs have
	// objectives of a few hundred milliseconds.
	OwnedPollWait time.Duration
	// RequestPollInterval is the shortest time between two reads of another's partition for ends
	// that this entry hears of.
	RequestPollInterval time.Duration
	// IdlePollInterval is the time between reads of a partition that has no jobs or another owner.
	IdlePollInterval time.Duration
	// FollowPeriod is how long another's partition is followed after this entry was asked for
	// one of its jobs.
	FollowPeriod time.Duration
	// CountInterval is the time between two counts of the jobs that wait, which owners publish.
	CountInterval time.Duration
	// MinReadInterval is the shortest time between two reads of an owned partition.
	MinReadInterval time.Duration
	// AcceptTimeout bounds the recording of a job whose fate is unknown.
	AcceptTimeout time.Duration
	// StateRetention is how long the state of a job that has ended can be asked for.
	StateRetention time.Duration
	// RetryDelay is the pause after a failed call.
	RetryDelay time.Duration
	// ResponseTimeout is how long the first attempts of a call wait for its answer. The store
	// answers within 10 ms, and can lose answers; a repeated call changes nothing.
	ResponseTimeout time.Duration
}

// attemptTimeout returns how long the nth attempt of a call, from 0, waits for its answer:
// longer and longer, as an answer can also be slow.
func (t Timing) attemptTimeout(n int) time.Duration {
	const longest = 3 // doublings
	return t.ResponseTimeout << min(n/2, longest)
}

// DefaultTiming returns the times for a store whose shortest membership is minTTL.
func DefaultTiming(minTTL, orphanEnd, keep time.Duration) Timing {
	return Timing{
		TTL: max(1500*time.Millisecond, minTTL), RenewInterval: 400 * time.Millisecond,
		TakeoverDelay: orphanEnd + 300*time.Millisecond,
		OwnedPollWait: 400 * time.Millisecond, RequestPollInterval: 600 * time.Millisecond, MinReadInterval: 10 * time.Millisecond,
		IdlePollInterval: 4 * time.Second, FollowPeriod: 10 * time.Second, CountInterval: 500 * time.Millisecond,
		AcceptTimeout: 2 * time.Second, StateRetention: keep + 10*time.Second, RetryDelay: 200 * time.Millisecond, ResponseTimeout: 150 * time.Millisecond,
	}
}

// leaseFraction is the part of the TTL, from the moment a renewal was sent, for which
// an owner acts without a later one. The rest is for the clock and the network.
const leaseFraction = 0.7

// Config holds what a Ledger needs.
type Config struct {
	Member     string
	Partitions int
	Store      Store
	Runner     Runner
	Timing     Timing
	Log        *event.Logger
	// Now returns a clock that counts the time in which the host is suspended.
	Now func() time.Duration
	// Queue returns the queue in force with the given name.
	Queue func(name string) (job.Queue, bool)
}

// Ledger is the view of one entry. It is safe for concurrent use.
type Ledger struct {
	cfg        Config
	ctx        context.Context
	partitions []*partition

	endWriteSlots chan struct{} // holds a value for each end that is being recorded

	mu          sync.Mutex
	generation  uint64
	leaseExpiry time.Duration // until which this process may act as an owner, on cfg.Now
}

// partition is one partition of jobs.
type partition struct {
	index        int
	followerWake chan struct{}

	// The fields below are guarded by Ledger.mu.
	lastRequested time.Time // when this entry was last asked for a job
	loaded        bool
	nextOffset    uint64 // offset up to which the records are folded
	entries       map[string]*entry
	owned         bool
	epoch         uint64
	sequence      uint64
	writable      bool // the record of this owner is stored: former owners cannot write
	// ownerRead is set when that record has been read. Jobs that are read after it were
	// never run by a former owner.
	ownerRead    bool
	takenOver    bool                    // the runs of former owners have ended
	dirty        map[string]job.Progress // to be recorded
	obsoleteEnds []string                // keys of ends to be dropped
	recorderWake chan struct{}           // wakes the recorder
	// publishedCounts holds the jobs that wait, by queue, as the owner has publishedCounts them.
	publishedCounts map[string]int
}

// runsJobs reports whether this owner runs some jobs: all, or those that no former
// owner has run.
func (p *partition) runsJobs() bool { return p.owned && (p.takenOver || p.ownerRead) }

// markDirty makes the recorder write the progress of a job.
func (p *partition) markDirty(id string, progress job.Progress) {
	p.dirty[id] = progress
	p.wakeRecorder()
}

func (p *partition) wakeRecorder() {
	select {
	case p.recorderWake <- struct{}{}:
	default:
	}
}

// entry is one job.
type entry struct {
	submission *job.Submission // nil when it has ended or is not known
	progress   job.Progress
	cancelled  bool
	running    bool // handed to the runner
	// firstEpoch is the epoch of the first owner that may have run it, if that is known.
	firstEpoch uint64
	ends       []endRecord // recorded by other entries
	// ended is closed when progress.State is set; nil until someone waits for it.
	ended chan struct{}
}

// closedChan is the channel of entries that have ended.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// New returns a Ledger. It reads and owns nothing until Run.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, endWriteSlots: make(chan struct{}, maxConcurrentEndWrites)}
	for i := range cfg.Partitions {
		l.partitions = append(l.partitions, &partition{
			index: i, followerWake: make(chan struct{}, 1),
			entries: make(map[string]*entry), dirty: make(map[string]job.Progress), recorderWake: make(chan struct{}, 1),
		})
	}
	return l
}

// Run serves until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	l.ctx = ctx
	var wg sync.WaitGroup
	recording, stop := context.WithCancel(context.WithoutCancel(ctx)) // beyond the end of ownership
	for _, p := range l.partitions {
		wg.Go(func() { l.follow(ctx, p) })
		wg.Go(func() { l.runRecorder(recording, p) })
	}
	wg.Go(func() { l.publishCounts(ctx) })
	wg.Go(func() { l.cfg.Store.WatchCounts(ctx, l.cfg.Log, l.countInterval, l.applyCounts) })
	l.keepMembership(ctx)
	stop()
	wg.Wait()
}

func (l *Ledger) partitionFor(id string) *partition {
	return l.partitions[partitionOf(id, len(l.partitions))]
}

// Accept records a job. A nil error means that it is stored and will be run.
func (l *Ledger) Accept(ctx context.Context, s job.Submission) *errkind.Error {
	p := l.partitionFor(s.ID)
	l.mu.Lock()
	e := p.entries[s.ID]
	stored := e != nil && (e.submission != nil || e.progress.State != "")
	l.mu.Unlock()
	if stored {
		return nil // the caller sends it again
	}
	value, err := encode(s)
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "%w", err)
	}
	record := Record{Key: recordKey(kindAccepted, s.ID), Value: value}
	offset, failure := l.append(ctx, p, record)
	if failure != nil {
		return failure
	}
	l.applyAppended(p, record, s.ID, offset)
	return nil
}

// applyAppended folds a job that this entry has just stored and owns, instead of waiting
// until it is read. It must be the next record: a later owner may have written before.
func (l *Ledger) applyAppended(p *partition, r Record, id string, offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.loaded || !p.runsJobs() || offset != p.nextOffset {
		p.wakeFollower()
		return
	}
	l.apply(p, r, true)
	p.skipOwnRecords(offset, 1)
	if e := p.entries[id]; e != nil {
		l.startJob(p, id, e)
	}
}

// append appends a record of a caller's wish. A write whose fate is unknown is
// repeated, which changes nothing if it was carried out.
func (l *Ledger) append(ctx context.Context, p *partition, r Record) (offset uint64, failure *errkind.Error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timing.AcceptTimeout)
	defer cancel()
	unknown := false
	for n := 0; ; n++ {
		offset, err := l.appendOnce(ctx, p, []Record{r}, nil, n)
		if err == nil {
			return offset, nil
		}
		if !errors.Is(err, ErrNotApplied) {
			unknown = true
		} else if !unknown {
			return 0, errkind.New(errkind.LogUnavailable, "the job is not stored: %w", err)
		}
		select {
		case <-time.After(l.retryPause(err)):
		case <-ctx.Done():
			return 0, errkind.New(errkind.TicketUnknown, "it is not known whether the job is stored: %w", err)
		}
	}
}

// appendOnce makes the nth attempt of a write.
func (l *Ledger) appendOnce(ctx context.Context, p *partition, records []Record, fence *Fence, n int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timing.attemptTimeout(n))
	defer cancel()
	return l.cfg.Store.Append(ctx, p.index, records, fence)
}

// retryPause returns the pause after a failed call; one that has waited for its answer
// in vain is repeated at once.
func (l *Ledger) retryPause(err error) time.Duration {
	if errors.Is(err, context.DeadlineExceeded) {
		return 0
	}
	return l.cfg.Timing.RetryDelay
}

func (p *partition) wakeFollower() {
	select {
	case p.followerWake <- struct{}{}:
	default:
	}
}

// Cancel records that a job is cancelled.
func (l *Ledger) Cancel(ctx context.Context, id string) *errkind.Error {
	e, err := l.find(ctx, id)
	if err != nil {
		return err
	}
	l.mu.Lock()
	over := e.progress.State != "" || e.cancelled
	l.mu.Unlock()
	if over {
		return nil
	}
	p := l.partitionFor(id)
	if _, err := l.append(ctx, p, Record{Key: recordKey(kindCancelled, id), Value: []byte{1}}); err != nil {
		return err
	}
	p.wakeFollower()
	return nil
}
