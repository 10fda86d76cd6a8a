package ledger

import (
	"math"
	"slices"
	"strings"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// Memory of the stored jobs.
//
// A stored job outlives the request that submits it. Until it has ended, the owner of its partition holds it
// in memory, and then a summary for as long as its state can be queried. Owners publish this memory with
// the counts of their queued jobs. An entry accepts a job if there is room beside what is published and what
// it has itself appended since; it assumes that the other entries append as much.

const (
	// summaryBytes is the memory of a job of which only the state is kept.
	summaryBytes = 512
	// backlogRetryAfter is when a caller may submit a job again that there was no room for.
	backlogRetryAfter = 5 * time.Second
	// unknownOutcomeTime is the time after which a write without a response is in the counts, if it was
	// carried out. The store may do so seconds later.
	unknownOutcomeTime = 10 * time.Second
)

// Names in the published counts of a partition that are not names of queues: the offset up to which they
// include the records, and, followed by the name of a queue, the memory of its jobs in KiB. The summaries
// have no queue.
const (
	countedName   = "\x00next"
	kibNamePrefix = "\x00kib/"
)

// appendedJob is a job that this entry has appended recently, or is appending.
type appendedJob struct {
	queue  string
	bytes  int64
	offset uint64 // beingAppended until it is known
	at     time.Time
	// counted is set once the counts of its partition include it.
	counted bool
	// unknownUntil is set if it is not known whether the job is stored, and until when it counts.
	unknownUntil time.Time
}

// countLag is the longest time until a count has reached all entries.
func (l *Ledger) countLag() time.Duration { return 3 * l.cfg.Timing.CountInterval }

// beingAppended is the offset of a job whose append has no response yet.
const beingAppended = math.MaxUint64

// memoryOf returns the memory in the counts of a partition by queue, and the offset up to which they
// include the records.
func memoryOf(counts map[string]int) (byQueue map[string]int64, next uint64) {
	byQueue = make(map[string]int64)
	for name, n := range counts {
		if queue, ok := strings.CutPrefix(name, kibNamePrefix); ok {
			byQueue[queue] += int64(n) << 10
		}
	}
	return byQueue, uint64(counts[countedName])
}

// addMemory adds the memory of the jobs of p to the counts of its queued jobs. l.mu must be held.
func (p *partition) addMemory(counts map[string]int) {
	byQueue := map[string]int64{"": summaryBytes * int64(len(p.jobs))}
	for _, e := range p.jobs {
		if e.submission != nil {
			byQueue[e.submission.Queue.Name] += e.bytes
		}
	}
	for queue, bytes := range byQueue {
		if kib := bytes >> 10; kib > 0 {
			counts[kibNamePrefix+queue] = int(min(kib, math.MaxInt32))
		}
	}
	if len(p.jobs) > 0 {
		counts[countedName] = int(min(p.nextOffset, math.MaxInt32))
	}
}

// setCounts sets the counts of p, which include what was appended before. Empty ones say that there are no
// jobs, and include what was appended longer ago than lag. l.mu must be held.
func (p *partition) setCounts(counts map[string]int, lag time.Duration) {
	p.counts = counts
	_, next := memoryOf(counts)
	for _, a := range p.appended {
		ended := len(counts) == 0 && a.offset != beingAppended && time.Since(a.at) > lag
		a.counted = a.counted || ended || a.offset < next
	}
}

// forgetCounted removes the jobs that p has appended whose count has reached all entries.
func (p *partition) forgetCounted(lag time.Duration) {
	now := time.Now()
	p.appended = slices.DeleteFunc(p.appended, func(a *appendedJob) bool {
		return a.counted && now.Sub(a.at) > lag || !a.unknownUntil.IsZero() && now.After(a.unknownUntil)
	})
}

// Use is the memory of stored jobs, as one entry knows it.
type Use struct {
	Counted   int64 // in the counts of the owners
	Uncounted int64 // of jobs that this entry has appended and that the counts do not include
	// Recent is the memory of the jobs that this entry has appended since the counts that the other
	// entries know. These may have appended as much.
	Recent int64
}

// use returns the memory of the jobs of all queues, and of those of the given one. l.mu must be held.
func (l *Ledger) use(queue string) (all, ofQueue Use) {
	for _, p := range l.partitions {
		byQueue, _ := memoryOf(p.counts)
		for name, bytes := range byQueue {
			all.Counted += bytes
			if name == queue {
				ofQueue.Counted += bytes
			}
		}
		p.forgetCounted(l.countLag())
		for _, a := range p.appended {
			all.add(a)
			if a.queue == queue {
				ofQueue.add(a)
			}
		}
	}
	return all, ofQueue
}

func (u *Use) add(a *appendedJob) {
	u.Recent += a.bytes
	if !a.counted {
		u.Uncounted += a.bytes
	}
}

// reserve reserves the memory for a job that is about to be appended to p. l.mu must be held.
func (l *Ledger) reserve(p *partition, s *job.Submission) (*appendedJob, *errkind.Error) {
	a := &appendedJob{queue: s.Queue.Name, bytes: s.MemoryBytes() + summaryBytes, offset: beingAppended, at: time.Now()}
	if l.cfg.Admits == nil {
		return a, nil
	}
	if all, ofQueue := l.use(a.queue); !l.cfg.Admits(all, ofQueue, a.bytes) {
		failure := errkind.New(errkind.QueueFull, "the stored jobs, of %d KiB and %d KiB not counted yet, leave no room for one of %d KiB",
			all.Counted>>10, all.Uncounted>>10, a.bytes>>10)
		failure.RetryAfter = backlogRetryAfter
		return nil, failure
	}
	p.appended = append(p.appended, a)
	return a, nil
}

// settle records the outcome of appending the job of a: its offset, or the failure. If the outcome is not known,
// the job may be stored, and counts until owners must have counted it.
func (l *Ledger) settle(p *partition, a *appendedJob, offset uint64, failure *errkind.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case failure == nil:
		_, next := memoryOf(p.counts)
		a.offset, a.counted = offset, offset < next
	case failure.Kind == errkind.TicketUnknown:
		a.unknownUntil = time.Now().Add(unknownOutcomeTime)
	default:
		p.appended = slices.DeleteFunc(p.appended, func(other *appendedJob) bool { return other == a })
	}
}

// keep returns what to hold of a job in memory: only the owner of its partition needs more than a summary.
func (p *partition) keep(s *job.Submission) (kept *job.Submission, summary bool) {
	if p.owned {
		return s, false
	}
	return &job.Submission{ID: s.ID, Queue: job.Queue{Name: s.Queue.Name}}, true
}
