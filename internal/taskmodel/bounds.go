package taskmodel

import (
	"time"

	"oriolerelay/coordinator"
	"oriolerelay/executor"
	"oriolerelay/router"
)

// step is the length of a step. Agents and entries with runs send a message in each of them.
const step = 150 * time.Millisecond

// callerResendDelay is the time after which the platform's callers submit a job again.
const callerResendDelay = 1300 * time.Millisecond

// bounds are the time bounds of the system in whole steps.
type bounds struct {
	entryTimeout, maxOrderAge, lease, orphanTimeout, agentSuspect, adoptWindow age
	peerTimeout, maxForwarderAge, peerSuspect, idleTimeout                     age
	callerResend                                                               age
}

// connIdleTimeout is that of package relay.
const connIdleTimeout = 600 * time.Millisecond

// defaultBounds returns the bounds of the default timing.
func defaultBounds() bounds {
	agents := executor.DefaultTiming(time.Minute)
	entries := coordinator.DefaultTiming(agents.OrphanTimeout(), 1)
	in := func(d time.Duration) age { return age(d / step) }
	return bounds{
		entryTimeout: in(agents.EntryTimeout), maxOrderAge: in(agents.MaxOrderAge), lease: in(agents.Lease), adoptWindow: in(agents.AdoptWindow),
		orphanTimeout: in(entries.OrphanTimeout), agentSuspect: in(entries.SuspectTimeout),
		peerTimeout: in(router.PeerTimeout), maxForwarderAge: in(router.MaxForwarderAge), peerSuspect: in(router.SuspectTimeout),
		idleTimeout: in(connIdleTimeout), callerResend: in(callerResendDelay),
	}
}
