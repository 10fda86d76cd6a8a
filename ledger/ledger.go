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
	// Adopt runs a job from its recorded progress on. The epoch of its partition increases
	// with each change of owner.
	Adopt(s job.Submission, p job.Progress, epoch uint64)
	// StopJob stops the runs of a job, which has been cancelled or has another owner.
	StopJob(id string)
	// Started reports whether an order was sent for any task of the job.
	Started(id string) bool
	// RunEnded tells the runner that a run on the given agent has completed its task.
	RunEnded(agent string, run wire.Run)
	// CanRun reports whether this entry can run jobs at present.
	CanRun() bool
	// ProgressRecorded tells the runner that the given progress of a job is in the store.
	ProgressRecorded(id string, p job.Progress)
}

// Timing holds the intervals and timeouts of a Ledger.
type Timing struct {
	// TTL is the time after which the store reassigns the partitions of a member that does
	// not renew its membership.
	TTL           time.Duration
	RenewInterval time.Duration
	// TakeoverDelay is the time between acquiring a partition and running its jobs. By then
	// the runs of the former owner have ended, and agents have reported the ends that it did
	// not record.
	TakeoverDelay time.Duration
	// OwnedPollWait is how long a read of an owned partition waits for a record. While the
	// store truncates its history, a waiting read returns nothing for a second, and latency
	// objectives of jobs are a few hundred milliseconds.
	OwnedPollWait time.Duration
	// RequestPollInterval is the shortest time between two reads of another owner's partition
	// that are triggered by requests for its jobs.
	RequestPollInterval time.Duration
	// IdlePollInterval is the time between two reads of a partition that has no jobs or
	// belongs to another owner.
	IdlePollInterval time.Duration
	// FollowPeriod is how long another owner's partition is followed after the last request
	// for one of its jobs.
	FollowPeriod time.Duration
	// CountInterval is the time between two publications of the counts of queued jobs.
	CountInterval time.Duration
	// MinReadInterval is the shortest time between two reads of an owned partition.
	MinReadInterval time.Duration
	// AcceptTimeout bounds the attempts to append a job or a cancellation.
	AcceptTimeout time.Duration
	// StateRetention is how long the state of a finished job can be queried.
	StateRetention time.Duration
	// RetryDelay is the delay before a failed call is retried.
	RetryDelay time.Duration
	// ResponseTimeout limits the first attempts of a call. The store responds within 10 ms
	// but can lose responses; calls are idempotent.
	ResponseTimeout time.Duration
}

// attemptTimeout returns the timeout of the nth attempt of a call, counted from 0. It doubles
// every second attempt, since a missing response may be slow rather than lost.
func (t Timing) attemptTimeout(n int) time.Duration {
	return t.ResponseTimeout << min(n/2, maxTimeoutDoublings)
}

const maxTimeoutDoublings = 3

// attemptFor returns the first attempt whose timeout is at least half as long again as the time
// that the last response took. If each renewal started from the first attempt, the attempts that
// time out while the store is slow would take longer than the lease.
func (t Timing) attemptFor(took time.Duration) (n int) {
	for n < 2*maxTimeoutDoublings && t.attemptTimeout(n) < took+took/2 {
		n++
	}
	return n
}

// DefaultTiming returns the defaults for a store whose minimum membership TTL is minTTL.
// orphanTimeout is the longest time that a run goes on after its entry lost the agent, and
// stateRetention the least time for which the state of a finished job can be queried.
func DefaultTiming(minTTL, orphanTimeout, stateRetention time.Duration) Timing {
	return Timing{
		TTL: max(1500*time.Millisecond, minTTL), RenewInterval: 400 * time.Millisecond,
		TakeoverDelay: orphanTimeout + 300*time.Millisecond,
		OwnedPollWait: 400 * time.Millisecond, RequestPollInterval: 600 * time.Millisecond, MinReadInterval: 10 * time.Millisecond,
		IdlePollInterval: 4 * time.Second, FollowPeriod: 10 * time.Second, CountInterval: 500 * time.Millisecond,
		AcceptTimeout: 2 * time.Second, StateRetention: stateRetention + 10*time.Second, RetryDelay: 200 * time.Millisecond, ResponseTimeout: 150 * time.Millisecond,
	}
}

