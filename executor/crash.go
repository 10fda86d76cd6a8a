package executor

import (
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

const (
	// crashRetention is how long a crash is kept for entries that connect later. It outlasts the
	// failover of a stored job and several resubmissions of an ephemeral one.
	crashRetention = 30 * time.Second
	// maxCrashes bounds the crashes that are kept.
	maxCrashes = 32
)

// crash is a crash of the endpoint.
type crash struct {
	wire.Crash
	number uint64
	at     time.Time
}

// recordCrash records that the current incarnation of the endpoint has ended, together with the
// runs that it may have executed. An endpoint that drains ends on purpose.
func (x *Executor) recordCrash(now time.Time) {
	if x.endpointDraining {
		return
	}
	x.crashedAt = now
	var runs []wire.CrashedRun
	for _, r := range x.runs {
		if !r.crashRecorded && (r.seenAtEndpoint || r.startUnanswered) { // others may not have arrived
			r.crashRecorded = true
			runs = append(runs, r.crashed(now))
		}
	}
	x.addCrash(runs, now)
}

// recordUnansweredStart records that a start of r got no reply, perhaps since its task crashed the
// endpoint. A start that arrives at an endpoint that is down is refused instead.
func (x *Executor) recordUnansweredStart(r *run, sentAt, now time.Time) {
	r.startUnanswered = true
	if !r.crashRecorded && !x.crashedAt.Before(sentAt) && x.profile != nil {
		r.crashRecorded = true
		x.addCrash([]wire.CrashedRun{r.crashed(now)}, now)
	}
}

// crashed returns r as a run during which the endpoint crashed.
func (r *run) crashed(now time.Time) wire.CrashedRun {
	since := r.sentAt()
	if !r.startedAt.IsZero() {
		since = r.startedAt
	}
	return wire.CrashedRun{Run: r.id, Queue: r.queue, ElapsedMillis: uint32(now.Sub(since).Milliseconds()), Unanswered: !r.seenAtEndpoint}
}

func (x *Executor) addCrash(runs []wire.CrashedRun, now time.Time) {
	if len(runs) == 0 {
		return
	}
	x.crashCount++
	c := crash{at: now, number: x.crashCount, Crash: wire.Crash{
		Instance: x.profile.Instance, StartMillis: x.endpointStartMillis, Number: x.crashCount, Runs: runs,
	}}
	x.crashes = append(x.crashes, c)
	x.crashes = x.crashes[max(0, len(x.crashes)-maxCrashes):]
	x.statusDirty = true
	x.cfg.Metrics.crashes.Inc()
	x.cfg.Log.Log(event.EndpointCrashed, "instance", c.Instance, "born", c.StartMillis, "crash", c.number, "runs", len(runs))
}

// unsentCrashes returns the crashes that were not sent to e on its current connection, and marks
// them as sent.
func (x *Executor) unsentCrashes(e *entry) (out []wire.Crash) {
	for _, c := range x.crashes {
		if c.number > e.crashesSent {
			w := c.Crash
			w.AgeMillis = uint32(time.Since(c.at).Milliseconds())
			out = append(out, w)
			e.crashesSent = c.number
		}
	}
	return out
}

// expireCrashes removes the crashes that are older than crashRetention.
func (x *Executor) expireCrashes(now time.Time) {
	for len(x.crashes) > 0 && now.Sub(x.crashes[0].at) > crashRetention {
		x.crashes = x.crashes[1:]
	}
}
