// Package wire defines the messages between the processes of the system and their CBOR
// encoding. A frame is a 4-byte big-endian length followed by the CBOR array
// [type, call id, is reply, body]. Unknown map keys in a body are ignored, so that
// fields can be added without breaking older processes.
package wire

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"oriolerelay/errkind"
	"oriolerelay/ids"
)

// MaxFrameBytes limits the size of a frame without its length prefix.
const MaxFrameBytes = 1 << 20

// Type identifies the message type of a frame.
type Type uint8

// Message types. The values are part of the protocol and are never reused.
const (
	TypeHello     Type = 1
	TypeConfig    Type = 2
	TypeAnnounce  Type = 3
	TypeHeartbeat Type = 4
	TypeStart     Type = 5
	TypeResult    Type = 6
	TypeRefused   Type = 7
	TypeSettle    Type = 8
	TypeSettled   Type = 9
	TypeCancel    Type = 10
	TypeDrain     Type = 11
	TypeForward   Type = 12
	TypeForwarded Type = 13
	TypeAck       Type = 14
	TypeFetch     Type = 15
	TypeSponsor   Type = 16
)

var typeNames = [...]string{
	TypeHello: "hello", TypeConfig: "state", TypeAnnounce: "announce", TypeHeartbeat: "heartbeat",
	TypeStart: "start", TypeResult: "result", TypeRefused: "refused", TypeSettle: "settle",
	TypeSettled: "settled", TypeCancel: "cancel", TypeDrain: "drain", TypeForward: "forward",
	TypeForwarded: "forwarded", TypeAck: "ack", TypeFetch: "fetch", TypeSponsor: "sponsor",
	TypeOrders: "orders", TypeReports: "reports", TypeStatus: "status", TypeStop: "stop",
	TypeClaim: "claim", TypeConfirm: "noted",
	TypePlace: "place", TypePlaceResult: "placed", TypeWithdraw: "withdraw", TypePlacementStatus: "rooms", TypeEntryDraining: "leaving",
	TypeEvacuated: "emptied",
}

// String returns the lower-case message name used in metrics.
func (t Type) String() string {
	if int(t) < len(typeNames) && typeNames[t] != "" {
		return typeNames[t]
	}
	return fmt.Sprintf("type-%d", uint8(t))
}

// Message is the body of a frame.
type Message interface{ MessageType() Type }

// Role is the kind of process that sent a Hello.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello is the first message of each side of a connection.
type Hello struct {
	Node       ids.Incarnation `cbor:"1,keyasint"`
	Role       Role            `cbor:"2,keyasint"`
	Region     string          `cbor:"3,keyasint,omitempty"`
	DataCentre string          `cbor:"4,keyasint,omitempty"`
	Rack       string          `cbor:"5,keyasint,omitempty"`
	Worker     string          `cbor:"6,keyasint,omitempty"`
	// Entries lists the entry addresses that the sender knows (entries only).
	Entries []EntryAddress `cbor:"7,keyasint,omitempty"`
	// Ticket is the number of the newest ticket that the sender has applied.
	Ticket uint64 `cbor:"8,keyasint,omitempty"`
	// ViewOffset is the offset of the members stream up to which the sender has applied
	// it, 0 if it has not read it. If it is set, the first ViewSize elements of Entries
	// are the sender's newest membership view.
	ViewOffset uint64 `cbor:"9,keyasint,omitempty"`
	ViewSize   int    `cbor:"10,keyasint,omitempty"`
}

// EntryAddress names an entry and its internal address as ip:port.
type EntryAddress struct {
	Node    ids.Incarnation `cbor:"1,keyasint"`
	Address string          `cbor:"2,keyasint"`
	Region  string          `cbor:"3,keyasint,omitempty"`
	// MilliCores is the processor share of the host in thousandths of a core.
	MilliCores uint32 `cbor:"4,keyasint,omitempty"`
}

// EntryRecord is the record of an entry in the platform's entry list.
type EntryRecord struct {
	EntryAddress
	// Wanted holds what the tasks of the entry's stored jobs need of agents that do not serve it.
	// Agents whose endpoints meet one of them connect to it.
	Wanted []TaskRequirement `json:",omitempty"`
}

