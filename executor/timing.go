package executor

import "time"

// Timing holds the times of an Executor.
type Timing struct {
	// Lease is how long runs go on at the endpoint without this process. It bounds
	// how soon a run of a lost agent can be repeated elsewhere.
	Lease time.Duration
	// ObserveWait is how long an observation waits for an end.
	ObserveWait time.Duration
	// ObserveGap is the shortest time between two observations, so that ends of
	// one moment are read together.
	ObserveGap time.Duration
	// LookGap is the time between observations while an answer is needed at once.
	LookGap time.Duration
	// AnswerTimeout is how long an answer of the endpoint, which is on the same
	// host and answers within a millisecond, may take. Room stays reserved for a run
	// until it is known whether it was started or stopped, and one look is under way at
	// a time.
	AnswerTimeout time.Duration
	// WaitSlack is how much longer an observation may take that waits for an end. Ends
	// are not seen while one without an answer is waited for.
	WaitSlack time.Duration
	// StartTimeout is when a start without an answer is looked up.
	StartTimeout time.Duration
	// OrderAge is the greatest age of the news of this agent that an order may be
	// based on. An entry repeats runs elsewhere OrphanEnd after it last heard of the
	// agent; a run that begins within OrderAge of that time has ended by then.
	OrderAge time.Duration
	// EntrySilence is when the runs of an entry that says nothing are stopped.
	EntrySilence time.Duration
	// StatusInterval is the shortest time between two status messages to entries
	// that have nothing else to hear, and StatusPerEntry is the same for each
	// connected entry: the messages of an agent then do not grow with the entries.
	StatusInterval time.Duration
	StatusPerEntry time.Duration
	// StatusAlone is the same towards an only entry. It knows its own orders, and ends
	// are reported to it at once.
	StatusAlone time.Duration
	// StatusMax is the longest time between two messages to an entry with runs here,
	// and StatusIdle to an entry without.
	StatusMax  time.Duration
	StatusIdle time.Duration
	// AdoptWindow is how long runs of an earlier process of this agent wait for
	// their entry.
	AdoptWindow time.Duration
	BusyTick    time.Duration
	IdleTick    time.Duration
	DrainPoll   time.Duration
}

// DefaultTiming returns the times for an endpoint whose longest lease is
// maxLease.
func DefaultTiming(maxLease time.Duration) Timing {
	return Timing{
		Lease:          min(700*time.Millisecond, maxLease),
		ObserveWait:    30 * time.Millisecond,
		ObserveGap:     8 * time.Millisecond,
		LookGap:        30 * time.Millisecond,
		AnswerTimeout:  40 * time.Millisecond,
		WaitSlack:      20 * time.Millisecond,
		StartTimeout:   15 * time.Millisecond,
		OrderAge:       600 * time.Millisecond,
		EntrySilence:   450 * time.Millisecond,
		StatusInterval: 15 * time.Millisecond,
		StatusPerEntry: 6 * time.Millisecond,
		StatusAlone:    40 * time.Millisecond,
		StatusMax:      150 * time.Millisecond,
		StatusIdle:     300 * time.Millisecond,
		AdoptWindow:    400 * time.Millisecond,
		BusyTick:       20 * time.Millisecond,
		IdleTick:       100 * time.Millisecond,
		DrainPoll:      20 * time.Millisecond,
	}
}

// leaseEndAfter is the time after which a lease that an earlier process of the agent
// extended has surely ended.
func (t Timing) leaseEndAfter() time.Duration {
	return t.Lease + time.Duration(clockSlack*float64(t.Lease)) + 50*time.Millisecond
}

// OrphanEnd is the longest time for which a run goes on after its entry last
// heard of the agent: the agent may have heard the entry until then and stops the
// run after EntrySilence, or it dies just before and the lease ends.
func (t Timing) OrphanEnd() time.Duration {
	return t.EntrySilence + t.Lease + time.Duration(clockSlack*float64(t.Lease)) + 150*time.Millisecond
}
