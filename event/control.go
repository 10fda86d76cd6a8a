package event

// Events of the platform log, of tickets and of the entries' membership, codes 100 to 199.
var (
	LogUnavailable   = define(100, Warn, "platform log cannot be read")
	LogAvailable     = define(101, Info, "platform log is readable again")
	RecordsExpired   = define(102, Warn, "log records expired before they were read")
	SnapshotWritten  = define(103, Info, "log snapshot written")
	SnapshotFailed   = define(104, Warn, "log snapshot could not be written")
	SnapshotMismatch = define(105, Error, "log snapshot differs from the state of this entry")

	TicketInForce  = define(120, Info, "ticket applied")
	TicketRefused  = define(121, Warn, "ticket refused")
	StateFromPeer  = define(122, Info, "configuration received from a peer")
	StateDiffers   = define(123, Error, "configuration of a peer differs at the same ticket number")
	StateMalformed = define(124, Warn, "configuration of a peer is malformed")

	MemberJoined       = define(140, Info, "join of a member recorded")
	MemberLeft         = define(141, Info, "leave of a member recorded")
	MemberAppendFailed = define(142, Warn, "member record could not be appended")
	MemberRejoins      = define(143, Warn, "membership of this entry was ended by a peer; joining again")
	MemberReplaced     = define(145, Error, "another process joined under the name of this entry")
	MemberNoSponsor    = define(150, Warn, "no member appended the join record of this entry")
	MemberTakeover     = define(151, Error, "no member could be reached; memberships ended and taken over")
	MembersReset       = define(144, Warn, "membership restarted because older records are missing")
)
