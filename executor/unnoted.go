package executor

import (
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// unconfirmedResendInterval is the time between two reports of unconfirmed ends. The entry
// that ordered a run may be gone; by the repeated report the new owner of its job learns of
// the end before it runs the task again.
const unconfirmedResendInterval = 400 * time.Millisecond

const (
	// backlogRejectThreshold is the number of later ends that an unconfirmed end may hold up
	// before stored runs are rejected, and backlogExpireThreshold the number from which that end
	// is dropped. In between, current runs still end, and runs that need no confirmation
	// continue. The endpoint lists only its oldest 500 ends; newer ones would not be seen at
	// all. A task whose end is dropped can run again.
	backlogRejectThreshold = 250
	backlogExpireThreshold = 450
	// maxUnconfirmedAge is the age at which an unconfirmed end is dropped. A new owner takes
	// over a job within a few seconds.
	maxUnconfirmedAge = 15 * time.Second
)

// unconfirmedEnd is the end of a stored run that no entry has confirmed as recorded.
type unconfirmedEnd struct {
	sequence uint64
	state    wire.RunState
	readAt   time.Time
}

// retainEnd makes the endpoint keep an end until it is confirmed.
func (x *Executor) retainEnd(e endpointapi.EndedRun, now time.Time) {
	if e.End == endpointapi.EndDone || e.End == endpointapi.EndFailed {
		x.unconfirmed[e.Run] = unconfirmedEnd{sequence: e.Sequence, state: endState(e.End), readAt: now}
	}
}

// confirmEnds releases ends that the given entry confirms as recorded.
func (x *Executor) confirmEnds(entry string, runs []wire.Run) {
	defer x.checkBacklog()
	for _, id := range runs {
		if e, ok := x.unconfirmed[id]; ok {
			delete(x.unconfirmed, id)
			x.cfg.Log.Log(event.EndConfirmed, "task", id.Task, "run", id.Number, "entry", entry, "sequence", e.sequence)
		}
	}
	x.wakeObserver() // observeLoop acknowledges them to the endpoint
}

// ackableSequence returns the sequence number up to which the endpoint may forget ends: all of
// them are confirmed or need no confirmation.
func (x *Executor) ackableSequence() uint64 {
	last := x.lastEndSequence
	for _, e := range x.unconfirmed {
		last = min(last, e.sequence-1)
	}
	return last
}

// checkBacklog updates whether stored runs are rejected.
func (x *Executor) checkBacklog() {
	if full := x.backlog() > backlogRejectThreshold; full != x.backlogFull {
		x.backlogFull, x.statusDirty = full, true
		x.cfg.Log.Log(event.EndBacklogChanged, "stored_runs_taken", !full, "ends", len(x.unconfirmed), "backlog", x.backlog())
	}
}

// backlog returns the number of ends after the oldest unconfirmed one.
func (x *Executor) backlog() uint64 {
	var n uint64
	for _, e := range x.unconfirmed {
		n = max(n, x.lastEndSequence-e.sequence)
	}
	return n
}

// expireUnconfirmed drops ends that are too old or hold up too many later ones.
func (x *Executor) expireUnconfirmed(now time.Time) {
	for id, e := range x.unconfirmed {
		if x.lastEndSequence-e.sequence > backlogExpireThreshold || now.Sub(e.readAt) > maxUnconfirmedAge {
			x.cfg.Log.Log(event.EndDiscarded, "task", id.Task, "run", id.Number, "state", e.state,
				"age_ms", now.Sub(e.readAt).Milliseconds(), "later_ends", x.lastEndSequence-e.sequence)
			delete(x.unconfirmed, id)
		}
	}
	x.checkBacklog()
}

// HasUnconfirmedEnds reports whether an end has been unconfirmed for longer than age.
func (x *Executor) HasUnconfirmedEnds(age time.Duration) (found bool) {
	x.loop.Do(func() {
		now := time.Now()
		for _, e := range x.unconfirmed {
			found = found || now.Sub(e.readAt) > age
		}
	})
	return found
}

// resendUnconfirmed reports the unconfirmed ends to all entries.
func (x *Executor) resendUnconfirmed(now time.Time) {
	if len(x.unconfirmed) == 0 || now.Sub(x.unconfirmedSentAt) < unconfirmedResendInterval {
		return
	}
	x.unconfirmedSentAt = now
	for node := range x.entries {
		x.reportUnconfirmed(node)
	}
}

// reportUnconfirmed reports the unconfirmed ends to one entry.
func (x *Executor) reportUnconfirmed(node string) {
	for id, e := range x.unconfirmed {
		x.report(node, wire.Report{Run: id, State: e.state})
	}
}
