package executor

import (
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// reconcileClaim compares the runs that an entry expects here with those that exist.
func (x *Executor) reconcileClaim(e *entry, c *wire.Claim, now time.Time) {
	if x.profile == nil && now.Sub(x.startedAt) < x.cfg.Timing.maxInheritedLease() {
		// The endpoint may still execute runs of an earlier process, which can be adopted once
		// the endpoint is known.
		e.pendingClaim = c
		return
	}
	x.cfg.Log.Log(event.ClaimReceived, "entry", e.incarnation, "groups", len(c.Groups), "runs", len(x.runs),
		"adopting", !x.adoptDeadline.IsZero())
	claimed := make(map[wire.Run]bool)
	for i := range c.Groups {
		g := &c.Groups[i]
		x.capacityUnenforced = g.CapacityUnenforced
		for _, id := range g.Runs {
			claimed[id] = true
			x.claimRun(e, id, g, now)
		}
	}
	for _, r := range x.runs {
		if r.entry == e.incarnation && !claimed[r.id] {
			x.stop(r, 0, now)
		}
	}
}

func (x *Executor) claimRun(e *entry, id wire.Run, g *wire.OrderGroup, now time.Time) {
	r := x.runs[id.Task]
	if r != nil && r.id == id && (r.entry == e.incarnation || r.entry == "") {
		if r.entry == "" {
			x.used = x.used.Minus(r.size).Plus(g.Size) // the size was unknown until now
			r.entry, r.size, r.stored = e.incarnation, g.Size, g.Stored
			r.queue = g.Queue
			r.declaredRunTime = time.Duration(g.EstimateMillis) * time.Millisecond
			x.cfg.Log.Log(event.RunAdopted, "task", id.Task, "run", id.Number, "entry", e.incarnation)
		}
		if r.state == runRunning {
			x.report(e.incarnation, wire.Report{Run: id, State: wire.RunStarted})
		}
		return
	}
	if rep := x.recent.find(id); rep.State != wire.RunLost {
		x.report(e.incarnation, rep)
		return
	}
	if r != nil || x.profile == nil {
		x.report(e.incarnation, wire.Report{Run: id, State: wire.RunLost})
		return
	}
	// An earlier process of this agent may have sent the start. The stop ends the run, or makes
	// the endpoint reject a start that arrives later, before the loss is reported.
	r = &run{
		id: id, entry: e.incarnation, queue: g.Queue, size: g.Size, orderedAt: now, state: runStopping, stored: g.Stored,
		declaredRunTime: time.Duration(g.EstimateMillis) * time.Millisecond,
	}
	x.runs[id.Task] = r
	x.used = x.used.Plus(r.size)
	if !x.adoptDeadline.IsZero() {
		r.state = runStarting // the next observation shows whether it executes
		r.verifyRequested = true
		x.extendLease(now)
		return
	}
	x.extendLease(now)
	x.sendStop(r, now)
}

// handleUnknownRun handles a run that this process did not start or has given up, and that the
// reply to an observation sent at the given time lists as running.
func (x *Executor) handleUnknownRun(id wire.Run, sent, now time.Time) {
	if x.runs[id.Task] != nil {
		return // another run of the task is known; this one is handled once that has ended
	}
	if o, over := x.recent.byRun[id]; over && !sent.After(o.recordedAt) {
		return // this observation may be older than the end
	}
	// The run may belong to a stored job, so its end is kept until it is confirmed.
	r := &run{id: id, state: runRunning, seenAtEndpoint: true, stored: true, orderedAt: now, startedAt: now, percentRoseAt: now}
	x.runs[id.Task] = r
	if x.adoptDeadline.IsZero() {
		x.cfg.Log.Log(event.RunOrphaned, "task", id.Task, "run", id.Number)
		x.stop(r, 0, now)
	}
}

// applyPendingClaims processes the claims that arrived before the endpoint was known.
func (x *Executor) applyPendingClaims(now time.Time) {
	if x.profile == nil && now.Sub(x.startedAt) < x.cfg.Timing.maxInheritedLease() {
		return
	}
	for _, e := range x.entries {
		if c := e.pendingClaim; c != nil {
			stops := e.pendingStops
			e.pendingClaim, e.pendingStops = nil, nil
			x.reconcileClaim(e, c, now)
			for _, id := range stops {
				x.stopOrdered(e, id, now)
			}
		}
	}
}

// stopUnclaimedRuns stops the inherited runs that no entry has claimed by the deadline.
func (x *Executor) stopUnclaimedRuns(now time.Time) {
	if x.adoptDeadline.IsZero() || now.Before(x.adoptDeadline) {
		return
	}
	x.adoptDeadline = time.Time{}
	for _, r := range x.runs {
		if r.entry == "" {
			x.cfg.Log.Log(event.RunOrphaned, "task", r.id.Task, "run", r.id.Number)
			x.stop(r, 0, now)
		}
	}
}