// TaskRequirement is what an endpoint needs for a task. Its zero Size and Label stand for any.
type TaskRequirement struct {
	Service string    `cbor:"1,keyasint"`
	Size    Resources `cbor:"2,keyasint"`
	Label   string    `cbor:"3,keyasint,omitempty"`
}

// IsMetBy reports whether an endpoint with the given profile can run the task when it is idle.
func (r *TaskRequirement) IsMetBy(p *Profile) bool {
	return p.Service == r.Service && r.Size.Fits(p.Capacity) && (r.Label == "" || slices.Contains(p.Labels, r.Label))
}

// Compare orders requirements.
func (r TaskRequirement) Compare(o TaskRequirement) int {
	return cmp.Or(
		cmp.Compare(r.Service, o.Service), cmp.Compare(r.Label, o.Label), cmp.Compare(r.Size.MilliCores, o.Size.MilliCores),
		cmp.Compare(r.Size.MemoryMiB, o.Size.MemoryMiB), cmp.Compare(r.Size.Accelerators, o.Size.Accelerators),
	)
}

// Config carries the complete current configuration, as the JSON of ticket.Config, with
// its ticket number.
type Config struct {
	Ticket uint64 `cbor:"1,keyasint"`
	JSON   []byte `cbor:"2,keyasint"`
}

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	MilliCores   uint32 `cbor:"1,keyasint,omitempty" json:"millicores,omitempty"`
	MemoryMiB    uint32 `cbor:"2,keyasint,omitempty" json:"memory_mib,omitempty"`
	Accelerators uint32 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// Fits reports whether r fits into capacity c.
func (r Resources) Fits(c Resources) bool {
	return r.MilliCores <= c.MilliCores && r.MemoryMiB <= c.MemoryMiB && r.Accelerators <= c.Accelerators
}

// Announce carries the state of the endpoint on the host of an agent. Slots is zero when
// no endpoint is announced.
type Announce struct {
	Service  string    `cbor:"1,keyasint"`
	Slots    uint32    `cbor:"2,keyasint"`
	Buffer   uint32    `cbor:"3,keyasint"`
	Capacity Resources `cbor:"4,keyasint"`
	// Revision orders the announcements of one agent incarnation.
	Revision uint64 `cbor:"5,keyasint"`
}

// Heartbeat keeps an idle connection alive. It carries the load of an agent or the newest
// ticket number of an entry.
type Heartbeat struct {
	Ticket uint64 `cbor:"1,keyasint,omitempty"`
	Load   Load   `cbor:"2,keyasint"`
	// Members is the membership statement of an entry to a peer entry.
	Members *MemberStatement `cbor:"3,keyasint,omitempty"`
	// StatusClockMillis is the newest ClockMillis that an entry has received from the agent or
	// placement entry to which it sends this heartbeat; 0 if it returns none.
	StatusClockMillis uint64 `cbor:"4,keyasint,omitempty"`
}

// Load is the current load of an agent, summed over all entries.
type Load struct {
	Running uint32 `cbor:"1,keyasint"`
	Queued  uint32 `cbor:"2,keyasint"`
}

// Start asks an agent to run tasks. It is one-way: each task is answered by a
// Result or a Refused.
type Start struct {
	Tasks []StartTask `cbor:"1,keyasint"`
}

// StartTask is one task of a Start. BudgetMicros is the time from the sending of the
// message to the caller's deadline, in microseconds.
type StartTask struct {
	Ref          uint64 `cbor:"1,keyasint"`
	Submission   string `cbor:"2,keyasint"`
	Index        uint32 `cbor:"3,keyasint"`
	Team         string `cbor:"4,keyasint"`
	Service      string `cbor:"5,keyasint"`
	Kind         string `cbor:"6,keyasint"`
	BudgetMicros int64  `cbor:"7,keyasint"`
	Payload      []byte `cbor:"8,keyasint"`
	TraceParent  string `cbor:"9,keyasint,omitempty"`
}

// Result reports the final state of started tasks.
type Result struct {
	Tasks []TaskResult `cbor:"1,keyasint"`
	Load  Load         `cbor:"2,keyasint"`
}

