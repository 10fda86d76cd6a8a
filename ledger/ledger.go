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
	Ended(agent string, run wire.Run)
	// CanRun reports whether this entry can run jobs at all.
	CanRun() bool
	// ProgressRecorded tells the runner that the progress of a job up to now is recorded.
	ProgressRecorded(id string, p job.Progress)
}

// Timing holds the times of a Ledger.
type Timing struct {
	// TTL is the time after which the store gives the partitions of a silent member
	// to others, and Renewal the time between two calls that keep the membership.
	TTL     time.Duration
	Renewal time.Duration
	// TakeOver is the time between taking a partition and running its jobs. The runs
	// of the former owner have ended by then, and agents have reported ends that were
	// not recorded.
	TakeOver time.Duration
	// OwnPoll is how long a read of an owned partition waits for a record. A waiting read
	// hears nothing for a second while the store drops its history, and jobs have
	// objectives of a few hundred milliseconds.
	OwnPoll time.Duration
	// OtherPoll is the shortest time between two reads of another's partition for ends
	// that this entry hears of.
	OtherPoll time.Duration
	// IdlePoll is the time between reads of a partition that has no jobs or another owner.
	IdlePoll time.Duration
	// Asked is how long another's partition is followed after this entry was asked for
	// one of its jobs.
	Asked time.Duration
	// Count is the time between two counts of the jobs that wait, which owners publish.
	Count time.Duration
	// Gap is the shortest time between two reads of an owned partition.
	Gap time.Duration
	// AcceptTimeout bounds the recording of a job whose fate is unknown.
	AcceptTimeout time.Duration
	// Keep is how long the state of a job that has ended can be asked for.
	Keep time.Duration
	// Retry is the pause after a failed call.
	Retry time.Duration
	// Answer is how long the first attempts of a call wait for its answer. The store
	// answers within 10 ms, and can lose answers; a repeated call changes nothing.
	Answer time.Duration
}

// answerWait returns how long the nth attempt of a call, from 0, waits for its answer:
// longer and longer, as an answer can also be slow.
func (t Timing) answerWait(n int) time.Duration {
	const longest = 3 // doublings
	return t.Answer << min(n/2, longest)
}

// DefaultTiming returns the times for a store whose shortest membership is minTTL.
func DefaultTiming(minTTL, orphanEnd, keep time.Duration) Timing {
	return Timing{
		TTL: max(1500*time.Millisecond, minTTL), Renewal: 400 * time.Millisecond,
		TakeOver: orphanEnd + 300*time.Millisecond,
		OwnPoll:  400 * time.Millisecond, OtherPoll: 600 * time.Millisecond, Gap: 10 * time.Millisecond,
		IdlePoll: 4 * time.Second, Asked: 10 * time.Second, Count: 500 * time.Millisecond,
		AcceptTimeout: 2 * time.Second, Keep: keep + 10*time.Second, Retry: 200 * time.Millisecond, Answer: 150 * time.Millisecond,
	}
}

// leaseShare is the part of the TTL, from the moment a renewal was sent, for which
// an owner acts without a later one. The rest is for the clock and the network.
const leaseShare = 0.7

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
	cfg   Config
	ctx   context.Context
	parts []*partition

	endWrites chan struct{} // holds a value for each end that is being recorded

	mu         sync.Mutex
	generation uint64
	lease      time.Duration // until which this process may act as an owner, on cfg.Now
}

// partition is one partition of jobs.
type partition struct {
	index int
	wake  chan struct{}

	// The fields below are guarded by Ledger.mu.
	asked    time.Time // when this entry was last asked for a job
	known    bool
	next     uint64 // offset up to which the records are folded
	entries  map[string]*entry
	owned    bool
	epoch    uint64
	sequence uint64
	fenced   bool // the record of this owner is stored: former owners cannot write
	// ownerRead is set when that record has been read. Jobs that are read after it were
	// never run by a former owner.
	ownerRead bool
	active    bool                    // the runs of former owners have ended
	dirty     map[string]job.Progress // to be recorded
	lateEnds  []string                // keys of ends to be dropped
	changed   chan struct{}           // wakes the recorder
	// published holds the jobs that wait, by queue, as the owner has published them.
	published map[string]int
}

// runsJobs reports whether this owner runs some jobs: all, or those that no former
// owner has run.
func (p *partition) runsJobs() bool { return p.owned && (p.active || p.ownerRead) }

// setDirty makes the recorder write the progress of a job.
func (p *partition) setDirty(id string, progress job.Progress) {
	p.dirty[id] = progress
	p.wakeRecorder()
}

func (p *partition) wakeRecorder() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// entry is one job.
type entry struct {
	submission *job.Submission // nil when it has ended or is not known
	progress   job.Progress
	cancelled  bool
	running    bool // handed to the runner
	// fresh is the epoch of the first owner that may have run it, if that is known.
	fresh uint64
	ends  []endRecord // recorded by other entries
	// ended is closed when progress.State is set; nil until someone waits for it.
	ended chan struct{}
}

// closed is the channel of entries that have ended.
var closed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// New returns a Ledger. It reads and owns nothing until Run.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, endWrites: make(chan struct{}, maxEndWrites)}
	for i := range cfg.Partitions {
		l.parts = append(l.parts, &partition{
			index: i, wake: make(chan struct{}, 1),
			entries: make(map[string]*entry), dirty: make(map[string]job.Progress), changed: make(chan struct{}, 1),
		})
	}
	return l
}

// Run serves until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	l.ctx = ctx
	var wg sync.WaitGroup
	recording, stop := context.WithCancel(context.WithoutCancel(ctx)) // beyond the end of ownership
	for _, p := range l.parts {
		wg.Go(func() { l.follow(ctx, p) })
		wg.Go(func() { l.record(recording, p) })
	}
	wg.Go(func() { l.publishCounts(ctx) })
	wg.Go(func() { l.cfg.Store.WatchCounts(ctx, l.cfg.Log, l.countPace, l.takeCounts) })
	l.keepMembership(ctx)
	stop()
	wg.Wait()
}

func (l *Ledger) partition(id string) *partition { return l.parts[partitionOf(id, len(l.parts))] }

// Accept records a job. A nil error means that it is stored and will be run.
func (l *Ledger) Accept(ctx context.Context, s job.Submission) *errkind.Error {
	p := l.partition(s.ID)
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
	l.takeAccepted(p, record, s.ID, offset)
	return nil
}

// takeAccepted folds a job that this entry has just stored and owns, instead of waiting
// until it is read. It must be the next record: a later owner may have written before.
func (l *Ledger) takeAccepted(p *partition, r Record, id string, offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.known || !p.runsJobs() || offset != p.next {
		p.wakeUp()
		return
	}
	l.fold(p, r, true)
	p.knowsWritten(offset, 1)
	if e := p.entries[id]; e != nil {
		l.handOverJob(p, id, e)
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
		if !errors.Is(err, ErrNotDone) {
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
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timing.answerWait(n))
	defer cancel()
	return l.cfg.Store.Append(ctx, p.index, records, fence)
}

// retryPause returns the pause after a failed call; one that has waited for its answer
// in vain is repeated at once.
func (l *Ledger) retryPause(err error) time.Duration {
	if errors.Is(err, context.DeadlineExceeded) {
		return 0
	}
	return l.cfg.Timing.Retry
}

func (p *partition) wakeUp() {
	select {
	case p.wake <- struct{}{}:
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
	p := l.partition(id)
	if _, err := l.append(ctx, p, Record{Key: recordKey(kindCancelled, id), Value: []byte{1}}); err != nil {
		return err
	}
	p.wakeUp()
	return nil
}