// leaseFraction is the part of the TTL, counted from when a renewal was sent, for which the
// owner's lease is valid. The rest is a margin for clock drift and network delay.
const leaseFraction = 0.7

// Config holds the dependencies and settings of a Ledger.
type Config struct {
	Member     string
	Partitions int
	Store      Store
	Runner     Runner
	Timing     Timing
	Log        *event.Logger
	// Now returns the time of a monotonic clock that includes time during which the host is
	// suspended.
	Now func() time.Duration
	// Queue returns the queue with the given name of the current configuration, and the version of
	// that configuration.
	Queue func(name string) (q job.Queue, version uint64, ok bool)
	// Admits reports whether a job that needs the given memory may be accepted beside all stored jobs and
	// those of its queue. nil admits all.
	Admits func(all, ofQueue Use, bytes int64) bool
	// MaxRecordBytes is the size of the largest record that the store accepts; 0 for no bound.
	MaxRecordBytes int
}

// Ledger gives one entry access to the stored jobs. It is safe for concurrent use.
type Ledger struct {
	cfg        Config
	ctx        context.Context
	partitions []*partition

	endWriteSlots chan struct{} // semaphore: one element for each end that is being recorded

	mu          sync.Mutex
	generation  uint64
	leaseExpiry time.Duration // in time of cfg.Now; until then this process may act as an owner
}

// partition is the state of one partition of the stored jobs.
type partition struct {
	index        int
	followerWake chan struct{}

	// The fields below are guarded by Ledger.mu.
	lastRequested time.Time // time of the last request for one of its jobs
	loaded        bool      // jobs reflects the records below nextOffset
	nextOffset    uint64    // of the first record that is not applied
	jobs          map[string]*storedJob
	owned         bool
	epoch         uint64
	storedEpoch   uint64 // highest epoch of an owner that was read
	sequence      uint64
	// writable is set when this owner has read its own record, which shows that its epoch is its
	// own and that former owners are fenced off. It outlives owned by releaseGracePeriod.
	writable bool
	// ownerRead is set with writable. No former owner has run the jobs that follow the record.
	ownerRead    bool
	takenOver    bool                    // the runs of former owners have ended
	dirty        map[string]job.Progress // progress to be recorded, by job
	obsoleteEnds []string                // keys of end records to be deleted
	recorderWake chan struct{}           // wakes runRecorder
	// published holds the number of queued jobs by queue, and the memory of the jobs (see backlog.go), as
	// the owner last published it. counts is the same, or newer at the owner.
	published, counts map[string]int
	appended          []*appendedJob // of this entry, in no order
	loading           int            // calls of load in progress
}

// runsJobs reports whether this owner runs jobs of p: all of them, or during a takeover only
// those that no former owner has run.
func (p *partition) runsJobs() bool { return p.owned && (p.takenOver || p.ownerRead) }

// markDirty schedules the progress of a job to be written by runRecorder.
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

// storedJob is the state of one stored job.
type storedJob struct {
	submission *job.Submission // nil when the job has ended or its record was not read
	summary    bool            // submission holds only the id and the name of the queue
	bytes      int64           // memory of submission
	progress   job.Progress
	cancelled  bool
	running    bool // passed to the runner
	// firstEpoch is the epoch of the first owner that may have run the job; 0 if not known.
	firstEpoch uint64
	ends       []endRecord // recorded by other entries
	// ended is closed when progress.State is set; nil until there is a waiter.
	ended chan struct{}
}

// closedChan is the value of storedJob.ended for jobs that have ended.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// New returns a Ledger. It reads nothing and owns no partition until Run is called.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, endWriteSlots: make(chan struct{}, maxConcurrentEndWrites)}
	for i := range cfg.Partitions {
		l.partitions = append(l.partitions, &partition{
			index: i, followerWake: make(chan struct{}, 1),
			jobs: make(map[string]*storedJob), dirty: make(map[string]job.Progress), recorderWake: make(chan struct{}, 1),
		})
	}
	return l
}

