package executor

import (
	"slices"
	"strings"
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// Sender sends a message to an entry without blocking for long. An error ends
// the use of the connection.
type Sender = func(m wire.Message) error

// entry is an entry that is, or was, connected.
type entry struct {
	node        string
	send        Sender // nil while not connected
	heard       time.Time
	sentAt      time.Time
	ordered     uint64 // runs ordered on this connection
	profileSent bool
	silent      bool // since it had runs here, see IsSilent
	// retired is set when this agent serves other entries and takes no more orders
	// of this one.
	retired bool
	// claim is a Claim that arrived before the endpoint is known.
	claim   *wire.Claim
	reports []wire.Report
}

// Connected takes a connection to the entry with the given incarnation.
func (x *Executor) Connected(node string, send Sender) {
	x.loop.Do(func() {
		e := x.entries[node]
		if e == nil {
			e = &entry{node: node}
			x.entries[node] = e
		}
		e.send, e.heard, e.ordered, e.profileSent, e.claim, e.retired = send, time.Now(), 0, false, nil, false
		e.silent = false
		e.reports = nil // the Claim asks for them again
		x.reportUnnoted(node)
		x.statusDirty = true
		x.statusSent = time.Time{}
	})
}

// Disconnected takes note that the connection that was made with send has ended.
func (x *Executor) Disconnected(node string) {
	x.loop.Post(func() {
		if e := x.entries[node]; e != nil {
			e.send = nil
		}
	})
}

// Retire tells an entry that it gets no more runs here; those that it has go on.
func (x *Executor) Retire(node string) {
	x.loop.Do(func() {
		if e := x.entries[node]; e != nil && e.send != nil {
			e.retired = true
			x.send(e, x.status(e), time.Now())
		}
	})
}

// Served returns the number of runs of an entry and of reports that it is still to
// be sent.
func (x *Executor) Served(node string) (n int) {
	x.loop.Do(func() {
		if e := x.entries[node]; e != nil {
			n = len(e.reports)
		}
		for _, r := range x.runs {
			if r.entry == node {
				n++
			}
		}
	})
	return n
}

// IsSilent reports whether an entry that had runs here has said nothing for the given
// time. It stays silent until it is heard, also when its runs have been stopped.
func (x *Executor) IsSilent(node string, limit time.Duration) (silent bool) {
	x.loop.Do(func() {
		e := x.entries[node]
		if e == nil {
			return
		}
		for _, r := range x.runs {
			e.silent = e.silent || r.entry == node && time.Since(e.heard) > limit
		}
		silent = e.silent
	})
	return silent
}

// Handle takes a message of an entry.
func (x *Executor) Handle(node string, m wire.Message) {
	x.loop.Post(func() {
		now := time.Now()
		e := x.entries[node]
		if e == nil {
			return
		}
		e.heard, e.silent = now, false
		switch m := m.(type) {
		case *wire.Orders:
			age := x.age(m.Echo)
			for i := range m.Groups {
				g := &m.Groups[i]
				for _, id := range g.Runs {
					if age > x.cfg.Timing.OrderAge {
						x.reject(e, id, wire.RejectStale)
						continue
					}
					x.order(e, id, g, now)
				}
			}
			e.ordered = m.Count
			x.statusDirty = true
		case *wire.Stop:
			for _, id := range m.Runs {
				x.stopOrdered(e, id, now)
			}
		case *wire.Noted:
			x.noted(e.node, m.Runs)
		case *wire.Claim:
			x.claim(e, m, now)
		case *wire.Emptied:
			x.setEmptied(m)
		}
	})
}

// setEmptied takes the data centres that are to be emptied from the entry that knows the
// newest state.
func (x *Executor) setEmptied(m *wire.Emptied) {
	if m.Version <= x.emptied.Version {
		return
	}
	x.emptied, x.statusDirty = *m, true
	x.cfg.Log.Log(event.DataCentresEmptied, "version", m.Version, "data_centres", strings.Join(m.DataCentres, ","))
}

// clockMillis is the Time of a status that is sent now. It is never 0.
func (x *Executor) clockMillis() uint64 { return uint64(x.cfg.Now().Milliseconds()) + 1 }

// age returns how long ago a status with the given Time was sent. An order that is
// older than that may have been kept in a buffer while this process, the entry or the
// connection between them stood still.
func (x *Executor) age(sent uint64) time.Duration {
	return time.Duration(x.clockMillis()-sent) * time.Millisecond
}

// stopOrdered stops a run for the entry that ordered it.
func (x *Executor) stopOrdered(e *entry, id wire.Run, now time.Time) {
	r := x.runs[id.Task]
	if r == nil || r.id != id || r.entry != e.node {
		x.report(e.node, x.recent.find(id))
		return
	}
	x.cfg.Log.Log(event.RunStop, "task", id.Task, "run", id.Number, "entry", e.node, "percent", r.percent)
	x.stop(r, 0, now)
}

// claim compares the runs that the entry believes to be here with those that are.
func (x *Executor) claim(e *entry, c *wire.Claim, now time.Time) {
	if x.profile == nil && now.Sub(x.begun) < x.cfg.Timing.leaseEndAfter() {
		// An earlier process may have left runs at the endpoint, which can be adopted
		// once the endpoint is known.
		e.claim = c
		return
	}
	claimed := make(map[wire.Run]bool)
	for i := range c.Groups {
		g := &c.Groups[i]
		for _, id := range g.Runs {
			claimed[id] = true
			x.claimRun(e, id, g, now)
		}
	}
	for _, r := range x.runs {
		if r.entry == e.node && !claimed[r.id] {
			x.stop(r, 0, now)
		}
	}
}

func (x *Executor) claimRun(e *entry, id wire.Run, g *wire.OrderGroup, now time.Time) {
	r := x.runs[id.Task]
	if r != nil && r.id == id && (r.entry == e.node || r.entry == "") {
		if r.entry == "" {
			x.used = x.used.Minus(r.size).Plus(g.Size) // the size was not known before
			r.entry, r.size, r.payload, r.stored = e.node, g.Size, g.Payload, g.Stored
			r.estimate = time.Duration(g.EstimateMillis) * time.Millisecond
			x.cfg.Log.Log(event.RunAdopted, "task", id.Task, "run", id.Number, "entry", e.node)
		}
		if r.state == runRunning {
			x.report(e.node, wire.Report{Run: id, State: wire.RunStarted})
		}
		return
	}
	if rep := x.recent.find(id); rep.State != wire.RunLost {
		x.report(e.node, rep)
		return
	}
	if r != nil || x.profile == nil {
		x.report(e.node, wire.Report{Run: id, State: wire.RunLost})
		return
	}
	// An earlier process of this agent may have sent the start. The stop ends the
	// run, or refuses its start in advance, before the loss is reported.
	r = &run{id: id, entry: e.node, size: g.Size, ordered: now, state: runStopping, stored: g.Stored}
	x.runs[id.Task] = r
	x.used = x.used.Plus(r.size)
	if !x.adopting.IsZero() {
		r.state = runStarting // the next observation tells whether it runs
		r.looked = true
		x.extendLease(now)
		return
	}
	x.extendLease(now)
	x.sendStop(r, now)
}

// unknownRun handles a run at the endpoint that this process did not start.
func (x *Executor) unknownRun(id wire.Run, now time.Time) {
	if x.runs[id.Task] != nil {
		return // another run of the task is known; this one is looked at when that has ended
	}
	if _, ended := x.recent.byRun[id]; ended {
		return // the answer is older than one that listed its end
	}
	// It may belong to a stored job: its end is kept until it is noted.
	r := &run{id: id, state: runRunning, answered: true, stored: true, ordered: now, started: now, moved: now}
	x.runs[id.Task] = r
	if x.adopting.IsZero() {
		x.cfg.Log.Log(event.RunOrphaned, "task", id.Task, "run", id.Number)
		x.stop(r, 0, now)
	}
}

// checkClaims takes the claims that waited for the endpoint to be known.
func (x *Executor) checkClaims(now time.Time) {
	if x.profile == nil && now.Sub(x.begun) < x.cfg.Timing.leaseEndAfter() {
		return
	}
	for _, e := range x.entries {
		if c := e.claim; c != nil {
			e.claim = nil
			x.claim(e, c, now)
		}
	}
}

// checkAdopted stops the runs that nobody has claimed in time.
func (x *Executor) checkAdopted(now time.Time) {
	if x.adopting.IsZero() || now.Before(x.adopting) {
		return
	}
	x.adopting = time.Time{}
	for _, r := range x.runs {
		if r.entry == "" {
			x.cfg.Log.Log(event.RunOrphaned, "task", r.id.Task, "run", r.id.Number)
			x.stop(r, 0, now)
		}
	}
}

// checkEntries stops the runs of entries that have been silent for too long, and
// forgets entries that are gone.
func (x *Executor) checkEntries(now time.Time) {
	for node, e := range x.entries {
		if now.Sub(e.heard) < x.cfg.Timing.EntrySilence {
			continue
		}
		held := 0
		for _, r := range x.runs {
			if r.entry != node {
				continue
			}
			held++
			if r.state != runStopping {
				x.cfg.Log.Log(event.RunAbandoned, "task", r.id.Task, "run", r.id.Number, "entry", node,
					"silent_ms", now.Sub(e.heard).Milliseconds())
				x.stop(r, 0, now)
			}
		}
		if held == 0 && e.send == nil {
			delete(x.entries, node)
		}
	}
}

// report queues a report for an entry.
func (x *Executor) report(node string, r wire.Report) {
	if e := x.entries[node]; e != nil && e.send != nil {
		e.reports = append(e.reports, r)
	}
}

func (x *Executor) sendReports(now time.Time) {
	for _, e := range x.entries {
		if e.send != nil && slices.ContainsFunc(e.reports, isUrgent) {
			x.tell(e, now)
		}
	}
}

// isUrgent reports whether an entry acts on r at once. The news that a run has
// started can wait for the next status: it changes no decision, and an entry would
// receive one message more for each task.
func isUrgent(r wire.Report) bool { return r.State != wire.RunStarted }

// tell sends e the status and the reports that wait.
func (x *Executor) tell(e *entry, now time.Time) {
	if len(e.reports) == 0 {
		x.send(e, x.status(e), now)
		return
	}
	m := &wire.Reports{Reports: e.reports, Status: x.status(e)}
	e.reports = nil
	x.send(e, m, now)
}

// sendStatus tells the entries of a new status, and those with runs here that
// this agent is alive.
func (x *Executor) sendStatus(now time.Time) {
	interval := max(x.cfg.Timing.StatusInterval, time.Duration(len(x.entries))*x.cfg.Timing.StatusPerEntry)
	if len(x.entries) == 1 {
		interval = x.cfg.Timing.StatusAlone
	}
	due := x.statusDirty && now.Sub(x.statusSent) >= interval
	busy := make(map[string]bool, len(x.entries))
	for _, r := range x.runs {
		busy[r.entry] = true
	}
	for node, e := range x.entries {
		longest := x.cfg.Timing.StatusIdle
		if busy[node] {
			longest = x.cfg.Timing.StatusMax
		}
		if e.send == nil || !due && now.Sub(e.sentAt) < longest {
			continue
		}
		if due && now.Sub(e.sentAt) == 0 {
			continue // it came with the reports
		}
		x.tell(e, now)
	}
	if due {
		x.statusDirty, x.statusSent = false, now
	}
}

func (x *Executor) send(e *entry, m wire.Message, now time.Time) {
	e.sentAt = now
	if err := e.send(m); err != nil {
		x.cfg.Log.Log(event.EntryLost, "entry", e.node, "error", err)
		e.send = nil
	}
}

// status returns the status for e.
func (x *Executor) status(e *entry) *wire.Status {
	s := &wire.Status{
		Used: x.used, Count: e.ordered, Closed: x.closedTo(e),
		SlownessPermille: x.health.slownessPermille(), FailedPermille: x.health.failedPermille(),
		Time: x.clockMillis(), Unrecorded: x.unrecorded,
	}
	if !e.profileSent && x.profile != nil {
		s.Profile, e.profileSent = x.profile, true
	}
	return s
}

// closedTo returns why e gets no new run here, or 0.
func (x *Executor) closedTo(e *entry) wire.RejectReason {
	if reason := x.closed(); reason != 0 || !e.retired {
		return reason
	}
	return wire.RejectRetired
}

// recentCapacity bounds the ends that are remembered for entries that reconnect.
const recentCapacity = 1024

// recentEnds remembers the final states of the last runs.
type recentEnds struct {
	byRun map[wire.Run]wire.Report
	order []wire.Run
}

func (c *recentEnds) add(r wire.Report) {
	if c.byRun == nil {
		c.byRun = make(map[wire.Run]wire.Report)
	}
	if _, ok := c.byRun[r.Run]; !ok {
		c.order = append(c.order, r.Run)
	}
	c.byRun[r.Run] = r
	if len(c.order) > recentCapacity {
		delete(c.byRun, c.order[0])
		c.order = c.order[1:]
	}
}

// find returns the final state of a run, RunLost when it is not known.
func (c *recentEnds) find(id wire.Run) wire.Report {
	if r, ok := c.byRun[id]; ok {
		return r
	}
	return wire.Report{Run: id, State: wire.RunLost}
}
