package wire

// Messages between an entry that coordinates jobs and an agent that executes
// their tasks on the endpoint beside it.

// Message types of job coordination.
const (
	TypeOrders  Type = 17
	TypeReports Type = 18
	TypeStatus  Type = 19
	TypeStop    Type = 20
	TypeClaim   Type = 21
	TypeConfirm Type = 22
)

// Run names one start of a task. Numbers rise with each start of the task.
type Run struct {
	Task   string `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"`
}

// Orders asks an agent to start tasks. Each run is answered by a Report.
type Orders struct {
	Groups []OrderGroup `cbor:"1,keyasint"`
	// Count is the number of runs ordered on this connection, these included.
	OrderedRuns uint64 `cbor:"2,keyasint"`
	// Echo is the Time of the newest Status that the entry has taken.
	StatusClockMillis uint64 `cbor:"3,keyasint"`
}

// OrderGroup holds the runs of one step of a job.
type OrderGroup struct {
	Payload        string    `cbor:"1,keyasint"`
	Size           Resources `cbor:"2,keyasint"`
	EstimateMillis uint32    `cbor:"3,keyasint"`
	Runs           []Run     `cbor:"4,keyasint"`
	// Stored runs belong to a job in the ledger: the agent keeps their ends at the
	// endpoint until they are noted.
	Stored bool `cbor:"6,keyasint,omitempty"`
	// Trace is the W3C traceparent of the job; empty when it is not traced.
	Trace string `cbor:"7,keyasint,omitempty"`
}

// IsAlike reports whether the runs of g and o can share a group: all but the runs is
// equal.
func (g *OrderGroup) EqualExceptRuns(o *OrderGroup) bool {
	return g.Payload == o.Payload && g.Size == o.Size && g.EstimateMillis == o.EstimateMillis &&
		g.Stored == o.Stored && g.Trace == o.Trace
}

// RunState is the state of a run in a Report.
type RunState uint8

// Run states. All but RunStarted are final: the run does not execute any more.
const (
	RunStarted  RunState = 1
	RunDone     RunState = 2
	RunFailed   RunState = 3 // ended with a failure of its own or of the endpoint
	RunRejected RunState = 4 // never started
	RunStopped  RunState = 5
	RunLost     RunState = 6 // ended with its endpoint or its lease
	RunSlow     RunState = 7 // still running, RemainingMillis is the agent's estimate
)

// RejectReason says why a run was rejected.
type RejectReason uint8

// Reject reasons.
const (
	RejectCapacity        RejectReason = 1
	RejectDraining        RejectReason = 2
	RejectUnreachable     RejectReason = 3
	RejectStartUnanswered RejectReason = 4 // the start got no answer and was withdrawn
	RejectOldRun          RejectReason = 5 // a run with this or a higher number has ended
	RejectInvalid         RejectReason = 6
	RejectTaskRunning     RejectReason = 7
	RejectRetired         RejectReason = 9  // the agent serves other entries
	RejectStale           RejectReason = 10 // the order is based on news that are too old
	RejectBacklogFull     RejectReason = 11 // too many ends of stored runs wait for being recorded
	RejectEvacuated       RejectReason = 12 // the operator empties the data centre
)

// Report is the state of one run.
type Report struct {
	Run             Run          `cbor:"1,keyasint"`
	State           RunState     `cbor:"2,keyasint"`
	Reason          RejectReason `cbor:"3,keyasint,omitempty"`
	RemainingMillis uint32       `cbor:"4,keyasint,omitempty"`
	// TotalMillis is the agent's estimate of the whole run time; 0 for a run that
	// makes no progress.
	TotalMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// Reports tells an entry what became of its runs.
type Reports struct {
	Reports []Report `cbor:"1,keyasint"`
	Status  *Status  `cbor:"2,keyasint,omitempty"`
}

// Profile describes an endpoint; it changes only with its incarnation.
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
	Profile *Profile  `cbor:"1,keyasint,omitempty"` // only when it has changed
	Used    Resources `cbor:"2,keyasint"`
	// Count is the number of ordered runs of this connection that Used
	// includes.
	OrderedRuns uint64 `cbor:"3,keyasint"`
	// Closed is set while the endpoint takes no new task.
	ClosedReason RejectReason `cbor:"4,keyasint,omitempty"`
	// SlownessPermille is the run time relative to the declared one, in thousandths.
	SlownessPermille uint32 `cbor:"5,keyasint,omitempty"`
	// FailedPermille is the recent share of runs that failed, in thousandths.
	FailedPermille uint32 `cbor:"6,keyasint,omitempty"`
	// Time is the agent's clock in ms, which the entry returns with its orders.
	ClockMillis uint64 `cbor:"8,keyasint"`
	// Unrecorded is set while the endpoint takes no stored run, since too many ends of
	// such runs wait for being recorded.
	RejectsStoredRuns bool `cbor:"9,keyasint,omitempty"`
}

// Stop asks an agent to stop runs, or not to start them.
type Stop struct {
	Runs []Run `cbor:"1,keyasint"`
}

// Claim lists the runs that an entry believes to be at the agent. It is the first
// message of an entry on a connection. The agent reports the final state of those
// that it does not execute and stops those of the entry that are not listed.
type Claim struct {
	Groups []OrderGroup `cbor:"1,keyasint"`
}

// Noted says that the ends of these runs are recorded and can be forgotten.
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

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Minus returns r less o, not below zero.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - min(r.MilliCores, o.MilliCores),
		MemoryMiB:    r.MemoryMiB - min(r.MemoryMiB, o.MemoryMiB),
		Accelerators: r.Accelerators - min(r.Accelerators, o.Accelerators),
	}
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
	RejectBacklogFull: "ends_not_recorded", RejectEvacuated: "emptied",
}

// String returns the name of r for logs and metrics.
func (r RejectReason) String() string {
	if int(r) < len(rejectNames) {
		return rejectNames[r]
	}
	return "unknown"
}
