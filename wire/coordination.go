package wire

// Messages between an entry that coordinates jobs and an agent that executes
// their tasks on the endpoint of its host. Metrics name Confirm "noted".

// Message types of job coordination.
const (
	TypeOrders  Type = 17
	TypeReports Type = 18
	TypeStatus  Type = 19
	TypeStop    Type = 20
	TypeClaim   Type = 21
	TypeConfirm Type = 22
)

// Run identifies one start of a task. Number increases with each start of the task.
type Run struct {
	Task   string `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"`
}

// Orders asks an agent to start tasks. Each run is answered by a Report.
type Orders struct {
	Groups []OrderGroup `cbor:"1,keyasint"`
	// OrderedRuns is the number of runs ordered on this connection, including these.
	OrderedRuns uint64 `cbor:"2,keyasint"`
	// StatusClockMillis is the ClockMillis of the newest Status that the entry has
	// processed, so that the agent can tell how old the information behind the order is.
	StatusClockMillis uint64 `cbor:"3,keyasint"`
}

// OrderGroup holds runs that belong to one step of a job.
type OrderGroup struct {
	Payload        string    `cbor:"1,keyasint"` // not in a Claim
	Size           Resources `cbor:"2,keyasint"`
	EstimateMillis uint32    `cbor:"3,keyasint"`
	Runs           []Run     `cbor:"4,keyasint"`
	// Stored is set for runs of a job in the ledger: the agent makes the endpoint keep their
	// ends until they are confirmed.
	Stored bool `cbor:"6,keyasint,omitempty"`
	// Trace is the W3C traceparent of the job; empty when it is not traced.
	Trace string `cbor:"7,keyasint,omitempty"`
	// Queue is the queue of the job. Agents return it in a CrashedRun.
	Queue string `cbor:"8,keyasint,omitempty"`
	// CapacityUnenforced is set if the endpoint starts runs beyond its capacity.
	CapacityUnenforced bool `cbor:"9,keyasint,omitempty"`
	// TrialMillis is the time for which the agent starts no other job on trial after these runs; 0
	// for a job that is not on trial. Jobs with TrialShared set may start together.
	TrialMillis uint32 `cbor:"10,keyasint,omitempty"`
	TrialShared bool   `cbor:"11,keyasint,omitempty"`
}

// EqualExceptRuns reports whether g and o are equal in all fields but Runs, so that their
// runs can share a group.
func (g *OrderGroup) EqualExceptRuns(o *OrderGroup) bool {
	return g.Payload == o.Payload && g.Size == o.Size && g.EstimateMillis == o.EstimateMillis &&
		g.Stored == o.Stored && g.Trace == o.Trace && g.Queue == o.Queue && g.CapacityUnenforced == o.CapacityUnenforced &&
		g.TrialMillis == o.TrialMillis && g.TrialShared == o.TrialShared
}

// RunState is the state of a run in a Report.
type RunState uint8

// Run states. All but RunStarted and RunSlow are final: the run no longer executes.
const (
	RunStarted  RunState = 1
	RunDone     RunState = 2
	RunFailed   RunState = 3 // the task or the endpoint failed
	RunRejected RunState = 4 // never started
	RunStopped  RunState = 5
	RunLost     RunState = 6 // ended because its endpoint or its lease ended
	RunSlow     RunState = 7 // still running; RemainingMillis is the agent's estimate
)

// RejectReason says why a run was rejected.
type RejectReason uint8

// Reasons for rejecting a run.
const (
	RejectCapacity        RejectReason = 1
	RejectDraining        RejectReason = 2
	RejectUnreachable     RejectReason = 3
	RejectStartUnanswered RejectReason = 4 // the endpoint did not answer in time; the start was withdrawn
	RejectOldRun          RejectReason = 5 // this run or a later one of the task has ended
	RejectInvalid         RejectReason = 6
	RejectTaskRunning     RejectReason = 7
	RejectRetired         RejectReason = 9  // the agent serves other entries
	RejectStale           RejectReason = 10 // the order is based on a status that is too old
	RejectBacklogFull     RejectReason = 11 // too many ends of stored runs are unrecorded
	RejectEvacuated       RejectReason = 12 // the operator evacuates the data centre
	RejectTrial           RejectReason = 14 // another job is on trial; RemainingMillis says for how long
	RejectCapacityUnknown RejectReason = 13 // the endpoint enforces no capacity, and what is free is not known
)

