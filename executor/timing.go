package executor

import "time"

// Timing holds the timeouts and intervals of an Executor.
type Timing struct {
	// Lease is how long runs continue at the endpoint without this process. It bounds how soon
	// a task of a lost agent can run elsewhere.
	Lease time.Duration
	// ObserveWait is how long an observation waits for a run to end.
	ObserveWait time.Duration
	// MinObserveInterval is the shortest time between two observations, so that runs that end
	// at about the same time are read together.
	MinObserveInterval time.Duration
	// PollInterval is the time between observations that do not wait for a run to end.
	PollInterval time.Duration
	// CallTimeout bounds a call to the endpoint, which is on the same host and replies within a
	// millisecond. Until the call ends, resources stay reserved for a run of which it is unknown
	// whether it was started or stopped, and no second immediate observation is sent.
	CallTimeout time.Duration
	// ObserveWaitMargin is how much longer than ObserveWait an observation may take. No ends
	// are seen while an unanswered observation is pending.
	ObserveWaitMargin time.Duration
	// StartTimeout is the time after which a start without a reply is verified.
	StartTimeout time.Duration
	// MaxOrderAge bounds the age of the agent status that an order is based on. An entry
	// runs the tasks elsewhere OrphanTimeout after the agent's last message. A run that starts
	// within MaxOrderAge of that message has ended by then, even if the agent extends the lease
	// until the next tick and fails.
	MaxOrderAge time.Duration
	// MaxCapacityAge is the age of the newest announcement from which an endpoint that does not
	// enforce its capacity gets no starts. A capacity counts for 4.5 s after it has shrunk, and a
	// start is executed within the lease.
	MaxCapacityAge time.Duration
	// EntryTimeout is the time without a message after which the runs of an entry are stopped.
	EntryTimeout time.Duration
	// StatusInterval is the shortest time between two status messages to entries that have no
	// reports to receive. StatusIntervalPerEntry is the same per connected entry, so that the
	// message rate of an agent does not grow with the number of entries.
	StatusInterval         time.Duration
	StatusIntervalPerEntry time.Duration
	// StatusIntervalSingleEntry applies if there is only one entry. It knows its own orders,
	// and ends are reported to it at once.
	StatusIntervalSingleEntry time.Duration
	// KeepaliveInterval is the longest time between two messages to an entry with runs here,
	// IdleKeepaliveInterval to one without.
	KeepaliveInterval     time.Duration
	IdleKeepaliveInterval time.Duration
	// AdoptWindow is how long inherited runs wait for their entry to claim them. The lease does
	// not end until AdoptMargin later, after the next observation.
	AdoptWindow       time.Duration
	AdoptMargin       time.Duration
	BusyTickInterval  time.Duration
	IdleTickInterval  time.Duration
	DrainPollInterval time.Duration
}

// DefaultTiming returns the timing for an endpoint whose longest lease is maxLease.
func DefaultTiming(maxLease time.Duration) Timing {
	return Timing{
		Lease:                     min(700*time.Millisecond, maxLease),
		ObserveWait:               30 * time.Millisecond,
		MinObserveInterval:        8 * time.Millisecond,
		PollInterval:              30 * time.Millisecond,
		CallTimeout:               40 * time.Millisecond,
		ObserveWaitMargin:         20 * time.Millisecond,
		StartTimeout:              15 * time.Millisecond,
		MaxOrderAge:               550 * time.Millisecond,
		MaxCapacityAge:            3750 * time.Millisecond,
		EntryTimeout:              450 * time.Millisecond,
		StatusInterval:            15 * time.Millisecond,
		StatusIntervalPerEntry:    6 * time.Millisecond,
		StatusIntervalSingleEntry: 40 * time.Millisecond,
		KeepaliveInterval:         150 * time.Millisecond,
		IdleKeepaliveInterval:     300 * time.Millisecond,
		AdoptWindow:               400 * time.Millisecond,
		AdoptMargin:               120 * time.Millisecond,
		BusyTickInterval:          20 * time.Millisecond,
		IdleTickInterval:          100 * time.Millisecond,
		DrainPollInterval:         20 * time.Millisecond,
	}
}

// maxInheritedLease returns the time after which a lease that an earlier process of the agent
// extended has certainly expired.
func (t Timing) maxInheritedLease() time.Duration {
	return t.Lease + time.Duration(maxClockDrift*float64(t.Lease)) + 50*time.Millisecond
}

// OrphanTimeout returns the longest time for which a run continues after its entry received the
// last message of the agent. The agent may have received messages of the entry until then; it
// stops the run after EntryTimeout, or fails just before that and the lease expires.
func (t Timing) OrphanTimeout() time.Duration {
	return t.EntryTimeout + t.Lease + time.Duration(maxClockDrift*float64(t.Lease)) + 150*time.Millisecond
}