// TaskResult is the final state of one task. Kind is empty when the task is
// done; otherwise it is the error kind, and Outcome says whether the task may have run.
type TaskResult struct {
	Ref     uint64          `cbor:"1,keyasint"`
	Outcome errkind.Outcome `cbor:"2,keyasint"`
	Kind    errkind.Kind    `cbor:"3,keyasint,omitempty"`
	Detail  string          `cbor:"4,keyasint,omitempty"`
	Body    []byte          `cbor:"5,keyasint,omitempty"`
	// QueueMicros is the time in the agent's queue, RunMicros the run time.
	QueueMicros int64 `cbor:"6,keyasint,omitempty"`
	RunMicros   int64 `cbor:"7,keyasint,omitempty"`
}

// Refused reports that tasks were not admitted and will never run.
type Refused struct {
	Refs   []uint64     `cbor:"1,keyasint"`
	Kind   errkind.Kind `cbor:"2,keyasint"`
	Detail string       `cbor:"3,keyasint,omitempty"`
	Load   Load         `cbor:"4,keyasint"`
}

// Settle asks for the state of tasks whose reply may have been lost. The agent records
// refs that it has never seen as refused, so that a late Start cannot run them.
type Settle struct {
	Refs []uint64 `cbor:"1,keyasint"`
}

// TaskState is the state of one task in a Settled reply.
type TaskState uint8

// Task states.
const (
	TaskNeverSeen TaskState = 1
	TaskPending   TaskState = 2 // queued or running; its Result will follow on this connection
	TaskFinished  TaskState = 3
)

// Settled answers a Settle.
type Settled struct {
	Tasks []SettledTask `cbor:"1,keyasint"`
}

// SettledTask is the state of one task. Result is set when State is TaskFinished.
type SettledTask struct {
	Ref    uint64      `cbor:"1,keyasint"`
	State  TaskState   `cbor:"2,keyasint"`
	Result *TaskResult `cbor:"3,keyasint,omitempty"`
}

// Cancel cancels tasks. A queued task is answered by a Refused; a running one continues,
// and the home discards its Result.
type Cancel struct {
	Refs []uint64 `cbor:"1,keyasint"`
}

// Drain says that the sender accepts no new work. An agent sends it as a call: the Ack
// tells it that all tasks that the entry sent before have arrived.
type Drain struct{}

// Forward forwards a submission to its home. Body is the JSON body of the request.
type Forward struct {
	Team        string `cbor:"1,keyasint"`
	Body        []byte `cbor:"2,keyasint"`
	Request     bool   `cbor:"3,keyasint"` // set for a single request, not for a job
	TraceParent string `cbor:"4,keyasint,omitempty"`
	// Hops counts the forwards including this one. The receiver of the first forward may forward
	// once more.
	Hops uint8 `cbor:"5,keyasint,omitempty"`
	// Offset is the first byte of the answer to return; see Forwarded.Total.
	Offset int `cbor:"6,keyasint,omitempty"`
}

// FetchAction is what a Fetch asks the home to do.
type FetchAction uint8

// Fetch actions.
const (
	FetchAnswer FetchAction = 1
	FetchCancel FetchAction = 2
)

// Fetch asks the home for the answer of a submission, or to cancel it. The reply is a
// Forwarded.
type Fetch struct {
	Team        string      `cbor:"1,keyasint"`
	Submission  string      `cbor:"2,keyasint"`
	SubmittedAt int64       `cbor:"3,keyasint,omitempty"`
	Action      FetchAction `cbor:"4,keyasint"`
	Hops        uint8       `cbor:"5,keyasint,omitempty"`
	// Offset is the first byte of the answer to return; see Forwarded.Total.
	Offset int `cbor:"6,keyasint,omitempty"`
}

// Forwarded carries the HTTP response of the home.
type Forwarded struct {
	Status     int    `cbor:"1,keyasint"`
	Body       []byte `cbor:"2,keyasint"`
	RetryAfter int64  `cbor:"3,keyasint,omitempty"` // seconds
	// Total is the size of the whole answer if it does not fit into one frame. The rest is
	// fetched by sending the request again with Offset set.
	Total int `cbor:"4,keyasint,omitempty"`
}