// Report is the state of one run.
type Report struct {
	Run             Run          `cbor:"1,keyasint"`
	State           RunState     `cbor:"2,keyasint"`
	Reason          RejectReason `cbor:"3,keyasint,omitempty"`
	RemainingMillis uint32       `cbor:"4,keyasint,omitempty"`
	// TotalMillis is the agent's estimate of the total run time; 0 for a run that makes no
	// progress.
	TotalMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// Reports carries state changes of an entry's runs.
type Reports struct {
	Reports []Report `cbor:"1,keyasint"`
	Status  *Status  `cbor:"2,keyasint,omitempty"`
}

// Profile describes an endpoint. All but the capacity is fixed for one incarnation of the endpoint.
type Profile struct {
	Instance   string    `cbor:"1,keyasint"`
	Service    string    `cbor:"2,keyasint"`
	Address    string    `cbor:"3,keyasint"`
	DataCentre string    `cbor:"4,keyasint"`
	Labels     []string  `cbor:"5,keyasint"`
	Capacity   Resources `cbor:"6,keyasint"`
}

// Status is the state of an agent's endpoint.
type Status struct {
	Profile *Profile  `cbor:"1,keyasint,omitempty"` // set only when it has changed
	Used    Resources `cbor:"2,keyasint"`
	// OrderedRuns is the number of runs, of those ordered on this connection, that Used
	// includes.
	OrderedRuns uint64 `cbor:"3,keyasint"`
	// ClosedReason is set while the endpoint accepts no new tasks.
	ClosedReason RejectReason `cbor:"4,keyasint,omitempty"`
	// SlownessPermille is the ratio of measured to declared run time, in thousandths.
	SlownessPermille uint32 `cbor:"5,keyasint,omitempty"`
	// FailedPermille is the recent share of failed runs, in thousandths.
	FailedPermille uint32 `cbor:"6,keyasint,omitempty"`
	// ClockMillis is the agent's clock in ms, which the entry returns in its Orders.
	ClockMillis uint64 `cbor:"8,keyasint"`
	// RejectsStoredRuns is set while the endpoint accepts no stored runs because too many
	// ends of such runs are unrecorded.
	RejectsStoredRuns bool `cbor:"9,keyasint,omitempty"`
	// Crashes holds the recent crashes of the endpoint that were not sent on this connection yet.
	Crashes []Crash `cbor:"10,keyasint,omitempty"`
}

// Crash is an end of an incarnation of the endpoint that was not announced.
type Crash struct {
	// Instance and StartMillis name the incarnation.
	Instance    string `cbor:"1,keyasint"`
	StartMillis int64  `cbor:"2,keyasint"`
	// AgeMillis is the time since the agent has noticed the crash.
	AgeMillis uint32 `cbor:"3,keyasint,omitempty"`
	// Number tells several reports of one crash apart: those of starts that got no reply follow.
	Number uint64 `cbor:"5,keyasint,omitempty"`
	// Runs holds the runs that the endpoint may have executed when it crashed, those of other
	// entries included.
	Runs []CrashedRun `cbor:"4,keyasint,omitempty"`
}

// CrashedRun is a run during which the endpoint crashed.
type CrashedRun struct {
	Run   Run    `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint,omitempty"`
	// ElapsedMillis is the time from the start of the run to the crash.
	ElapsedMillis uint32 `cbor:"3,keyasint,omitempty"`
	// Unanswered is set if the start call had no reply, so that the run may not have begun.
	Unanswered bool `cbor:"4,keyasint,omitempty"`
}

// Stop asks an agent to stop runs, or not to start them.
type Stop struct {
	Runs []Run `cbor:"1,keyasint"`
}

// Claim lists the runs that an entry expects at the agent. It is the first message of an
// entry on a connection. The agent reports the final state of listed runs that it does not
// execute, and stops runs of the entry that are not listed.
type Claim struct {
	Groups []OrderGroup `cbor:"1,keyasint"`
}

// Confirm tells an agent that the ends of these runs are recorded and no longer need to be
// kept.
type Confirm struct {
	Runs []Run `cbor:"1,keyasint"`
}

// MessageType implements Message.
func (*Confirm) MessageType() Type { return TypeConfirm }
func (*Orders) MessageType() Type  { return TypeOrders }
func (*Reports) MessageType() Type { return TypeReports }
func (*Status) MessageType() Type  { return TypeStatus }
func (*Stop) MessageType() Type    { return TypeStop }
func (*Claim) MessageType() Type   { return TypeClaim }

// newRunMessage returns an empty message of a type of this file, or nil.
func newRunMessage(t Type) Message {
	switch t {
	case TypeOrders:
		return new(Orders)
	case TypeReports:
		return new(Reports)
	case TypeStatus:
		return new(Status)
	case TypeStop:
		return new(Stop)
	case TypeClaim:
		return new(Claim)
	case TypeConfirm:
		return new(Confirm)
	}
	return nil
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Minus returns r - o, with each resource at least zero.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - min(r.MilliCores, o.MilliCores),
		MemoryMiB:    r.MemoryMiB - min(r.MemoryMiB, o.MemoryMiB),
		Accelerators: r.Accelerators - min(r.Accelerators, o.Accelerators),
	}
}

// Min returns the lower of r and o, for each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCores, o.MilliCores), min(r.MemoryMiB, o.MemoryMiB), min(r.Accelerators, o.Accelerators)}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCores * uint32(n), r.MemoryMiB * uint32(n), r.Accelerators * uint32(n)}
}

var runStateNames = [...]string{
	RunStarted: "started", RunDone: "done", RunFailed: "failed", RunRejected: "rejected",
	RunStopped: "stopped", RunLost: "lost", RunSlow: "slow",
}

// String returns the name of s for logs and metrics.
func (s RunState) String() string {
	if int(s) < len(runStateNames) && runStateNames[s] != "" {
		return runStateNames[s]
	}
	return "unknown"
}

var rejectNames = [...]string{
	0: "none", RejectCapacity: "no_room", RejectDraining: "draining", RejectUnreachable: "unreachable",
	RejectStartUnanswered: "unanswered", RejectOldRun: "old_run", RejectInvalid: "invalid", RejectTaskRunning: "busy",
	RejectRetired: "serves_other_entries", RejectStale: "stale",
	RejectBacklogFull: "ends_not_recorded", RejectEvacuated: "emptied", RejectCapacityUnknown: "room_unknown", RejectTrial: "trial",
}

// String returns the name of r for logs and metrics.
func (r RejectReason) String() string {
	if int(r) < len(rejectNames) {
		return rejectNames[r]
	}
	return "unknown"
}
