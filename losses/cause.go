package losses

// Cause is the reason for which a job was not answered in time.
type Cause string

// The causes. Each job that was lost has exactly one.
const (
	// NobodyServed: no entry that places jobs, or no endpoint, was there to take the job.
	NoneAvailable Cause = "nobody served"
	// InFlight: the entry, the agent or the endpoint that had the job was lost.
	ProcessLost Cause = "in flight at a loss"
	// NoRoom: refused when it had waited, with less room than it needed.
	NoCapacity Cause = "refused for want of room"
	// Patience: refused when it had waited, with room for it as far as known.
	CallerTimeout Cause = "refused by patience"
	// Waited: it got room too late.
	WaitedForCapacity Cause = "waited for room"
	// SlowPlace: the endpoints that had room were known to be slow.
	SlowPlacement Cause = "only slow endpoints had room"
	// Slowed: it ran on an endpoint that was slower than known.
	EndpointSlowed Cause = "ran on an endpoint that became slow"
	// SlowestTask: one task of a wide job took longer than the others.
	Straggler Cause = "slowest task of a wide job"
	// Declared: its tasks took longer than declared.
	DeclaredTimeWrong Cause = "declared time wrong"
	// OrderLost: an order got no answer.
	OrderLost Cause = "order lost"
	// MovedInVain: a run was stopped to run elsewhere, and that took longer.
	UselessMove Cause = "moved in vain"
	// AgentFull: an agent had no room for an order, or let it wait.
	AgentFull Cause = "no room at the agent"
	// RunFailed: runs failed at their endpoints.
	RunFailed Cause = "runs failed"
	// StoreAway: the store could not take or show the job.
	StoreUnavailable Cause = "store away"
	// SlowProcess: messages and the processes of the system took the time.
	ProcessingDelay Cause = "slow process or message"
	// Unexplained: the lines that would tell are missing.
	Unexplained Cause = "unexplained"
)

// Causes lists all causes in the order of the tables.
func Causes() []Cause {
	return []Cause{
		NoneAvailable, ProcessLost, NoCapacity, CallerTimeout, WaitedForCapacity, SlowPlacement, EndpointSlowed, Straggler, DeclaredTimeWrong, OrderLost,
		UselessMove, AgentFull, RunFailed, StoreUnavailable, ProcessingDelay, Unexplained,
	}
}

// refusalCauses maps the error kind of a refusal to its cause.
var refusalCauses = map[string]Cause{
	"queue_full": NoCapacity, "deadline_unmet": WaitedForCapacity, "no_endpoint": NoneAvailable, "no_configuration": NoneAvailable,
	"draining": NoneAvailable, "log_unavailable": StoreUnavailable, "home_lost": ProcessLost, "agent_lost": ProcessLost,
	"endpoint_lost": ProcessLost, "never_fits": NoneAvailable,
}

// retryCauses maps the reason for which a task is run again to what its last run cost.
var retryCauses = map[string]Cause{
	"lost": ProcessLost, "agent lost": ProcessLost, "unreachable": ProcessLost, "draining": ProcessLost,
	"serves_other_entries": ProcessLost, "emptied": ProcessLost, "unanswered": OrderLost, "stale": OrderLost,
	"no_room": AgentFull, "busy": AgentFull, "withdrawn": AgentFull, "ends_not_recorded": StoreUnavailable,
	"old_run": OrderLost, "failed": RunFailed, "invalid": RunFailed, "stopped": UselessMove,
}
