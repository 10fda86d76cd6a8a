package losses

// Cause is the reason for which a job was not answered in time.
type Cause string

// The causes. Each job that was lost has exactly one.
const (
	// NobodyServed: no entry that places jobs, or no endpoint, was there to take the job.
	NobodyServed Cause = "nobody served"
	// InFlight: the entry, the agent or the endpoint that had the job was lost.
	InFlight Cause = "in flight at a loss"
	// NoRoom: refused when it had waited, with less room than it needed.
	NoRoom Cause = "refused for want of room"
	// Patience: refused when it had waited, with room for it as far as known.
	Patience Cause = "refused by patience"
	// Waited: it got room too late.
	Waited Cause = "waited for room"
	// SlowPlace: the endpoints that had room were known to be slow.
	SlowPlace Cause = "only slow endpoints had room"
	// Slowed: it ran on an endpoint that was slower than known.
	Slowed Cause = "ran on an endpoint that became slow"
	// SlowestTask: one task of a wide job took longer than the others.
	SlowestTask Cause = "slowest task of a wide job"
	// Declared: its tasks took longer than declared.
	Declared Cause = "declared time wrong"
	// OrderLost: an order got no answer.
	OrderLost Cause = "order lost"
	// MovedInVain: a run was stopped to run elsewhere, and that took longer.
	MovedInVain Cause = "moved in vain"
	// AgentFull: an agent had no room for an order, or let it wait.
	AgentFull Cause = "no room at the agent"
	// RunFailed: runs failed at their endpoints.
	RunFailed Cause = "runs failed"
	// StoreAway: the store could not take or show the job.
	StoreAway Cause = "store away"
	// SlowProcess: messages and the processes of the system took the time.
	SlowProcess Cause = "slow process or message"
	// Unexplained: the lines that would tell are missing.
	Unexplained Cause = "unexplained"
)

// Causes lists all causes in the order of the tables.
func Causes() []Cause {
	return []Cause{
		NobodyServed, InFlight, NoRoom, Patience, Waited, SlowPlace, Slowed, SlowestTask, Declared, OrderLost,
		MovedInVain, AgentFull, RunFailed, StoreAway, SlowProcess, Unexplained,
	}
}

// refusalCauses maps the error kind of a refusal to its cause.
var refusalCauses = map[string]Cause{
	"queue_full": NoRoom, "deadline_unmet": Waited, "no_endpoint": NobodyServed, "no_configuration": NobodyServed,
	"draining": NobodyServed, "log_unavailable": StoreAway, "home_lost": InFlight, "agent_lost": InFlight,
	"endpoint_lost": InFlight, "never_fits": NobodyServed,
}

// retryCauses maps the reason for which a task is run again to what its last run cost.
var retryCauses = map[string]Cause{
	"lost": InFlight, "agent lost": InFlight, "unreachable": InFlight, "draining": InFlight,
	"serves_other_entries": InFlight, "emptied": InFlight, "unanswered": OrderLost, "stale": OrderLost,
	"no_room": AgentFull, "busy": AgentFull, "withdrawn": AgentFull, "ends_not_recorded": StoreAway,
	"old_run": OrderLost, "failed": RunFailed, "invalid": RunFailed, "stopped": MovedInVain,
}