// Ack is an empty reply.
type Ack struct{}

// MessageType implements Message.
func (*Hello) MessageType() Type     { return TypeHello }
func (*Config) MessageType() Type    { return TypeConfig }
func (*Announce) MessageType() Type  { return TypeAnnounce }
func (*Heartbeat) MessageType() Type { return TypeHeartbeat }
func (*Start) MessageType() Type     { return TypeStart }
func (*Result) MessageType() Type    { return TypeResult }
func (*Refused) MessageType() Type   { return TypeRefused }
func (*Settle) MessageType() Type    { return TypeSettle }
func (*Settled) MessageType() Type   { return TypeSettled }
func (*Cancel) MessageType() Type    { return TypeCancel }
func (*Drain) MessageType() Type     { return TypeDrain }
func (*Forward) MessageType() Type   { return TypeForward }
func (*Forwarded) MessageType() Type { return TypeForwarded }
func (*Ack) MessageType() Type       { return TypeAck }
func (*Fetch) MessageType() Type     { return TypeFetch }

// newMessage returns an empty message of type t, or nil for an unknown type.
func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeConfig:
		return new(Config)
	case TypeAnnounce:
		return new(Announce)
	case TypeHeartbeat:
		return new(Heartbeat)
	case TypeStart:
		return new(Start)
	case TypeResult:
		return new(Result)
	case TypeRefused:
		return new(Refused)
	case TypeSettle:
		return new(Settle)
	case TypeSettled:
		return new(Settled)
	case TypeCancel:
		return new(Cancel)
	case TypeDrain:
		return new(Drain)
	case TypeForward:
		return new(Forward)
	case TypeForwarded:
		return new(Forwarded)
	case TypeAck:
		return new(Ack)
	case TypeFetch:
		return new(Fetch)
	case TypeSponsor:
		return new(Sponsor)
	}
	if m := newRunMessage(t); m != nil {
		return m
	}
	return newPlaceMessage(t)
}

// Frame is a message with its frame header. CallID is zero for a one-way message.
type Frame struct {
	CallID uint64
	Reply  bool
	Body   Message
}

type rawFrame struct {
	_      struct{} `cbor:",toarray"`
	Type   Type
	CallID uint64
	Reply  bool
	Body   cbor.RawMessage
}

// Decoding errors.
var (
	ErrUnknownType   = errors.New("unknown message type")
	ErrFrameTooLarge = fmt.Errorf("frame exceeds %d bytes", MaxFrameBytes)
)

var (
	encMode = mustMode(cbor.EncOptions{}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 10,
		MaxNestedLevels:  8,
	}.DecMode())
)

func mustMode[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the CBOR encoding of a frame without its length prefix.
func Encode(f Frame) ([]byte, error) {
	body, err := encMode.Marshal(f.Body)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", f.Body.MessageType(), err)
	}
	b, err := encMode.Marshal(rawFrame{Type: f.Body.MessageType(), CallID: f.CallID, Reply: f.Reply, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(b) > MaxFrameBytes {
		return nil, fmt.Errorf("encode %s of %d bytes: %w", f.Body.MessageType(), len(b), ErrFrameTooLarge)
	}
	return b, nil
}

// Decode decodes a frame without its length prefix. The result does not alias b.
func Decode(b []byte) (Frame, error) {
	if len(b) > MaxFrameBytes {
		return Frame{}, ErrFrameTooLarge
	}
	var raw rawFrame
	if err := decMode.Unmarshal(b, &raw); err != nil {
		return Frame{}, fmt.Errorf("decode frame: %w", err)
	}
	m := newMessage(raw.Type)
	if m == nil {
		return Frame{}, fmt.Errorf("decode frame of type %d: %w", raw.Type, ErrUnknownType)
	}
	if err := decMode.Unmarshal(raw.Body, m); err != nil {
		return Frame{}, fmt.Errorf("decode %s: %w", raw.Type, err)
	}
	return Frame{CallID: raw.CallID, Reply: raw.Reply, Body: m}, nil
}
