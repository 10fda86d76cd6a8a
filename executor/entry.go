package executor

import (
	"slices"
	"strings"
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// Sender sends a message to an entry. It must not block for long. After an error the
// executor does not use it again.
type Sender = func(m wire.Message) error

// entry is an entry that is or was connected.
type entry struct {
	incarnation  string
	connection   uint64 // number of the connection; calls for an older one are ignored
	send         Sender // nil while not connected
	lastReceived time.Time
	lastSent     time.Time
	orderedRuns  uint64 // on this connection
	profileSent  bool
	crashesSent  uint64 // number of the newest crash that was sent on this connection
	suspect      bool   // see IsSuspect
	// echoedClock is the newest Status.ClockMillis that the entry has returned, or the clock at
	// the start of the connection. echoesInHeartbeats is false for an entry of an older version.
	echoedClock        uint64
	echoesInHeartbeats bool
	// retired is set once this agent serves other entries and accepts no more orders from this
	// one.
	retired bool
	// pendingClaim is a Claim that arrived before the endpoint was known.
	pendingClaim *wire.Claim
	pendingStops []wire.Run // stop orders since that Claim
	reports      []wire.Report
}

// Connected registers a new connection to the entry with the given incarnation. The returned
// number identifies the connection.
func (x *Executor) Connected(incarnation string, send Sender) (connection uint64) {
	x.loop.Do(func() {
		e := x.entries[incarnation]
		if e == nil {
			e = &entry{incarnation: incarnation}
			x.entries[incarnation] = e
		}
		x.lastConnection++
		e.connection, connection = x.lastConnection, x.lastConnection
		e.send, e.lastReceived, e.orderedRuns, e.profileSent, e.pendingClaim, e.retired = send, time.Now(), 0, false, nil, false
		e.pendingStops, e.suspect, e.echoedClock, e.crashesSent = nil, false, x.clockMillis(), 0
		e.reports = nil // the entry's Claim makes the agent report them again
		x.reportUnconfirmed(incarnation)
		x.statusDirty = true
		x.statusSentAt = time.Time{}
	})
	return connection
}

// Disconnected records that a connection to an entry has ended.
func (x *Executor) Disconnected(incarnation string, connection uint64) {
	x.loop.Post(func() {
		if e := x.entries[incarnation]; e != nil && e.connection == connection {
			e.send = nil
		}
	})
}

// Retire tells an entry that this agent accepts no more runs from it. Its current runs
// continue.
func (x *Executor) Retire(incarnation string) {
	x.loop.Do(func() {
		if e := x.entries[incarnation]; e != nil && e.send != nil {
			e.retired = true
			x.send(e, x.status(e), time.Now())
		}
	})
}

// Outstanding returns the number of runs of an entry plus the number of reports that are
// still to be sent to it.
func (x *Executor) Outstanding(incarnation string) (n int) {
	x.loop.Do(func() {
		if e := x.entries[incarnation]; e != nil {
			n = len(e.reports)
		}
		for _, r := range x.runs {
			if r.entry == incarnation {
				n++
			}
		}
	})
	return n
}

// IsSuspect reports whether no message was received for longer than timeout from an entry that
// had runs here. It stays suspect until it sends a message, even after its runs have been
// stopped.
func (x *Executor) IsSuspect(incarnation string, timeout time.Duration) (suspect bool) {
	x.loop.Do(func() {
		e := x.entries[incarnation]
		if e == nil {
			return
		}
		for _, r := range x.runs {
			e.suspect = e.suspect || r.entry == incarnation && time.Since(e.lastReceived) > timeout
		}
		suspect = e.suspect
	})
	return suspect
}

// Handle processes a message that an entry has sent over the given connection. Messages of an
// older connection are ignored: the entry's Claim on the new one accounts for all its runs.
func (x *Executor) Handle(incarnation string, connection uint64, m wire.Message) {
	x.loop.Post(func() {
		now := time.Now()
		e := x.entries[incarnation]
		if e == nil || e.connection != connection {
			return
		}
		e.lastReceived, e.suspect = now, false
		switch m := m.(type) {
		case *wire.Orders:
			e.echoedClock = max(e.echoedClock, m.StatusClockMillis)
			age := x.age(m.StatusClockMillis)
			for i := range m.Groups {
				g := &m.Groups[i]
				x.capacityUnenforced = g.CapacityUnenforced
				for _, id := range g.Runs {
					if age > x.cfg.Timing.MaxOrderAge {
						x.reject(e, id, wire.RejectStale, 0)
						continue
					}
					x.acceptOrder(e, id, g, now)
				}
			}
			e.orderedRuns = m.OrderedRuns
			x.statusDirty = true
		case *wire.Heartbeat:
			if m.StatusClockMillis > 0 {
				e.echoedClock, e.echoesInHeartbeats = max(e.echoedClock, m.StatusClockMillis), true
			}
		case *wire.Stop:
			for _, id := range m.Runs {
				x.stopOrdered(e, id, now)
			}
		case *wire.Confirm:
			x.confirmEnds(e.incarnation, m.Runs)
		case *wire.Claim:
			x.reconcileClaim(e, m, now)
		case *wire.Evacuated:
			x.setEvacuated(m)
		}
	})
}

// setEvacuated stores the list of evacuated data centres unless a newer version is known.
func (x *Executor) setEvacuated(m *wire.Evacuated) {
	if m.Version <= x.evacuated.Version {
		return
	}
	x.evacuated, x.statusDirty = *m, true
	x.cfg.Log.Log(event.EvacuationChanged, "version", m.Version, "data_centres", strings.Join(m.DataCentres, ","))
}

// clockMillis returns the value of Status.ClockMillis for a status sent now. It is never 0.
func (x *Executor) clockMillis() uint64 { return uint64(x.cfg.Now().Milliseconds()) + 1 }

// age returns how long ago the status with the given ClockMillis was sent. An order that echoes an
// old status may have been buffered while this process, the entry or the connection between
// them was suspended.
func (x *Executor) age(sent uint64) time.Duration {
	return time.Duration(x.clockMillis()-sent) * time.Millisecond
}

// stopOrdered stops a run on behalf of the entry that ordered it.
func (x *Executor) stopOrdered(e *entry, id wire.Run, now time.Time) {
	if e.pendingClaim != nil {
		e.pendingStops = append(e.pendingStops, id) // the endpoint may execute the run
		return
	}
	r := x.runs[id.Task]
	if r == nil || r.id != id || r.entry != e.incarnation {
		x.report(e.incarnation, x.recent.find(id))
		return
	}
	x.cfg.Log.Log(event.RunStopping, "task", id.Task, "run", id.Number, "entry", e.incarnation, "percent", r.percent)
	x.stop(r, 0, now)
}

// hearsNothing reports whether e may have received no status of this agent for so long that it
// is about to run its tasks elsewhere, although its own messages arrive here.
func (x *Executor) hearsNothing(e *entry) bool {
	return e.echoesInHeartbeats && x.age(e.echoedClock) > x.cfg.Timing.MaxOrderAge
}

// untilTimeout returns the time until expireEntries stops the runs of e unless e is heard again.
func (x *Executor) untilTimeout(e *entry, now time.Time) time.Duration {
	d := x.cfg.Timing.EntryTimeout - now.Sub(e.lastReceived)
	if e.echoesInHeartbeats {
		d = min(d, x.cfg.Timing.MaxOrderAge-x.age(e.echoedClock))
	}
	return d
}

// expireEntries stops the runs of entries that have timed out or hear nothing, and removes
// entries that are disconnected and have no runs left.
func (x *Executor) expireEntries(now time.Time) {
	for incarnation, e := range x.entries {
		timedOut := now.Sub(e.lastReceived) >= x.cfg.Timing.EntryTimeout
		if !timedOut && !x.hearsNothing(e) {
			continue
		}
		runs := 0
		for _, r := range x.runs {
			if r.entry != incarnation {
				continue
			}
			runs++
			if r.state != runStopping {
				x.cfg.Log.Log(event.RunAbandoned, "task", r.id.Task, "run", r.id.Number, "entry", incarnation,
					"silent_ms", now.Sub(e.lastReceived).Milliseconds(), "status_age_ms", x.age(e.echoedClock).Milliseconds())
				x.stop(r, 0, now)
			}
		}
		if runs == 0 && e.send == nil && timedOut {
			delete(x.entries, incarnation)
		}
	}
}

// report queues a report for an entry if it is connected.
func (x *Executor) report(incarnation string, r wire.Report) {
	if e := x.entries[incarnation]; e != nil && e.send != nil {
		e.reports = append(e.reports, r)
	}
}

func (x *Executor) sendUrgentReports(now time.Time) {
	for _, e := range x.entries {
		if e.send != nil && slices.ContainsFunc(e.reports, isUrgent) {
			x.sendPending(e, now)
		}
	}
}

// isUrgent reports whether an entry acts on r at once. A report that a run has started
// changes no decision, so it waits for the next status; this saves one message per task.
func isUrgent(r wire.Report) bool { return r.State != wire.RunStarted }

// sendPending sends e the status together with its queued reports.
func (x *Executor) sendPending(e *entry, now time.Time) {
	if len(e.reports) == 0 {
		x.send(e, x.status(e), now)
		return
	}
	m := &wire.Reports{Reports: e.reports, Status: x.status(e)}
	e.reports = nil
	x.send(e, m, now)
}

// sendStatus sends a changed status to all entries at a bounded rate, and keepalives to
// entries that have been sent nothing for a while.
func (x *Executor) sendStatus(now time.Time) {
	interval := max(x.cfg.Timing.StatusInterval, time.Duration(len(x.entries))*x.cfg.Timing.StatusIntervalPerEntry)
	if len(x.entries) == 1 {
		interval = x.cfg.Timing.StatusIntervalSingleEntry
	}
	due := x.statusDirty && now.Sub(x.statusSentAt) >= interval
	hasRuns := make(map[string]bool, len(x.entries))
	for _, r := range x.runs {
		hasRuns[r.entry] = true
	}
	for incarnation, e := range x.entries {
		keepalive := x.cfg.Timing.IdleKeepaliveInterval
		if hasRuns[incarnation] {
			keepalive = x.cfg.Timing.KeepaliveInterval
		}
		if e.send == nil || !due && now.Sub(e.lastSent) < keepalive {
			continue
		}
		if due && now.Sub(e.lastSent) == 0 {
			continue // already sent with the reports
		}
		x.sendPending(e, now)
	}
	if due {
		x.statusDirty, x.statusSentAt = false, now
	}
}

func (x *Executor) send(e *entry, m wire.Message, now time.Time) {
	e.lastSent = now
	if err := e.send(m); err != nil {
		x.cfg.Log.Log(event.EntryLost, "entry", e.incarnation, "error", err)
		e.send = nil
	}
}

// status returns the current status for e.
func (x *Executor) status(e *entry) *wire.Status {
	s := &wire.Status{
		Used: x.used, OrderedRuns: e.orderedRuns, ClosedReason: x.closedReasonFor(e),
		SlownessPermille: x.health.slownessPermille(), FailedPermille: x.health.failedPermille(),
		ClockMillis: x.clockMillis(), RejectsStoredRuns: x.backlogFull,
	}
	if !e.profileSent && x.profile != nil {
		s.Profile, e.profileSent = x.profile, true
	}
	s.Crashes = x.unsentCrashes(e)
	return s
}

// closedReasonFor returns why no new run of e is accepted, or 0.
func (x *Executor) closedReasonFor(e *entry) wire.RejectReason {
	if reason := x.closedReason(); reason != 0 || !e.retired {
		return reason
	}
	return wire.RejectRetired
}

// CanRunAny reports whether the endpoint meets one of the requirements.
func (x *Executor) CanRunAny(requirements []wire.TaskRequirement) (can bool) {
	if len(requirements) == 0 {
		return false
	}
	x.loop.Do(func() {
		can = x.profile != nil && slices.ContainsFunc(requirements, func(r wire.TaskRequirement) bool { return r.IsMetBy(x.profile) })
	})
	return can
}
