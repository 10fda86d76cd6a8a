package executor

import (
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// unnotedRepeat is the time between two reports of ends that are not noted. The
// entry that asked for a run may be gone; the new owner of its job learns of the end
// in this way before it runs the task again.
const unconfirmedResendInterval = 400 * time.Millisecond

const (
	// closeBacklog is the number of ends that one end without a note may hold up before
	// no new stored run is taken, and maxBacklog the number from which that end is given
	// up: the runs that are under way then still end, and runs that need no note go on.
	// The endpoint lists its oldest 500 ends; newer ones would not be seen at all. A task
	// whose end is given up can run again.
	backlogRejectThreshold = 250
	backlogExpireThreshold = 450
	// maxUnnotedAge is when an end without a note is given up. Owners of a job follow
	// each other within a few seconds.
	maxUnconfirmedAge = 15 * time.Second
)

// unnotedEnd is the end of a stored run that no entry has recorded yet.
type unconfirmedEnd struct {
	sequence uint64
	state    wire.RunState
	readAt   time.Time
}

// keepEnd keeps an end at the endpoint until it is noted.
func (x *Executor) retainEnd(e endpointapi.EndedRun, now time.Time) {
	if e.End == endpointapi.EndDone || e.End == endpointapi.EndFailed {
		x.unconfirmed[e.Run] = unconfirmedEnd{sequence: e.Sequence, state: endState(e.End), readAt: now}
	}
}

// noted forgets ends that the given entry says are recorded.
func (x *Executor) confirmEnds(entry string, runs []wire.Run) {
	defer x.checkBacklog()
	for _, id := range runs {
		if e, ok := x.unconfirmed[id]; ok {
			delete(x.unconfirmed, id)
			x.cfg.Log.Log(event.EndNoted, "task", id.Task, "run", id.Number, "entry", entry, "sequence", e.sequence)
		}
	}
	x.wakeObserver() // which tells the endpoint
}

// ack returns the number of the last end that the endpoint may forget: all ends up
// to it are noted or need not be.
func (x *Executor) ackableSequence() uint64 {
	last := x.lastEndSequence
	for _, e := range x.unconfirmed {
		last = min(last, e.sequence-1)
	}
	return last
}

// checkBacklog decides whether stored runs are taken.
func (x *Executor) checkBacklog() {
	if full := x.backlog() > backlogRejectThreshold; full != x.backlogFull {
		x.backlogFull, x.statusDirty = full, true
		x.cfg.Log.Log(event.EndsUnrecorded, "stored_runs_taken", !full, "ends", len(x.unconfirmed), "backlog", x.backlog())
	}
}

// backlog returns the number of ends after the first that is not noted.
func (x *Executor) backlog() uint64 {
	var n uint64
	for _, e := range x.unconfirmed {
		n = max(n, x.lastEndSequence-e.sequence)
	}
	return n
}

// expireUnnoted gives up ends that nobody has noted for too long.
func (x *Executor) expireUnconfirmed(now time.Time) {
	for id, e := range x.unconfirmed {
		if x.lastEndSequence-e.sequence > backlogExpireThreshold || now.Sub(e.readAt) > maxUnconfirmedAge {
			x.cfg.Log.Log(event.EndGivenUp, "task", id.Task, "run", id.Number, "state", e.state,
				"age_ms", now.Sub(e.readAt).Milliseconds(), "later_ends", x.lastEndSequence-e.sequence)
			delete(x.unconfirmed, id)
		}
	}
	x.checkBacklog()
}

// HasUnconfirmedEnds reports whether an end has waited for its note for longer than age.
func (x *Executor) HasUnconfirmedEnds(age time.Duration) (found bool) {
	x.loop.Do(func() {
		now := time.Now()
		for _, e := range x.unconfirmed {
			found = found || now.Sub(e.readAt) > age
		}
	})
	return found
}

// repeatUnnoted reports the ends that are not noted to all entries.
func (x *Executor) resendUnconfirmed(now time.Time) {
	if len(x.unconfirmed) == 0 || now.Sub(x.unconfirmedSentAt) < unconfirmedResendInterval {
		return
	}
	x.unconfirmedSentAt = now
	for node := range x.entries {
		x.reportUnconfirmed(node)
	}
}

// reportUnnoted reports the ends that are not noted to one entry.
func (x *Executor) reportUnconfirmed(node string) {
	for id, e := range x.unconfirmed {
		x.report(node, wire.Report{Run: id, State: e.state})
	}
}
