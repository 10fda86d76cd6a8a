package executor

import (
	"slices"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// unconfirmedResendInterval is the time between two reports of unconfirmed ends. The entry
// that ordered a run may have failed; the repeated report tells the new owner of its job
// about the end before it runs the task again.
const unconfirmedResendInterval = 400 * time.Millisecond

// maxListedEnds is the number of ends that one reply of the endpoint lists, the oldest first.
const maxListedEnds = 500

const (
	// backlogRejectThreshold is the number of later ends that an unconfirmed end may hold up
	// before stored runs are rejected. Runs that need no confirmation continue.
	backlogRejectThreshold = 250
	// maxOutstandingEnds is the number of ends, including those of the current runs, from which
	// all runs are rejected while an end is unconfirmed. An end that the endpoint cannot list would
	// make its run count as lost. The difference to maxListedEnds is a margin for inherited runs.
	maxOutstandingEnds = maxListedEnds - 20
	// maxClosedTime is how long all runs are rejected before the unconfirmed ends are released.
	// It bounds how long an outage of the store takes an endpoint out of service.
	maxClosedTime = time.Second
	// maxReleasedEnds bounds the memory for released ends. While the store is down no stored run
	// starts, so an outage adds at most maxListedEnds.
	maxReleasedEnds = 4 * maxListedEnds
)

// unconfirmedEnd is the end of a stored run that no entry has confirmed as recorded.
type unconfirmedEnd struct {
	sequence uint64 // in the endpoint's list of ends
	state    wire.RunState
	readAt   time.Time
	// released is set once the endpoint may forget the end: the lease has lapsed since, so that the
	// run does not count as ended, or the endpoint has restarted. The end is still reported.
	released bool
}

// retainEnd makes the endpoint keep an end until it is confirmed.
func (x *Executor) retainEnd(e endpointapi.EndedRun, now time.Time) {
	if e.End == endpointapi.EndDone || e.End == endpointapi.EndFailed {
		x.unconfirmed[e.Run] = unconfirmedEnd{sequence: e.Sequence, state: endState(e.End), readAt: now}
	}
}

// confirmEnds releases ends that the given entry confirms as recorded.
func (x *Executor) confirmEnds(entry string, runs []wire.Run) {
	defer func() { x.checkBacklog(time.Now()) }()
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
		if !e.released {
			last = min(last, e.sequence-1)
		}
	}
	return last
}

// checkBacklog updates whether stored runs, or all runs, are rejected.
func (x *Executor) checkBacklog(now time.Time) {
	if full := x.backlog() > backlogRejectThreshold; full != x.backlogFull {
		x.backlogFull, x.statusDirty = full, true
		x.cfg.Log.Log(event.EndBacklogChanged, "stored_runs_taken", !full, "ends", len(x.unconfirmed), "backlog", x.backlog())
	}
	if full := x.endListFull(); full != !x.endListFullSince.IsZero() {
		x.endListFullSince, x.statusDirty = time.Time{}, true
		if full {
			x.endListFullSince = now
		}
		x.cfg.Log.Log(event.EndListFull, "runs_taken", !full, "ends", len(x.unconfirmed), "backlog", x.backlog(), "runs", len(x.runs))
	}
}

// backlog returns the number of ends from the oldest unreleased one on that the endpoint keeps.
func (x *Executor) backlog() uint64 { return x.lastEndSequence - x.ackableSequence() }

// endListFull reports whether the endpoint could not list the end of another run, because an
// unconfirmed end keeps it from forgetting the earlier ones.
func (x *Executor) endListFull() bool {
	held := x.backlog()
	return held > 0 && held+uint64(len(x.runs)) >= maxOutstandingEnds
}

// releaseUnconfirmed releases the unconfirmed ends if all runs have been rejected for maxClosedTime
// and the lease has lapsed since the last one ended. If the endpoint forgot the ends while the lease
// goes on, they would count as recorded.
func (x *Executor) releaseUnconfirmed(now time.Time) {
	x.checkBacklog(now)
	if x.endListFullSince.IsZero() || now.Sub(x.endListFullSince) < maxClosedTime || len(x.runs) > 0 || !x.leaseLapsed(now) {
		return
	}
	x.releaseAllEnds(now, "the lease has lapsed")
}

// releaseAllEnds lets the endpoint forget the unconfirmed ends.
func (x *Executor) releaseAllEnds(now time.Time, why string) {
	for id, e := range x.unconfirmed {
		if e.released {
			continue
		}
		e.released = true
		x.unconfirmed[id] = e
		x.cfg.Log.Log(event.EndReleased, "task", id.Task, "run", id.Number, "state", e.state, "why", why,
			"age_ms", now.Sub(e.readAt).Milliseconds())
	}
	x.limitReleasedEnds(now)
	x.checkBacklog(now)
	x.wakeObserver() // observeLoop acknowledges them to the endpoint
}

// limitReleasedEnds discards the oldest released ends if there are too many. Their tasks can run
// again.
func (x *Executor) limitReleasedEnds(now time.Time) {
	var released []wire.Run
	for id, e := range x.unconfirmed {
		if e.released {
			released = append(released, id)
		}
	}
	slices.SortFunc(released, func(a, b wire.Run) int { return x.unconfirmed[a].readAt.Compare(x.unconfirmed[b].readAt) })
	for _, id := range released[:max(len(released)-maxReleasedEnds, 0)] {
		e := x.unconfirmed[id]
		x.cfg.Log.Log(event.EndDiscarded, "task", id.Task, "run", id.Number, "state", e.state, "age_ms", now.Sub(e.readAt).Milliseconds())
		delete(x.unconfirmed, id)
	}
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
	for incarnation := range x.entries {
		x.reportUnconfirmed(incarnation)
	}
}

// reportUnconfirmed reports the unconfirmed ends to one entry.
func (x *Executor) reportUnconfirmed(incarnation string) {
	for id, e := range x.unconfirmed {
		x.report(incarnation, wire.Report{Run: id, State: e.state})
	}
}
