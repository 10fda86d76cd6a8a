package losses

// Cause is the reason why a job was not answered in time.
type Cause string

// Each lost job has exactly one of these causes.
const (
	// NoneAvailable means that no placement entry or no endpoint was available to take the job.
	NoneAvailable Cause = "nobody served"
	// ProcessLost means that the entry, agent or endpoint that had the job was lost.
	ProcessLost Cause = "in flight at a loss"
	// NoCapacity means that the job was refused after waiting, with less free capacity than it
	// needed.
	NoCapacity Cause = "refused for want of room"
	// CallerTimeout means that the job was refused after waiting although, as far as the entry
	// knew, there was enough free capacity for it.
	CallerTimeout Cause = "refused by patience"
	// WaitedForCapacity means that the job got capacity too late.
	WaitedForCapacity Cause = "waited for room"
	// SlowPlacement means that the endpoints with free capacity were known to be slow.
	SlowPlacement Cause = "only slow endpoints had room"
	// EndpointSlowed means that the job ran on an endpoint that was slower than known.
	EndpointSlowed Cause = "ran on an endpoint that became slow"
	// Straggler means that one task of a job took longer than its other tasks.
	Straggler Cause = "slowest task of a wide job"
	// DeclaredTimeWrong means that the tasks took longer than their declared run time.
	DeclaredTimeWrong Cause = "declared time wrong"
	// OrderLost means that an order got no reply.
	OrderLost Cause = "order lost"
	// UselessMove means that a run was stopped to run the task elsewhere, which took longer.
	UselessMove Cause = "moved in vain"
	// AgentFull means that an agent had no capacity for an order, or queued it.
	AgentFull Cause = "no room at the agent"
	// RunFailed means that runs failed at their endpoints.
	RunFailed Cause = "runs failed"
	// StoreUnavailable means that the store could not write or return the job.
	StoreUnavailable Cause = "store away"
	// ProcessingDelay means that message delivery and the processes of the system took the time.
	ProcessingDelay Cause = "slow process or message"
	// Unexplained means that the log lines that show the cause are missing.
	Unexplained Cause = "unexplained"
)

// Causes returns all causes in table order.
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

// retryCauses maps the reason of a retry to the cause to which the time of the run before the
// retry is attributed.
var retryCauses = map[string]Cause{
	"lost": ProcessLost, "agent lost": ProcessLost, "unreachable": ProcessLost, "draining": ProcessLost,
	"serves_other_entries": ProcessLost, "emptied": ProcessLost, "unanswered": OrderLost, "stale": OrderLost,
	"no_room": AgentFull, "busy": AgentFull, "withdrawn": AgentFull, "ends_not_recorded": StoreUnavailable,
	"old_run": OrderLost, "failed": RunFailed, "invalid": RunFailed, "stopped": UselessMove,
}
