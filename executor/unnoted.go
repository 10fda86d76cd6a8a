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
const unnotedRepeat = 400 * time.Millisecond

const (
	// closeBacklog is the number of ends that one end without a note may hold up before
	// no new stored run is taken, and maxBacklog the number from which that end is given
	// up: the runs that are under way then still end, and runs that need no note go on.
	// The endpoint lists its oldest 500 ends; newer ones would not be seen at all. A task
	// whose end is given up can run again.
	closeBacklog = 250
	maxBacklog   = 450
	// maxUnnotedAge is when an end without a note is given up. Owners of a job follow
	// each other within a few seconds.
	maxUnnotedAge = 15 * time.Second
)

// unnotedEnd is the end of a stored run that no entry has recorded yet.
type unnotedEnd struct {
	sequence uint64
	state    wire.RunState
	at       time.Time
}

// keepEnd keeps an end at the endpoint until it is noted.
func (x *Executor) keepEnd(e endpointapi.EndedRun, now time.Time) {
	if e.End == endpointapi.EndDone || e.End == endpointapi.EndFailed {
		x.unnoted[e.Run] = unnotedEnd{sequence: e.Sequence, state: endState(e.End), at: now}
	}
}

// noted forgets ends that the given entry says are recorded.
func (x *Executor) noted(entry string, runs []wire.Run) {
	defer x.checkBacklog()
	for _, id := range runs {
		if e, ok := x.unnoted[id]; ok {
			delete(x.unnoted, id)
			x.cfg.Log.Log(event.EndNoted, "task", id.Task, "run", id.Number, "entry", entry, "sequence", e.sequence)
		}
	}
	x.wakeObserver() // which tells the endpoint
}

// ack returns the number of the last end that the endpoint may forget: all ends up
// to it are noted or need not be.
func (x *Executor) ack() uint64 {
	last := x.lastEnd
	for _, e := range x.unnoted {
		last = min(last, e.sequence-1)
	}
	return last
}

// checkBacklog decides whether stored runs are taken.
func (x *Executor) checkBacklog() {
	if full := x.backlog() > closeBacklog; full != x.unrecorded {
		x.unrecorded, x.statusDirty = full, true
		x.cfg.Log.Log(event.EndsUnrecorded, "stored_runs_taken", !full, "ends", len(x.unnoted), "backlog", x.backlog())
	}
}

// backlog returns the number of ends after the first that is not noted.
func (x *Executor) backlog() uint64 {
	var n uint64
	for _, e := range x.unnoted {
		n = max(n, x.lastEnd-e.sequence)
	}
	return n
}

// expireUnnoted gives up ends that nobody has noted for too long.
func (x *Executor) expireUnnoted(now time.Time) {
	for id, e := range x.unnoted {
		if x.lastEnd-e.sequence > maxBacklog || now.Sub(e.at) > maxUnnotedAge {
			x.cfg.Log.Log(event.EndGivenUp, "task", id.Task, "run", id.Number, "state", e.state,
				"age_ms", now.Sub(e.at).Milliseconds(), "later_ends", x.lastEnd-e.sequence)
			delete(x.unnoted, id)
		}
	}
	x.checkBacklog()
}

// HoldsEnds reports whether an end has waited for its note for longer than age.
func (x *Executor) HoldsEnds(age time.Duration) (holds bool) {
	x.loop.Do(func() {
		now := time.Now()
		for _, e := range x.unnoted {
			holds = holds || now.Sub(e.at) > age
		}
	})
	return holds
}

// repeatUnnoted reports the ends that are not noted to all entries.
func (x *Executor) repeatUnnoted(now time.Time) {
	if len(x.unnoted) == 0 || now.Sub(x.unnotedSent) < unnotedRepeat {
		return
	}
	x.unnotedSent = now
	for node := range x.entries {
		x.reportUnnoted(node)
	}
}

// reportUnnoted reports the ends that are not noted to one entry.
func (x *Executor) reportUnnoted(node string) {
	for id, e := range x.unnoted {
		x.report(node, wire.Report{Run: id, State: e.state})
	}
}
