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
	c := crash{at: now, Crash: wire.Crash{Instance: x.profile.Instance, StartMillis: x.endpointStartMillis}}
	for _, r := range x.runs {
		sent := r.sentAt()
		if r.crashRecorded || sent.IsZero() || !r.seenAtEndpoint && r.starts.last == nil {
			continue // its start was not sent, or an earlier process may have sent it
		}
		r.crashRecorded = true
		since := sent
		if !r.startedAt.IsZero() {
			since = r.startedAt
		}
		c.Runs = append(c.Runs, wire.CrashedRun{
			Run: r.id, Queue: r.queue, ElapsedMillis: uint32(now.Sub(since).Milliseconds()), Unanswered: !r.seenAtEndpoint,
		})
	}
	if len(c.Runs) == 0 {
		return
	}
	x.crashCount++
	c.number = x.crashCount
	x.crashes = append(x.crashes, c)
	x.crashes = x.crashes[max(0, len(x.crashes)-maxCrashes):]
	x.statusDirty = true
	x.cfg.Metrics.crashes.Inc()
	x.cfg.Log.Log(event.EndpointCrashed, "instance", c.Instance, "born", c.StartMillis, "crash", c.number, "runs", len(c.Runs))
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