// Run follows the partitions, records progress and keeps the membership until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	l.ctx = ctx
	var wg sync.WaitGroup
	recording, stop := context.WithCancel(context.WithoutCancel(ctx)) // the recorders outlive ctx to write the last progress
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

// Accept stores a job. A nil result means that it is stored and will be run.
func (l *Ledger) Accept(ctx context.Context, s job.Submission) *errkind.Error {
	p := l.partitionFor(s.ID)
	l.mu.Lock()
	if e := p.jobs[s.ID]; e != nil && (e.submission != nil || e.progress.State != "") {
		l.mu.Unlock()
		return nil // a repeated submission
	}
	reserved, failure := l.reserve(p, &s)
	l.mu.Unlock()
	if failure != nil {
		return failure
	}
	record := Record{Key: recordKey(kindAccepted, s.ID)}
	value, err := encode(s)
	if err != nil {
		failure = errkind.New(errkind.InvalidRequest, "%w", err)
	} else if record.Value = value; l.cfg.MaxRecordBytes > 0 && record.size() > l.cfg.MaxRecordBytes {
		failure = errkind.New(errkind.BodyTooLarge, "the job exceeds %d bytes in the store", l.cfg.MaxRecordBytes)
	}
	var offset uint64
	if failure == nil {
		offset, failure = l.append(ctx, p, record)
	}
	l.settle(p, reserved, offset, failure)
	if failure != nil {
		return failure
	}
	l.applyAppended(p, record, s.ID, offset)
	return nil
}

// applyAppended applies the record of a job that this entry has just appended, so that an owned
// job starts without being read back. It does so only if the record is the next one, since
// a later owner may have written before it.
func (l *Ledger) applyAppended(p *partition, r Record, id string, offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.loaded || !p.runsJobs() || offset != p.nextOffset {
		p.wakeFollower()
		return
	}
	l.apply(p, r, true)
	p.skipOwnRecords(offset, 1)
	if e := p.jobs[id]; e != nil {
		l.startJob(p, id, e)
	}
}

// append appends a record without a fence. It retries a write whose outcome is unknown;
// repeating a write that was applied has no effect.
func (l *Ledger) append(ctx context.Context, p *partition, r Record) (offset uint64, failure *errkind.Error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timing.AcceptTimeout)
	defer cancel()
	outcomeUnknown := false
	for n := 0; ; n++ {
		offset, err := l.appendOnce(ctx, p, []Record{r}, nil, n)
		if err == nil {
			return offset, nil
		}
		if !errors.Is(err, ErrNotApplied) {
			outcomeUnknown = true
		} else if !outcomeUnknown {
			return 0, errkind.New(errkind.LogUnavailable, "the job is not stored: %w", err)
		}
		select {
		case <-time.After(l.retryPause(err)):
		case <-ctx.Done():
			return 0, errkind.New(errkind.TicketUnknown, "it is not known whether the job is stored: %w", err)
		}
	}
}

// appendOnce makes the nth attempt of a write, counted from 0.
func (l *Ledger) appendOnce(ctx context.Context, p *partition, records []Record, fence *Fence, n int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timing.attemptTimeout(n))
	defer cancel()
	return l.cfg.Store.Append(ctx, p.index, records, fence)
}

// retryPause returns the delay before a failed call is retried. A call that timed out is
// retried at once.
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

// Cancel records the cancellation of a job. It has no effect on a job that has ended.
func (l *Ledger) Cancel(ctx context.Context, id string) *errkind.Error {
	e, err := l.find(ctx, id)
	if err != nil {
		return err
	}
	l.mu.Lock()
	ended := e.progress.State != "" || e.cancelled
	l.mu.Unlock()
	if ended {
		return nil
	}
	p := l.partitionFor(id)
	if _, err := l.append(ctx, p, Record{Key: recordKey(kindCancelled, id), Value: []byte{1}}); err != nil {
		return err
	}
	p.wakeFollower()
	return nil
}
