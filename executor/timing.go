package executor

import "time"

// Timing holds the times of an Executor.
type Timing struct {
	// Lease is how long runs go on at the endpoint without this process. It bounds
	// how soon a run of a lost agent can be repeated elsewhere.
	Lease time.Duration
	// ObserveWait is how long an observation waits for an end.
	ObserveWait time.Duration
	// MinObserveInterval is the shortest time between two observations, so that ends of
	// one moment are read together.
	MinObserveInterval time.Duration
	// PollInterval is the time between observations while an answer is needed at once.
	PollInterval time.Duration
	// CallTimeout is how long an answer of the endpoint, which is on the same
	// host and answers within a millisecond, may take. Room stays reserved for a run
	// until it is known whether it was started or stopped, and one look is under way at
	// a time.
	CallTimeout time.Duration
	// ObserveWaitMargin is how much longer an observation may take that waits for an end. Ends
	// are not seen while one without an answer is waited for.
	ObserveWaitMargin time.Duration
	// StartTimeout is when a start without an answer is looked up.
	StartTimeout time.Duration
	// MaxOrderAge is the greatest age of the news of this agent that an order may be
	// based on. An entry repeats runs elsewhere OrphanEnd after it last heard of the
	// agent; a run that begins within MaxOrderAge of that time has ended by then.
	MaxOrderAge time.Duration
	// EntryTimeout is when the runs of an entry that says nothing are stopped.
	EntryTimeout time.Duration
	// StatusInterval is the shortest time between two status messages to entries
	// that have nothing else to hear, and StatusPerEntry is the same for each
	// connected entry: the messages of an agent then do not grow with the entries.
	StatusInterval         time.Duration
	StatusIntervalPerEntry time.Duration
	// StatusIntervalSingleEntry is the same towards an only entry. It knows its own orders, and ends
	// are reported to it at once.
	StatusIntervalSingleEntry time.Duration
	// KeepaliveInterval is the longest time between two messages to an entry with runs here,
	// and StatusIdle to an entry without.
	KeepaliveInterval     time.Duration
	IdleKeepaliveInterval time.Duration
	// AdoptWindow is how long runs of an earlier process of this agent wait for
	// their entry.
	AdoptWindow       time.Duration
	BusyTickInterval  time.Duration
	IdleTickInterval  time.Duration
	DrainPollInterval time.Duration
}

// DefaultTiming returns the times for an endpoint whose longest lease is
// maxLease.
func DefaultTiming(maxLease time.Duration) Timing {
	return Timing{
		Lease:                     min(700*time.Millisecond, maxLease),
		ObserveWait:               30 * time.Millisecond,
		MinObserveInterval:        8 * time.Millisecond,
		PollInterval:              30 * time.Millisecond,
		CallTimeout:               40 * time.Millisecond,
		ObserveWaitMargin:         20 * time.Millisecond,
		StartTimeout:              15 * time.Millisecond,
		MaxOrderAge:               600 * time.Millisecond,
		EntryTimeout:              450 * time.Millisecond,
		StatusInterval:            15 * time.Millisecond,
		StatusIntervalPerEntry:    6 * time.Millisecond,
		StatusIntervalSingleEntry: 40 * time.Millisecond,
		KeepaliveInterval:         150 * time.Millisecond,
		IdleKeepaliveInterval:     300 * time.Millisecond,
		AdoptWindow:               400 * time.Millisecond,
		BusyTickInterval:          20 * time.Millisecond,
		IdleTickInterval:          100 * time.Millisecond,
		DrainPollInterval:         20 * time.Millisecond,
	}
}

// maxInheritedLease is the time after which a lease that an earlier process of the agent
// extended has surely ended.
func (t Timing) maxInheritedLease() time.Duration {
	return t.Lease + time.Duration(maxClockDrift*float64(t.Lease)) + 50*time.Millisecond
}

// OrphanTimeout is the longest time for which a run goes on after its entry last
// heard of the agent: the agent may have heard the entry until then and stops the
// run after EntrySilence, or it dies just before and the lease ends.
func (t Timing) OrphanTimeout() time.Duration {
	return t.EntryTimeout + t.Lease + time.Duration(maxClockDrift*float64(t.Lease)) + 150*time.Millisecond
}
